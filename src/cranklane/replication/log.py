"""Durable log of entries, with a snapshot that replaces the oldest ones.

Owns two files: ``log`` holds frames (:mod:`log_frames`), ``snapshot`` a checksum and a
LogSnapshot. Entries after the snapshot are also in memory. A torn tail is cut at start; damage
to acknowledged entries is refused.
"""

from __future__ import annotations

from gevent.lock import Semaphore

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.errors import DamagedLogError
from cranklane.records.messages import LogEntry, LogSnapshot
from cranklane.replication.log_frames import encode_frame, read_frame, synced_after
from cranklane.runtime.interface import Storage

LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"


class Log:
    """Entries after the snapshot, in memory and on disk.

    :ivar snapshot: the newest snapshot; index 0 when there is none.
    :ivar snapshot_size: bytes of its file.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._entries: list[LogEntry] = []
        self._size = 0
        self._synced = 0
        self._half_written = False
        self.snapshot_size = 0
        self._syncing = Semaphore()
        self.snapshot = LogSnapshot()

    def open(self) -> int:
        """Read snapshot and log; return the bytes cut off a torn tail.

        :raises DamagedLogError: when acknowledged entries cannot be read.
        """
        self._read_snapshot()
        data = self._storage.read(LOG_FILE) or b""
        position = 0
        while position < len(data):
            frame = read_frame(data, position)
            if frame is None:
                break
            position = frame.end
            self._keep(frame.entry)
        torn = len(data) - position
        if torn:
            self._refuse_damage(data, position)
            self._storage.truncate(LOG_FILE, position)
        self._size = self._synced = position
        return torn

    def _keep(self, entry: LogEntry) -> None:
        if entry.index <= self.snapshot.index:
            return
        # A later frame of an index replaces all from there on: a follower's
        # conflicting tail is overwritten by appending, never in place.
        while self._entries and self._entries[-1].index >= entry.index:
            self._entries.pop()
        if entry.index != self.last_index + 1:
            raise DamagedLogError(
                f"entry {entry.index} follows {self.last_index}: entries are missing; restore "
                "this replica with an empty data folder so that it rejoins as a new one"
            )
        self._entries.append(entry)

    def _read_snapshot(self) -> None:
        data = self._storage.read(SNAPSHOT_FILE)
        if data is None:
            return
        payload = verified_payload(data)
        if payload is None:
            raise DamagedLogError(
                "the snapshot is damaged; restore this replica with an empty data folder so "
                "that it rejoins as a new one, or from a back-up when it is the only one"
            )
        self.snapshot = LogSnapshot.unpack(payload)
        self.snapshot_size = len(data)

    @staticmethod
    def _refuse_damage(data: bytes, position: int) -> None:
        """Raise unless what follows a bad frame is a torn tail."""
        synced = synced_after(data, position)
        if synced is not None:
            raise DamagedLogError(
                f"the log is damaged at byte {position} although it was synced up to "
                f"{synced}; restore this replica with an empty data folder so that it "
                "rejoins as a new one, or from a back-up when it is the only one"
            )

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self._entries[-1].index if self._entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def size(self) -> int:
        """Bytes of the log file."""
        return self._size

    def term_at(self, index: int) -> int | None:
        """Return an entry's term, or None when it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def between(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from ``first`` to ``last``, both included."""
        base = self.snapshot.index + 1
        return self._entries[max(0, first - base) : max(0, last - base + 1)]

    def append(self, entries: list[LogEntry]) -> None:
        """Write entries at the end; durable only after :meth:`sync`.

        :raises OSError: when the disk refuses them; none of them counts then.
        """
        frames = b"".join(encode_frame(entry, self._synced) for entry in entries)
        if self._half_written:
            # What was written of refused frames must not stand before later ones.
            self._storage.truncate(LOG_FILE, self._size)
            self._half_written = False
        try:
            self._storage.append(LOG_FILE, frames)
        except OSError:
            self._half_written = True
            raise
        self._size += len(frames)
        for entry in entries:
            self._keep(entry)

    def sync(self) -> int:
        """Make the log durable; return the index that is durable now.

        :raises OSError: when the disk refuses it.
        """
        with self._syncing:
            size, index = self._size, self.last_index
            self._storage.sync(LOG_FILE)
            self._synced = max(self._synced, size)
            return index

    def compact(self, snapshot: LogSnapshot) -> None:
        """Replace the entries up to the snapshot's by the snapshot.

        Nothing may be appended meanwhile.

        :raises OSError: when the disk refuses it.
        """
        with self._syncing:
            self._compact(snapshot)

    def _compact(self, snapshot: LogSnapshot) -> None:
        kept = self.between(snapshot.index + 1, self.last_index)
        if snapshot.index > self.last_index or self.term_at(snapshot.index) != snapshot.term:
            kept = []
        sealed = add_checksum(snapshot.pack())
        self._storage.replace(SNAPSHOT_FILE, sealed)
        self.snapshot = snapshot
        self.snapshot_size = len(sealed)
        self._entries = kept
        data = b"".join(encode_frame(entry, 0) for entry in kept)
        self._storage.replace(LOG_FILE, data)
        self._size = self._synced = len(data)
