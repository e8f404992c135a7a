"""Durable log of entries, with a snapshot that replaces the oldest entries.

Owns two files: ``log`` contains frames (:mod:`log_frames`), ``snapshot`` a checksum and a
LogSnapshot. Entries after the snapshot are also kept in memory. Opening the log truncates a
torn tail and raises an error for corrupted acknowledged entries.
"""

from __future__ import annotations

from gevent.lock import Semaphore

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.errors import CorruptedLogError
from cranklane.records.messages import LogEntry, LogSnapshot
from cranklane.replication.log_frames import encode_frame, find_later_synced_offset, read_frame
from cranklane.runtime.interface import Storage

LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"


class Log:
    """Snapshot and the entries after it, in memory and on disk.

    :ivar snapshot: the newest snapshot; index 0 when there is none.
    :ivar snapshot_size: size of the snapshot file in bytes.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._entries: list[LogEntry] = []
        self._size = 0
        self._synced_size = 0
        self._has_partial_append = False
        self.snapshot_size = 0
        self._sync_lock = Semaphore()
        self.snapshot = LogSnapshot()

    def open(self) -> int:
        """Read snapshot and log, and truncate a torn tail; entries may need a :meth:`sync`.

        :returns: number of bytes truncated.
        :raises CorruptedLogError: when the snapshot or acknowledged entries are corrupted or
            entries are missing.
        """
        self._read_snapshot()
        data = self._storage.read(LOG_FILE) or b""
        position = 0
        while position < len(data):
            frame = read_frame(data, position)
            if frame is None:
                break
            position = frame.end
            self._add_entry(frame.entry)
        torn = len(data) - position
        if torn:
            self._raise_if_corrupted(data, position)
            self._storage.truncate(LOG_FILE, position)
        self._size = position
        # An earlier process may have ended between an append and its sync.
        self._synced_size = 0
        return torn

    def _add_entry(self, entry: LogEntry) -> None:
        if entry.index <= self.snapshot.index:
            return
        # A later frame with the same index replaces that entry and all after it: a follower
        # overrides a conflicting tail by appending, never in place.
        while self._entries and self._entries[-1].index >= entry.index:
            self._entries.pop()
        if entry.index != self.last_index + 1:
            raise CorruptedLogError(
                f"found entry {entry.index} after entry {self.last_index}; entries are missing; "
                "start this replica with an empty data folder so that it rejoins as a new one"
            )
        self._entries.append(entry)

    def _read_snapshot(self) -> None:
        data = self._storage.read(SNAPSHOT_FILE)
        if data is None:
            return
        payload = verified_payload(data)
        if payload is None:
            raise CorruptedLogError(
                "the snapshot file is corrupted; start this replica with an empty data folder so "
                "that it rejoins as a new one, or restore a backup when it is the only one"
            )
        self.snapshot = LogSnapshot.unpack(payload)
        self.snapshot_size = len(data)

    @staticmethod
    def _raise_if_corrupted(data: bytes, position: int) -> None:
        """Raise CorruptedLogError unless the invalid frame at ``position`` starts a torn tail."""
        synced_offset = find_later_synced_offset(data, position)
        if synced_offset is not None:
            raise CorruptedLogError(
                f"the log is corrupted at byte {position}, below the synced offset "
                f"{synced_offset}; start this replica with an empty data folder so that it "
                "rejoins as a new one, or restore a backup when it is the only one"
            )

    @property
    def last_index(self) -> int:
        """Index of the newest entry, or of the snapshot when there is no later entry."""
        return self._entries[-1].index if self._entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the newest entry, or of the snapshot when there is no later entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def is_synced(self) -> bool:
        """Whether all entries are durable."""
        return self._synced_size >= self._size

    @property
    def size(self) -> int:
        """Size of the log file in bytes."""
        return self._size

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None when it is compacted or not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def between(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries with indexes from ``first`` to ``last``, inclusive."""
        base = self.snapshot.index + 1
        return self._entries[max(0, first - base) : max(0, last - base + 1)]

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries; they are durable only after :meth:`sync`.

        :raises OSError: when the write fails; none of the entries is in the log then.
        """
        frames = b"".join(encode_frame(entry, self._synced_size) for entry in entries)
        if self._has_partial_append:
            # Remove the partial frames of a failed append before new frames are written.
            self._storage.truncate(LOG_FILE, self._size)
            self._has_partial_append = False
        try:
            self._storage.append(LOG_FILE, frames)
        except OSError:
            self._has_partial_append = True
            raise
        self._size += len(frames)
        for entry in entries:
            self._add_entry(entry)

    def sync(self) -> int:
        """Make the log durable and return the index of the newest durable entry.

        :raises OSError: when the sync fails.
        """
        with self._sync_lock:
            size, index = self._size, self.last_index
            self._storage.sync(LOG_FILE)
            self._synced_size = max(self._synced_size, size)
            return index

    def compact(self, snapshot: LogSnapshot) -> None:
        """Replace the entries that a snapshot covers by the snapshot.

        The caller must prevent concurrent appends.

        :raises OSError: when a write fails.
        """
        with self._sync_lock:
            self._compact(snapshot)

    def _compact(self, snapshot: LogSnapshot) -> None:
        retained = self.between(snapshot.index + 1, self.last_index)
        if snapshot.index > self.last_index or self.term_at(snapshot.index) != snapshot.term:
            retained = []
        snapshot_file = add_checksum(snapshot.pack())
        self._storage.replace(SNAPSHOT_FILE, snapshot_file)
        self.snapshot = snapshot
        self.snapshot_size = len(snapshot_file)
        self._entries = retained
        data = b"".join(encode_frame(entry, 0) for entry in retained)
        self._storage.replace(LOG_FILE, data)
        self._size = self._synced_size = len(data)
