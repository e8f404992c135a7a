"""Bytes of a small file with their checksum before them."""

from __future__ import annotations

import zlib
from struct import Struct

_CHECKSUM = Struct("!I")


def seal(payload: bytes) -> bytes:
    """Return a file's bytes: the payload's CRC-32, then the payload."""
    return _CHECKSUM.pack(zlib.crc32(payload)) + payload


def unseal(data: bytes) -> bytes | None:
    """Return the payload, or None when it is damaged.

    >>> unseal(seal(b"a")), unseal(seal(b"a") + b"b"), unseal(b"")
    (b'a', None, None)
    """
    payload = data[_CHECKSUM.size :]
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != zlib.crc32(payload):
        return None
    return payload
