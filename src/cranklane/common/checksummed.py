"""Small files with their checksum in front: written whole, read only when undamaged."""

from __future__ import annotations

import zlib
from struct import Struct

_CHECKSUM = Struct("!I")


def add_checksum(payload: bytes) -> bytes:
    """Return a file's bytes: the payload's CRC-32, then the payload."""
    return _CHECKSUM.pack(zlib.crc32(payload)) + payload


def verified_payload(data: bytes) -> bytes | None:
    """Return the payload, or None when the file is damaged.

    >>> data = add_checksum(b"a")
    >>> verified_payload(data), verified_payload(data + b"b"), verified_payload(b"")
    (b'a', None, None)
    """
    payload = data[_CHECKSUM.size :]
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != zlib.crc32(payload):
        return None
    return payload
