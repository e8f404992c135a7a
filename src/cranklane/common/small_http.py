"""Minimal HTTP/1.1 server for a daemon's internal endpoints.

Avoids the memory cost of a web framework or a WSGI server in each sidecar.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
)
from cranklane.common.http1.reader import RequestReader
from cranklane.common.http1.writer import status_line
from cranklane.runtime.interface import Address, Runtime

MAX_HEAD_BYTES = 16 * 1024
"""Maximum size of a request head."""

MAX_BODY_BYTES = 256 * 1024
"""Maximum size of a request body; a larger one closes the connection."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Idle timeout of a connection; longer than the interval of metric scrapes."""

READ_TIMEOUT_SECONDS = 5.0
"""Timeout for the head of a request, and for each receive of its body."""


class SmallAnswer(NamedTuple):
    """A response with its status, body and content type."""

    status: int = HTTPStatus.OK.value
    body: bytes = b""
    content_type: bytes = b"application/json"


SmallHandler = Callable[[str, str, bytes], SmallAnswer]
"""Handles a request: method, path without its query, body."""


class SmallHttp:
    """Serves connections, passing each request to a handler."""

    def __init__(self, runtime: Runtime, handler: SmallHandler) -> None:
        self._runtime = runtime
        self._handler = handler

    def accept(self, stream: Any, _address: Address) -> None:
        """Serve requests on a connection until it ends."""
        reader = RequestReader(stream, MAX_HEAD_BYTES)
        try:
            while self._serve(stream, reader):
                pass
        except (OSError, MalformedMessageError, TruncatedMessageError, HeadTooLargeError):
            # No response: the caller disconnected, timed out or sent invalid HTTP.
            pass
        finally:
            stream.close()

    def _serve(self, stream: Any, reader: RequestReader) -> bool:
        head = reader.next_head(IDLE_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS, self._runtime.monotonic)
        if head is None:
            return False
        stream.settimeout(READ_TIMEOUT_SECONDS)
        body = b""
        while data := reader.next_piece():
            body += data
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
