"""Encodes and decodes the lists in records."""

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


def _join(items: Sequence[bytes]) -> bytes:
    return b"".join(_LENGTH.pack(len(item)) + item for item in items)


def _split(data: bytes) -> list[bytes]:
    encoded_items = []
    position = 0
    while position < len(data):
        try:
            (size,) = _LENGTH.unpack_from(data, position)
        except struct.error as error:
            raise MalformedRecordError("the length of a list item is truncated") from error
        position += _LENGTH.size
        if position + size > len(data):
            raise MalformedRecordError("a list item is truncated")
        encoded_items.append(data[position : position + size])
        position += size
    return encoded_items


def pack_strings(items: Sequence[str]) -> bytes:
    """Encode a list of strings.

    :raises UnicodeEncodeError: if a string has a surrogate.
    """
    return _join([item.encode() for item in items])


def unpack_strings(data: bytes) -> list[str]:
    """Decode a list of strings.

    :raises MalformedRecordError: if the bytes are not such a list.

    >>> unpack_strings(pack_strings(["a", "bc"]))
    ['a', 'bc']
    """
    try:
        return [encoded.decode() for encoded in _split(data)]
    except UnicodeDecodeError as error:
        raise MalformedRecordError("a string in a list is not UTF-8") from error


def pack_pairs(pairs: Sequence[tuple[str, str]]) -> bytes:
    """Encode a list of pairs of strings."""
    if not pairs:
        return b""
    return pack_strings([text for pair in pairs for text in pair])


def unpack_pairs(data: bytes) -> list[tuple[str, str]]:
    """Decode a list of pairs of strings.

    :raises MalformedRecordError: if the bytes are not such a list.

    >>> unpack_pairs(pack_pairs([("a", "b")]))
    [('a', 'b')]
    """
    if not data:
        return []
    texts = unpack_strings(data)
    if len(texts) % 2:
        raise MalformedRecordError("a list of pairs has an odd number of strings")
    return list(zip(texts[::2], texts[1::2], strict=True))


def pack_records(records: Sequence[_Packable]) -> bytes:
    """Encode a list of records of one class."""
    return _join([record.pack() for record in records])


def unpack_records(unpack: Callable[[bytes], _Item], data: bytes) -> list[_Item]:
    """Decode a list of records of one class.

    :param unpack: decodes one record.
    :raises MalformedRecordError: if the bytes are not such a list.
    """
    return [unpack(encoded) for encoded in _split(data)]
