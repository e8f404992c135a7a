"""Frames of the log file: magic, payload length, checksum, synced offset and a LogEntry.

The synced offset is the file offset that was known to be synced when the frame was written. It
tells a torn tail from damage: bytes after the last sync may be lost in a crash; a bad frame
below an offset that a later frame states as synced means that acknowledged entries are damaged.
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
    """One frame as read.

    :ivar synced: offset that was synced when it was written.
    :ivar end: offset of the next frame.
    """

    entry: LogEntry
    synced: int
    end: int


def encode_frame(entry: LogEntry, synced: int) -> bytes:
    """Return an entry's frame."""
    payload = entry.pack()
    return _HEADER.pack(_MAGIC, len(payload), _checksum(payload, synced), synced) + payload


def read_frame(data: bytes, position: int) -> LogFrame | None:
    """Return the frame at an offset, or None when it is torn or damaged."""
    start = position + _HEADER.size
    if start > len(data):
        return None
    magic, size, checksum, synced = _HEADER.unpack_from(data, position)
    payload = data[start : start + size]
    if magic != _MAGIC or len(payload) != size or _checksum(payload, synced) != checksum:
        return None
    try:
        return LogFrame(LogEntry.unpack(payload), synced, start + size)
    except MalformedRecordError:
        # As a wrong checksum: the caller decides between a torn tail and damage.
        return None


def synced_after(data: bytes, position: int) -> int | None:
    """Return an offset above ``position`` that a later frame states as synced, or None.

    :param position: offset of a bad frame.
    """
    following = data.find(_MAGIC, position + 1)
    while following >= 0:
        frame = read_frame(data, following)
        if frame is not None and frame.synced > position:
            return frame.synced
        following = data.find(_MAGIC, following + 1)
    return None


def _checksum(payload: bytes, synced: int) -> int:
    return zlib.crc32(payload, zlib.crc32(synced.to_bytes(8, "big")))
