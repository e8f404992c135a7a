"""Encoding of lists inside records."""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from struct import Struct
from typing import Protocol, TypeVar

from cranklane.errors import MalformedRecordError

_LENGTH = Struct("!I")
_Item = TypeVar("_Item")


class _Packable(Protocol):
    def pack(self) -> bytes: ...


def _join(parts: Sequence[bytes]) -> bytes:
    return b"".join(_LENGTH.pack(len(part)) + part for part in parts)


def _split(data: bytes) -> list[bytes]:
    parts = []
    position = 0
    while position < len(data):
        try:
            (size,) = _LENGTH.unpack_from(data, position)
        except struct.error as error:
            raise MalformedRecordError("list length cut short") from error
        position += _LENGTH.size
        if position + size > len(data):
            raise MalformedRecordError("list item cut short")
        parts.append(data[position : position + size])
        position += size
    return parts


def pack_strings(items: Sequence[str]) -> bytes:
    """Encode a list of text."""
    return _join([item.encode() for item in items])


def unpack_strings(data: bytes) -> list[str]:
    """Decode a list of text.

    :raises MalformedRecordError: when the bytes are no such list.

    >>> unpack_strings(pack_strings(["a", "bc"]))
    ['a', 'bc']
    """
    try:
        return [part.decode() for part in _split(data)]
    except UnicodeDecodeError as error:
        raise MalformedRecordError("text is not UTF-8") from error


def pack_pairs(pairs: Sequence[tuple[str, str]]) -> bytes:
    """Encode a list of (text, text)."""
    if not pairs:
        return b""
    return pack_strings([text for pair in pairs for text in pair])


def unpack_pairs(data: bytes) -> list[tuple[str, str]]:
    """Decode a list of (text, text).

    :raises MalformedRecordError: when the bytes are no such list.

    >>> unpack_pairs(pack_pairs([("a", "b")]))
    [('a', 'b')]
    """
    if not data:
        return []
    texts = unpack_strings(data)
    if len(texts) % 2:
        raise MalformedRecordError("odd number of texts in a list of pairs")
    return list(zip(texts[::2], texts[1::2], strict=True))


def pack_records(records: Sequence[_Packable]) -> bytes:
    """Encode a list of records of one kind."""
    return _join([record.pack() for record in records])


def unpack_records(unpack: Callable[[bytes], _Item], data: bytes) -> list[_Item]:
    """Decode a list of records with the record's ``unpack``."""
    return [unpack(part) for part in _split(data)]
