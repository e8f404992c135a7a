"""One caller's connection and the request under way on it."""

from __future__ import annotations

from typing import Any

import gevent

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    MessageCutError,
    RequestHead,
)
from cranklane.common.http1.reader import RequestReader
from cranklane.routes.table import RouteTable
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.request.attempt import SMALL_BODY_BYTES

DISCARD_SECONDS = 2.0
"""Time in which the rest of a body is read and thrown away after an early answer."""


class CallerConnection:
    """One caller's connection and the request under way on it."""

    def __init__(self, runtime: Runtime, stream: Any, table: RouteTable) -> None:
        self._runtime = runtime
        self.stream = stream
        self.reader = RequestReader(stream, table.limits.max_header_bytes)
        self.body = b""
        self.body_whole = True
        self._left = 0

    def next_head(self, idle_seconds: float, head_seconds: float) -> RequestHead | None:
        """Return the next request's head, or None at the end.

        :raises TimeoutError: when nothing comes in time.
        """
        self.body = b""
        self.body_whole = True
        return self.reader.next_head(idle_seconds, head_seconds, self._runtime.monotonic)

    def read_body(self, size: int, most: int) -> None:
        """Read the body up to a size.

        :raises HeadTooLargeError: when more than ``most`` bytes came.
        """
        self._left = most
        self.body, self.body_whole = self.reader.body_so_far()
        while not self.body_whole and len(self.body) < size:
            piece = self.reader.next_piece()
            self.body_whole = not piece
            self.body += piece
        self._count(len(self.body))

    def _count(self, size: int) -> None:
        self._left -= size
        if self._left < 0:
            raise HeadTooLargeError

    def next_piece(self) -> bytes:
        """Return the next piece of a large body, nothing at its end."""
        piece = self.reader.next_piece()
        self._count(len(piece))
        return piece

    def read_rest(self) -> bool:
        """Read a small body that nobody wants; return whether that was all of it."""
        try:
            self.read_body(SMALL_BODY_BYTES, SMALL_BODY_BYTES)
        except (HeadTooLargeError, MalformedMessageError, MessageCutError, OSError):
            return False
        return self.body_whole

    def end_request(self) -> None:
        """Make ready for the next request."""
        self.reader.finish()

    def send(self, data: bytes) -> None:
        """Write bytes to the caller."""
        self.stream.sendall(data)

    def discard(self) -> None:
        """End sending, and read what still comes for a while.

        A close with unread bytes would reset the connection, and the answer
        could be lost with it.
        """
        try:
            self.stream.shutdown(1)
            with gevent.Timeout(DISCARD_SECONDS, False):
                self.stream.settimeout(DISCARD_SECONDS)
                while self.stream.recv(65536):
                    pass
        except OSError:
            pass

    def close(self) -> None:
        """Close it."""
        self.stream.close()
