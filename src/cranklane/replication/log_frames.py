"""Frames of the log file: magic, payload length, checksum, synced offset and a LogEntry.

The synced offset is the file offset up to which the log was synced when the frame was written.
It distinguishes a torn tail from corruption: a crash may lose bytes after the last sync, but an
invalid frame below the synced offset of a later frame is a corrupted acknowledged entry.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from struct import Struct

from cranklane.errors import MalformedRecordError
from cranklane.records.messages import LogEntry

_MAGIC = b"CLE1"
_HEADER = Struct("!4sIIQ")


@dataclass(frozen=True, slots=True)
class LogFrame:
    """A decoded frame.

    :ivar synced_offset: offset up to which the log was synced before this frame.
    :ivar end: file offset of the next frame.
    """

    entry: LogEntry
    synced_offset: int
    end: int


def encode_frame(entry: LogEntry, synced_offset: int) -> bytes:
    """Return the encoded frame of an entry."""
    payload = entry.pack()
    return (
        _HEADER.pack(_MAGIC, len(payload), _checksum(payload, synced_offset), synced_offset)
        + payload
    )


def read_frame(data: bytes, position: int) -> LogFrame | None:
    """Return the frame at a file offset, or None when it is incomplete or corrupted."""
    start = position + _HEADER.size
    if start > len(data):
        return None
    magic, size, checksum, synced_offset = _HEADER.unpack_from(data, position)
    payload = data[start : start + size]
    if magic != _MAGIC or len(payload) != size or _checksum(payload, synced_offset) != checksum:
        return None
    try:
        return LogFrame(LogEntry.unpack(payload), synced_offset, start + size)
    except MalformedRecordError:
        # Treated like a wrong checksum: the caller distinguishes a torn tail from corruption.
        return None


def find_later_synced_offset(data: bytes, position: int) -> int | None:
    """Return the first synced offset above ``position`` in later frames, or None.

    :param position: file offset of an invalid frame.
    """
    following = data.find(_MAGIC, position + 1)
    while following >= 0:
        frame = read_frame(data, following)
        if frame is not None and frame.synced_offset > position:
            return frame.synced_offset
        following = data.find(_MAGIC, following + 1)
    return None


def _checksum(payload: bytes, synced_offset: int) -> int:
    return zlib.crc32(payload, zlib.crc32(synced_offset.to_bytes(8, "big")))
