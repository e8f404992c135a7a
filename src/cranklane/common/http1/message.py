"""HTTP/1.1 messages: heads, framing, and what can be wrong with them.

Owns the types that readers return and writers take. Relies on nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Header = tuple[bytes, bytes]
"""Name and value as they stood on the wire."""


class Framing(IntEnum):
    """How the end of a body is known."""

    NONE = 0
    LENGTH = 1
    CHUNKED = 2
    UNTIL_CLOSE = 3


class MalformedMessageError(Exception):
    """The bytes are no HTTP/1.1 message."""


class HeadTooLargeError(Exception):
    """A message's head is larger than allowed."""


class MessageCutError(Exception):
    """The connection ended within a message."""


@dataclass(slots=True)
class RequestHead:
    """Request line and headers.

    :ivar target: as sent, escapes and query included.
    :ivar length: of the body in bytes; meaningful with ``Framing.LENGTH``.
    :ivar keep_alive: whether the sender keeps the connection.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    framing: Framing
    length: int
    keep_alive: bool

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return header_value(self.headers, lower_name)


@dataclass(slots=True)
class AnswerHead:
    """Status line and headers."""

    status: int
    headers: list[Header]
    framing: Framing
    length: int
    keep_alive: bool

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return header_value(self.headers, lower_name)


def header_value(headers: list[Header], lower_name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    >>> header_value([(b"X-Id", b"7")], b"x-id")
    b'7'
    """
    for name, value in headers:
        if len(name) == len(lower_name) and name.lower() == lower_name:
            return value
    return None


def framing_of(headers: list[Header]) -> tuple[Framing, int]:
    """Return how a body's end is stated, and its length in bytes (0 unless stated).

    >>> framing_of([(b"Content-Length", b"3")])
    (<Framing.LENGTH: 1>, 3)
    """
    length = -1
    for name, value in headers:
        lower = name.lower()
        if lower == b"transfer-encoding":
            return Framing.CHUNKED, 0
        if lower == b"content-length":
            length = int(value)
    if length < 0:
        return Framing.NONE, 0
    return Framing.LENGTH, length
