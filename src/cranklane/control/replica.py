"""Commits commands to the log and applies them to the store."""

from __future__ import annotations

from collections.abc import Callable

from gevent.lock import Semaphore

from cranklane.control.log import Log
from cranklane.control.store import ConfigurationStore, EditAnswer
from cranklane.records.messages import EditCommand, LogEntry, LogSnapshot
from cranklane.runtime.interface import Storage

SNAPSHOT_BYTES = 4 * 1024 * 1024
"""Size of the log file from which a snapshot replaces it."""

_EDIT = 1


class Replica:
    """A log of one voter and the store it drives.

    :param on_apply: called after each applied entry.
    """

    def __init__(
        self, storage: Storage, store: ConfigurationStore, on_apply: Callable[[], None]
    ) -> None:
        self._log = Log(storage)
        self._store = store
        self._on_apply = on_apply
        self._writing = Semaphore()

    def open(self) -> None:
        """Come back to the state of the last acknowledged command."""
        self._log.open()
        self._store.restore(self._log.snapshot.state)
        for entry in self._log.between(self._log.snapshot.index + 1, self._log.last_index):
            self._store.apply(EditCommand.unpack(entry.data))

    def propose(self, command: EditCommand) -> EditAnswer:
        """Commit a command, apply it and return its answer."""
        with self._writing:
            entry = LogEntry(1, self._log.last_index + 1, _EDIT, command.pack())
            self._log.append([entry])
            self._log.sync()
            answer = self._store.apply(command)
            if self._log.size > SNAPSHOT_BYTES:
                self._log.compact(LogSnapshot(entry.term, entry.index, self._store.pack()))
        self._on_apply()
        return answer
