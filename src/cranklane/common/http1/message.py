"""Types of HTTP/1.1 messages: heads, framing and parse errors."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from cranklane.common.http1.header_block import HeaderBlock


class Framing(IntEnum):
    """How a body is delimited."""

    NONE = 0
    LENGTH = 1
    CHUNKED = 2
    UNTIL_CLOSE = 3


_FIRST_INTERIM_STATUS = 100
_FIRST_FINAL_STATUS = 200
_FIRST_INVALID_STATUS = 600

_SWITCHING_PROTOCOLS = 101
"""No request of this system asks for another protocol, so no answer can switch to one."""


def is_interim_status(status: int) -> bool:
    """Return whether a response is interim, so that another one follows (RFC 9110, 15.2).

    >>> [is_interim_status(status) for status in (0, 99, 100, 101, 103, 199, 200)]
    [False, False, True, False, True, True, False]
    """
    return _FIRST_INTERIM_STATUS <= status < _FIRST_FINAL_STATUS and status != _SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Return whether a response with a status may be the answer to a request (RFC 9110, 15).

    >>> [is_final_status(status) for status in (0, 199, 200, 599, 600, 999)]
    [False, False, True, True, False, False]
    """
    return _FIRST_FINAL_STATUS <= status < _FIRST_INVALID_STATUS


class MalformedMessageError(Exception):
    """The received bytes are not a valid HTTP/1.1 message."""


class HeadTooLargeError(Exception):
    """A message head exceeds the size limit."""


class TruncatedMessageError(Exception):
    """The connection ended before the end of a message."""


@dataclass(slots=True)
class RequestHead:
    """Request line and headers.

    :ivar target: request target as received, with its query and percent-encoding.
    :ivar length: body size in bytes; valid only with ``Framing.LENGTH``.
    :ivar keep_alive: whether the connection stays open after the message.
    """

    method: bytes
    target: bytes
    headers: HeaderBlock
    framing: Framing
    length: int
    keep_alive: bool

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return self.headers.value(lower_name)


@dataclass(slots=True)
class AnswerHead:
    """Status line and headers."""

    status: int
    headers: HeaderBlock
    framing: Framing
    length: int
    keep_alive: bool

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return self.headers.value(lower_name)


def framing_of(headers: HeaderBlock) -> tuple[Framing, int]:
    """Return a body's framing and its ``Content-Length`` (0 if not applicable).

    >>> framing_of(HeaderBlock(b"Content-Length: 3\\r\\n"))
    (<Framing.LENGTH: 1>, 3)
    """
    if headers.value(b"transfer-encoding") is not None:
        return Framing.CHUNKED, 0
    length = headers.value(b"content-length")
    if length is None:
        return Framing.NONE, 0
    return Framing.LENGTH, int(length)
