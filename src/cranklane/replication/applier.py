"""Application of committed entries to the state machine, and log compaction.

Owns the apply progress (``applied_index``); log and commit index belong to
:class:`ReplicaState`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.errors import InvariantError
from cranklane.records.messages import LogEntry, LogSnapshot
from cranklane.replication.proposals import Proposals
from cranklane.replication.state import EntryKind, ReplicaState
from cranklane.replication.state_machine import StateMachine
from cranklane.runtime.restarting import report_failure

MIN_SNAPSHOT_BYTES = 4 * 1024 * 1024
"""Smallest size of a log file that is compacted: snapshots stay rare, and the log is fast to
read at startup."""

SNAPSHOT_FACTOR = 2
"""Smallest ratio of log size to snapshot size for a compaction, so that a large state is not
rewritten after few changes."""


class Applier:
    """Applies entries and snapshots to one replica's state machine.

    :param on_apply: called after entries were applied or a snapshot was installed.
    """

    def __init__(
        self,
        state: ReplicaState,
        state_machine: StateMachine,
        proposals: Proposals,
        on_apply: Callable[[], None],
    ) -> None:
        self._state = state
        self._state_machine = state_machine
        self._proposals = proposals
        self._on_apply = on_apply

    def run(self) -> None:
        """Apply committed entries in order; runs until the process ends."""
        state = self._state
        while True:
            state.committed.wait()
            state.committed.clear()
            while state.applied_index < state.commit_index:
                entries = state.log.between(state.applied_index + 1, state.applied_index + 1)
                if not entries:
                    break
                self._apply(entries[0])
            self._on_apply()
            self._compact_if_large()

    def _apply(self, entry: LogEntry) -> None:
        answer: Any = None
        try:
            if entry.kind == EntryKind.COMMAND:
                answer = self._state_machine.apply(entry.data)
        except InvariantError:
            raise
        except Exception as error:
            # Every replica fails on it alike, and the later entries are to be applied.
            report_failure(self._state_machine.apply, error)
            self._state.event_log.error("entry_not_applied", index=entry.index, error=str(error))
            self._state.applied_index = entry.index
            self._proposals.fail(entry)
            return
        self._state.applied_index = entry.index
        self._proposals.resolve(entry, answer)

    def _compact_if_large(self) -> None:
        state = self._state
        nothing_new = state.applied_index <= state.log.snapshot.index
        if nothing_new or state.log.size < snapshot_threshold(state.log.snapshot_size):
            return
        try:
            with state.state_lock:
                self.compact()
        except OSError as error:
            # The log stays usable; the next applied entry retries the compaction.
            state.event_log.error("disk_failed", error=str(error))

    def compact(self) -> None:
        """Replace the applied entries by a snapshot. The caller holds ``state_lock``.

        :raises OSError: when a write fails.
        """
        self._state.log.compact(self.snapshot())

    def snapshot(self) -> LogSnapshot:
        """Return a snapshot of the applied entries.

        :raises InvariantError: when the log has no term for the applied index.
        """
        state = self._state
        index = state.applied_index
        term = state.log.term_at(index)
        if term is None:
            raise InvariantError(f"the applied entry {index} is neither in log nor snapshot")
        return LogSnapshot(term, index, state.members.members_at(index), self._state_machine.pack())

    def restore(self, snapshot: LogSnapshot) -> None:
        """Restore the state from a snapshot, and the members from it and the entries after it."""
        state = self._state
        self._state_machine.restore(snapshot.state)
        state.members.restore(snapshot.index, snapshot.members)
        for entry in state.log.between(snapshot.index + 1, state.log.last_index):
            state.adopt_members(entry)
        state.commit_index = state.applied_index = snapshot.index

    def install(self, snapshot: LogSnapshot) -> None:
        """Replace log and state by a leader's snapshot. The caller holds ``state_lock``.

        :raises OSError: when a write fails.
        """
        self._state.log.compact(snapshot)
        self.restore(snapshot)
        self._on_apply()


def snapshot_threshold(snapshot_bytes: int) -> int:
    """Return the log file size in bytes that triggers a compaction.

    :param snapshot_bytes: size of the last snapshot file.
    """
    return max(MIN_SNAPSHOT_BYTES, SNAPSHOT_FACTOR * snapshot_bytes)
