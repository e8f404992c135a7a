"""Header lines of a message in one bytes object.

A head may have thousands of short lines. As one object they cost their size on the wire; as a list
of names and values they would cost some forty times as much.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

Header = tuple[bytes, bytes]
"""Name and value as received, without the white space around the value."""

MAX_INDEXED_LINES = 32
"""Number of lines up to which the names are kept apart, which makes lookups faster."""

_LINE_END = b"\r\n"
_WHITE_SPACE = b" \t"


class HeaderBlock:
    """Header lines, each ended by CRLF, as a strict parser has accepted them.

    :ivar lines: the lines in the order received, without the empty line after them.
    """

    __slots__ = ("lines", "_index")

    def __init__(self, lines: bytes) -> None:
        self.lines = lines
        self._index: _Index | None = None

    @classmethod
    def of(cls, headers: list[Header]) -> HeaderBlock:
        """Return the lines of a list of names and values."""
        return cls(b"".join([b"%s: %s\r\n" % header for header in headers]))

    def __iter__(self) -> Iterator[Header]:
        for line in self.lines.split(_LINE_END):
            if line:
                name, _, value = line.partition(b":")
                yield name, value.strip(_WHITE_SPACE)

    def _indexed(self) -> _Index | None:
        """Return the index of a head with an ordinary number of lines; None for a longer one."""
        if self._index is None and self.lines.count(b"\n") <= MAX_INDEXED_LINES:
            self._index = _index_of(self.lines)
        return self._index

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        >>> HeaderBlock(b"X-Id: 7\\r\\nX-Id: 8\\r\\n").value(b"x-id")
        b'7'
        """
        index = self._indexed()
        if index is None:
            return next(iter(self._search(lower_name)), None)
        if lower_name not in index.names:
            return None
        return _value_of(index.lines[index.names.index(lower_name)])

    def values(self, lower_name: bytes) -> list[bytes]:
        """Return all values of a header, in the order received."""
        index = self._indexed()
        if index is None:
            return self._search(lower_name)
        if lower_name not in index.names:
            return []
        pairs = zip(index.names, index.lines, strict=True)
        return [_value_of(line) for name, line in pairs if name == lower_name]

    def _search(self, lower_name: bytes) -> list[bytes]:
        """Return all values of a header without an object for each line."""
        lowered = _LINE_END + self.lines.lower()
        wanted = b"\r\n%s:" % lower_name
        values = []
        position = lowered.find(wanted)
        while position >= 0:
            # The position of the line end in ``lowered`` is that of the name in ``lines``.
            values.append(_value_of(self.lines[position : self.lines.index(_LINE_END, position)]))
            position = lowered.find(wanted, position + len(wanted))
        return values

    def without(self, lower_names: frozenset[bytes]) -> bytes:
        """Return the lines except those of some headers.

        >>> HeaderBlock(b"A: 1\\r\\nTE: x\\r\\nb:\\r\\n").without(frozenset({b"te"}))
        b'A: 1\\r\\nb:\\r\\n'
        """
        index = self._indexed() or _index_of(self.lines)
        pairs = zip(index.names, index.lines, strict=True)
        return _LINE_END.join([line for name, line in pairs if name not in lower_names])


class _Index(NamedTuple):
    """The lines of a block, and the name of each in lower case; an empty one is last."""

    names: list[bytes]
    lines: list[bytes]


def _index_of(text: bytes) -> _Index:
    lines = text.split(_LINE_END)
    return _Index([line[: line.find(b":")].lower() for line in lines], lines)


def _value_of(line: bytes) -> bytes:
    return line[line.find(b":") + 1 :].strip(_WHITE_SPACE)


EMPTY_BLOCK = HeaderBlock(b"")
