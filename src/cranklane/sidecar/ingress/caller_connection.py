"""A caller's connection: reads requests, enforces the limit on body size, sends responses."""

from __future__ import annotations

from typing import Any

import gevent

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    RequestHead,
    TruncatedMessageError,
)
from cranklane.common.http1.parsing_turns import PARSE_AT_ONCE, ParsingTurns
from cranklane.common.http1.reader import RequestReader
from cranklane.routes.table import RouteTable
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.request.attempt import MAX_BUFFERED_BODY_BYTES

LINGER_SECONDS = 2.0
"""Seconds during which incoming bytes are read and discarded after an early response. A caller that
is still sending reads the response well within it."""

_LINGER_READ_BYTES = 64 * 1024


class CallerConnection:
    """A caller's connection and the request in progress on it.

    :param turns: bounds the time spent on long heads.
    :ivar has_served: whether a whole request has been read from it.
    :ivar body: buffered part of the request's body.
    :ivar body_whole: whether ``body`` is the complete body.
    """

    def __init__(
        self,
        runtime: Runtime,
        stream: Any,
        table: RouteTable,
        turns: ParsingTurns = PARSE_AT_ONCE,
    ) -> None:
        self._runtime = runtime
        self.stream = stream
        self.reader = RequestReader(stream, table.limits.max_header_bytes)
        self.reader.turns = turns
        self.has_served = False
        self.body = b""
        self.body_whole = True
        self._bytes_remaining = 0

    def next_head(self, idle_seconds: float, head_seconds: float) -> RequestHead | None:
        """Return the next request's head, or None if the caller closed the connection.

        :param idle_seconds: time allowed for the first byte.
        :param head_seconds: time allowed for the rest of the head.
        :raises TimeoutError: when either time is exceeded.
        """
        self.body = b""
        self.body_whole = True
        return self.reader.next_head(idle_seconds, head_seconds, self._runtime.monotonic)

    def read_body(self, buffer_bytes: int, max_bytes: int) -> None:
        """Read the body into the buffer until it ends or the buffer is full.

        :param buffer_bytes: buffered bytes from which on no further read is made.
        :param max_bytes: limit on the whole body, also applied by :meth:`next_piece`.
        :raises HeadTooLargeError: when the body exceeds ``max_bytes``.
        :raises MalformedMessageError: when the body's framing is invalid.
        :raises TruncatedMessageError: when the connection ends within the body.
        """
        self._bytes_remaining = max_bytes
        self.body, self.body_whole = self.reader.take_buffered_body()
        while not self.body_whole and len(self.body) < buffer_bytes:
            data = self.reader.next_piece()
            self.body_whole = not data
            self.body += data
        self._count_bytes(len(self.body))

    def _count_bytes(self, size: int) -> None:
        self._bytes_remaining -= size
        if self._bytes_remaining < 0:
            raise HeadTooLargeError

    def next_piece(self) -> bytes:
        """Return the next bytes of a body larger than the buffer; empty at its end."""
        data = self.reader.next_piece()
        self._count_bytes(len(data))
        return data

    def discard_body(self) -> bool:
        """Read and discard a small body; return whether it was read completely."""
        size = 0
        try:
            while data := self.reader.next_piece():
                size += len(data)
                if size > MAX_BUFFERED_BODY_BYTES:
                    return False
        except (MalformedMessageError, TruncatedMessageError, OSError):
            # The response does not depend on the body; only the connection cannot be reused.
            return False
        return True

    def end_request(self) -> None:
        """Reset the reader for the next request."""
        self.reader.finish()

    def send(self, data: bytes) -> None:
        """Write bytes to the caller."""
        self.stream.sendall(data)

    def linger(self) -> None:
        """Shut down the sending side, then read and discard incoming bytes for a while.

        Closing a socket with unread bytes resets the connection, and the caller may lose the
        response.
        """
        try:
            self.stream.shutdown(1)
            with gevent.Timeout(LINGER_SECONDS, False):
                self.stream.settimeout(LINGER_SECONDS)
                while self.stream.recv(_LINGER_READ_BYTES):
                    pass
        except OSError:
            # The caller has closed the connection.
            pass

    def close(self) -> None:
        """Close the connection without waiting for the caller."""
        self.stream.close()
