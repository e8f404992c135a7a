"""Minimal HTTP/1.1 server for a daemon's internal endpoints.

Avoids the memory cost of a web framework or a WSGI server in each sidecar.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
)
from cranklane.common.http1.parsing_turns import ParsingTurns
from cranklane.common.http1.reader import RequestReader
from cranklane.common.http1.writer import status_line
from cranklane.errors import OverloadedError
from cranklane.runtime.interface import Address, Runtime

MAX_HEAD_BYTES = 16 * 1024
"""Maximum size of a request head."""

MAX_BODY_BYTES = 256 * 1024
"""Maximum size of a request body; a larger one closes the connection."""

MAX_CONNECTIONS = 64
"""Maximum number of connections of a port. Beyond it, the one that has waited longest for a request
is closed."""

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


_NO_RESPONSE = (
    OSError,
    MalformedMessageError,
    TruncatedMessageError,
    HeadTooLargeError,
    OverloadedError,
)


class SmallHttp:
    """Serves connections, passing each request to a handler.

    :param max_body_bytes: maximum size of a request body; a larger one closes the connection.
    """

    def __init__(
        self, runtime: Runtime, handler: SmallHandler, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._runtime = runtime
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._turns = ParsingTurns(runtime.monotonic)
        self._connections = 0
        self._waiting: OrderedDict[Any, None] = OrderedDict()

    def accept(self, stream: Any, _address: Address) -> None:
        """Serve requests on a connection until it ends."""
        if self._connections >= MAX_CONNECTIONS and not self._close_longest_waiting():
            stream.close()
            return
        self._connections += 1
        reader = RequestReader(stream, MAX_HEAD_BYTES)
        reader.turns = self._turns
        try:
            while self._serve(stream, reader):
                pass
        except _NO_RESPONSE:
            # The caller disconnected, timed out or sent invalid HTTP, or there is no time for it.
            pass
        finally:
            self._connections -= 1
            self._waiting.pop(stream, None)
            stream.close()

    def _close_longest_waiting(self) -> bool:
        """Close the connection that has waited longest for a request; return False without one."""
        if not self._waiting:
            return False
        stream, _ = self._waiting.popitem(last=False)
        stream.close()
        return True

    def _serve(self, stream: Any, reader: RequestReader) -> bool:
        self._waiting[stream] = None
        head = reader.next_head(IDLE_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS, self._runtime.monotonic)
        if head is None:
            return False
        stream.settimeout(READ_TIMEOUT_SECONDS)
        body = self._read_body(reader)
        self._waiting.pop(stream, None)
        if body is None:
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

    def _read_body(self, reader: RequestReader) -> bytes | None:
        """Return the body of a request; None if it is too large."""
        pieces: list[bytes] = []
        size = 0
        while data := reader.next_piece():
            size += len(data)
            if size > self._max_body_bytes:
                return None
            pieces.append(data)
        return b"".join(pieces)
