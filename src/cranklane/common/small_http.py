"""A small HTTP/1.1 server for a daemon's own few calls.

It needs neither a web framework nor a WSGI server, whose memory each sidecar
would pay for a handful of calls a second.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    MessageCutError,
)
from cranklane.common.http1.reader import RequestReader
from cranklane.common.http1.writer import status_line
from cranklane.runtime.interface import Address, Runtime

MAX_HEAD_BYTES = 16 * 1024
"""Largest head of a request. A choice: far above what these calls need."""

MAX_BODY_BYTES = 256 * 1024
"""Largest body of a request; the connection of a larger one is closed. A choice: far above
what these calls need."""

IDLE_SECONDS = 30.0
"""Seconds a kept connection may rest between requests. A choice: longer than the pause between
two collections of metrics."""

READ_SECONDS = 5.0
"""Seconds a caller has for the head of a request, and between pieces of its body. A choice:
a caller in the same network needs far less."""


class SmallAnswer(NamedTuple):
    """An answer: its status, its body and the body's type."""

    status: int = HTTPStatus.OK.value
    body: bytes = b""
    content_type: bytes = b"application/json"


SmallHandler = Callable[[str, str, bytes], SmallAnswer]
"""Answers a method, a path without its query, and a body."""


class SmallHttp:
    """Serves connections with one handler."""

    def __init__(self, runtime: Runtime, handler: SmallHandler) -> None:
        self._runtime = runtime
        self._handler = handler

    def accept(self, stream: Any, _address: Address) -> None:
        """Serve a connection until it ends."""
        reader = RequestReader(stream, MAX_HEAD_BYTES)
        try:
            while self._serve(stream, reader):
                pass
        except (OSError, MalformedMessageError, MessageCutError, HeadTooLargeError):
            # The caller has left, is too slow, or speaks no HTTP: nobody takes an answer.
            pass
        finally:
            stream.close()

    def _serve(self, stream: Any, reader: RequestReader) -> bool:
        head = reader.next_head(IDLE_SECONDS, READ_SECONDS, self._runtime.monotonic)
        if head is None:
            return False
        stream.settimeout(READ_SECONDS)
        body = b""
        while piece := reader.next_piece():
            body += piece
            if len(body) > MAX_BODY_BYTES:
                return False
        reader.finish()
        path = head.target.decode("latin-1").partition("?")[0]
        answer = self._handler(head.method.decode("latin-1"), path, body)
        close = b"" if head.keep_alive else b"Connection: close\r\n"
        stream.sendall(
            b"%sContent-Type: %s\r\nContent-Length: %d\r\n%s\r\n%s"
            % (
                status_line(answer.status),
                answer.content_type,
                len(answer.body),
                close,
                answer.body,
            )
        )
        return head.keep_alive
