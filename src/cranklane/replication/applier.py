"""Applies committed entries to the state machine and snapshots it when the log is large.

Owns the state machine's progress (``applied_index``); relies on the log and the commit
index of :class:`ReplicaState`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.errors import InvariantError
from cranklane.records.messages import LogEntry, LogSnapshot
from cranklane.replication.proposals import Proposals
from cranklane.replication.state import EntryKind, ReplicaState
from cranklane.replication.state_machine import StateMachine

MIN_SNAPSHOT_BYTES = 4 * 1024 * 1024
"""Size of the log file from which a snapshot replaces it, in bytes. A choice: large enough
that a snapshot is rare, small enough to be read at start at once."""

SNAPSHOT_FACTOR = 2
"""The log grows to at least this many times the last snapshot's size, so that a
large state is not written again for each small change. A choice."""


class Applier:
    """Drives one replica's state machine.

    :param on_apply: called after entries were applied.
    """

    def __init__(
        self,
        state: ReplicaState,
        machine: StateMachine,
        proposals: Proposals,
        on_apply: Callable[[], None],
    ) -> None:
        self._state = state
        self._machine = machine
        self._proposals = proposals
        self._on_apply = on_apply

    def run(self) -> None:
        """Apply committed entries in order, for ever."""
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
            self._snapshot_when_large()

    def _apply(self, entry: LogEntry) -> None:
        answer: Any = None
        if entry.kind == EntryKind.COMMAND:
            answer = self._machine.apply(entry.data)
        self._state.applied_index = entry.index
        self._proposals.applied(entry, answer)

    def _snapshot_when_large(self) -> None:
        state = self._state
        nothing_new = state.applied_index <= state.log.snapshot.index
        if nothing_new or state.log.size < snapshot_threshold(state.log.snapshot_size):
            return
        try:
            with state.changing:
                self.compact()
        except OSError as error:
            # The log stays as it is; a later entry tries again.
            state.event_log.error("disk_failed", error=str(error))

    def compact(self) -> None:
        """Replace the applied entries by a snapshot. Needs the lock ``changing``.

        :raises OSError: when the disk refuses the snapshot.
        """
        self._state.log.compact(self.snapshot())

    def snapshot(self) -> LogSnapshot:
        """Return a snapshot of all that is applied here."""
        state = self._state
        index = state.applied_index
        term = state.log.term_at(index)
        if term is None:
            raise InvariantError(f"the applied entry {index} is neither in log nor snapshot")
        return LogSnapshot(term, index, state.members.at(index), self._machine.pack())

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace state and members by a snapshot's and the entries after it."""
        state = self._state
        self._machine.restore(snapshot.state)
        state.members.restore(snapshot.index, snapshot.members)
        for entry in state.log.between(snapshot.index + 1, state.log.last_index):
            state.take_members(entry)
        state.commit_index = state.applied_index = snapshot.index

    def install(self, snapshot: LogSnapshot) -> None:
        """Replace log and state by a leader's snapshot. Needs the lock ``changing``.

        :raises OSError: when the disk refuses the snapshot.
        """
        self._state.log.compact(snapshot)
        self.restore(snapshot)
        self._on_apply()


def snapshot_threshold(snapshot_bytes: int) -> int:
    """Return the size of the log file, in bytes, from which a snapshot replaces it.

    :param snapshot_bytes: size of the last snapshot.
    """
    return max(MIN_SNAPSHOT_BYTES, SNAPSHOT_FACTOR * snapshot_bytes)
