"""Encodes and verifies small files that start with a CRC-32 checksum."""

from __future__ import annotations

import zlib
from struct import Struct

_CHECKSUM = Struct("!I")


def add_checksum(payload: bytes) -> bytes:
    """Return the content of a file: the CRC-32 of the payload, then the payload."""
    return _CHECKSUM.pack(zlib.crc32(payload)) + payload


def verified_payload(data: bytes) -> bytes | None:
    """Return the payload, or None if the file is corrupted.

    >>> data = add_checksum(b"a")
    >>> verified_payload(data), verified_payload(data + b"b"), verified_payload(b"")
    (b'a', None, None)
    """
    payload = data[_CHECKSUM.size :]
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != zlib.crc32(payload):
        return None
    return payload
