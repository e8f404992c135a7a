"""One caller's connection and the request under way on it.

Owns how much of a body has been read and how much may still come.
"""

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
from cranklane.sidecar.request.attempt import MAX_BUFFERED_BODY_BYTES

DISCARD_SECONDS = 2.0
"""Seconds in which the rest of a body is read and thrown away after an early answer. A choice: a
caller that is sending reads the answer well within it."""

_DISCARD_BYTES = 64 * 1024


class CallerConnection:
    """One caller's connection and the request under way on it.

    :ivar body: what of the request's body has been read and is kept.
    :ivar body_whole: whether that is all of it.
    """

    def __init__(self, runtime: Runtime, stream: Any, table: RouteTable) -> None:
        self._runtime = runtime
        self.stream = stream
        self.reader = RequestReader(stream, table.limits.max_header_bytes)
        self.body = b""
        self.body_whole = True
        self._bytes_allowed = 0

    def next_head(self, idle_seconds: float, head_seconds: float) -> RequestHead | None:
        """Return the next request's head, or None at the end.

        :raises TimeoutError: when nothing comes in time.
        """
        self.body = b""
        self.body_whole = True
        return self.reader.next_head(idle_seconds, head_seconds, self._runtime.monotonic)

    def read_body(self, kept_bytes: int, max_bytes: int) -> None:
        """Read the body until it ends or a number of bytes is there.

        :param kept_bytes: after so many no further piece is read.
        :raises HeadTooLargeError: when more than ``max_bytes`` came, also later on.
        :raises MalformedMessageError: when its framing is broken.
        :raises MessageCutError: when the connection ends before it does.
        """
        self._bytes_allowed = max_bytes
        self.body, self.body_whole = self.reader.body_so_far()
        while not self.body_whole and len(self.body) < kept_bytes:
            piece = self.reader.next_piece()
            self.body_whole = not piece
            self.body += piece
        self._count(len(self.body))

    def _count(self, size: int) -> None:
        self._bytes_allowed -= size
        if self._bytes_allowed < 0:
            raise HeadTooLargeError

    def next_piece(self) -> bytes:
        """Return the next piece of a large body, nothing at its end."""
        piece = self.reader.next_piece()
        self._count(len(piece))
        return piece

    def skip_body(self) -> bool:
        """Read a small body that nobody wants; return whether that was all of it."""
        try:
            self.read_body(MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES)
        except (HeadTooLargeError, MalformedMessageError, MessageCutError, OSError):
            # Its answer is known already; only the connection is of no further use.
            return False
        return self.body_whole

    def end_request(self) -> None:
        """Get ready for the next request."""
        self.reader.finish()

    def send(self, data: bytes) -> None:
        """Write bytes to the caller."""
        self.stream.sendall(data)

    def discard(self) -> None:
        """Stop sending, and read what still comes for a while.

        Closing with unread bytes would reset the connection, and the caller could lose the
        answer with it.
        """
        try:
            self.stream.shutdown(1)
            with gevent.Timeout(DISCARD_SECONDS, False):
                self.stream.settimeout(DISCARD_SECONDS)
                while self.stream.recv(_DISCARD_BYTES):
                    pass
        except OSError:
            # The caller has closed its side: nothing is left to read.
            pass

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.close()
