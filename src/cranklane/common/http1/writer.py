"""Serializes the parts of HTTP/1.1 messages: status line, headers, framing and chunks."""

from __future__ import annotations

from http import HTTPStatus

from cranklane.common.headers import HOP_BY_HOP as HOP_BY_HOP_NAMES
from cranklane.common.http1.header_block import HeaderBlock
from cranklane.common.http1.message import Framing

LAST_CHUNK = b"0\r\n\r\n"
"""Ends a chunked body."""

HOP_BY_HOP = frozenset(name.encode() for name in HOP_BY_HOP_NAMES) | {b"content-length"}
"""Hop-by-hop and framing headers; never forwarded unchanged."""

_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def status_line(status: int) -> bytes:
    """Return the status line of a response.

    >>> status_line(404)
    b'HTTP/1.1 404 Not Found\\r\\n'
    """
    return b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES.get(status, "Status").encode())


def end_to_end_lines(headers: HeaderBlock, without: frozenset[bytes] = frozenset()) -> bytes:
    """Return the header lines to forward.

    Drops hop-by-hop headers and those named by a ``Connection`` header.

    :param without: lower-case names of further headers to drop.
    """
    dropped = HOP_BY_HOP | without
    for value in headers.values(b"connection"):
        if value.lower() not in (b"close", b"keep-alive"):
            listed = {token.strip().lower() for token in value.split(b",")}
            dropped = dropped | (listed - {b"host"})
    return headers.without(dropped)


def framing_line(framing: Framing, length: int) -> bytes:
    """Return the header line for a body's framing.

    A body delimited by the end of its connection is forwarded in chunks.
    """
    if framing is Framing.NONE:
        return b""
    if framing is Framing.LENGTH:
        return b"Content-Length: %d\r\n" % length
    return b"Transfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body.

    >>> chunk(b"abc")
    b'3\\r\\nabc\\r\\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data)
