"""A small HTTP/1.1 server for a daemon's own few calls.

It needs neither a web framework nor a WSGI server, whose memory each sidecar
would pay for a handful of calls a second.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    MessageCutError,
)
from cranklane.common.http1.reader import RequestReader
from cranklane.common.http1.writer import status_line
from cranklane.runtime.interface import Address, Runtime

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 256 * 1024
IDLE_SECONDS = 30.0
READ_SECONDS = 5.0


@dataclass(frozen=True)
class SmallAnswer:
    """An answer: its status, its body and the body's type."""

    status: int = 200
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
