"""Writes responses to callers: responses of workers, and errors of the sidecar.

A truncated worker response gets no final chunk or padding, so that the caller detects the
truncation by the framing.
"""

from __future__ import annotations

from http import HTTPStatus

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import Framing
from cranklane.common.http1.writer import LAST_CHUNK, chunk, framing_line, status_line
from cranklane.common.memory_budget import ORDINARY_BYTES
from cranklane.errors import TruncatedAnswerError
from cranklane.outcome import status_of
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.ingress.caller_connections import STREAMED_BYTES, CallerConnections
from cranklane.sidecar.ingress.caller_request import CallerRequest
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.streamed_answer import StreamedAnswer

WRITE_TIMEOUT_SECONDS = 10.0
"""Write timeout for a caller that reads nothing: bounds how long its response stays in memory. A
slow network may stall for some seconds."""

_CLOSE_LINE = b"Connection: close\r\n"
_CHUNKED_FRAMINGS = (Framing.CHUNKED, Framing.UNTIL_CLOSE)


class AnswerWriter:
    """Writes the responses of one ingress.

    :param connections: charges what is held for responses.
    """

    def __init__(
        self, runtime: Runtime, names: HeaderNames, connections: CallerConnections
    ) -> None:
        self._runtime = runtime
        self._connections = connections
        self._request_name = names.request

    def write_worker_answer(
        self, connection: CallerConnection, reply: Reply, reusable: bool, deadline: float
    ) -> bool:
        """Write a worker's response; return whether the connection can serve another request.

        :param reusable: whether the connection can be reused if the response is complete.
        :param deadline: monotonic second at which the caller gives up.
        """
        connection.stream.settimeout(WRITE_TIMEOUT_SECONDS)
        chunked = reply.framing in _CHUNKED_FRAMINGS
        head = b"%s%s%s%s\r\n" % (
            status_line(reply.status),
            reply.lines,
            framing_line(reply.framing, reply.length),
            b"" if reusable else _CLOSE_LINE,
        )
        body = chunk(reply.body) if chunked else reply.body
        data = head + body
        if reply.rest is None:
            if chunked:
                data += LAST_CHUNK
            if len(data) > ORDINARY_BYTES:
                self._write_large(connection, data)
            else:
                connection.send(data)
            return reusable
        # The first part has been copied.
        reply.body = b""
        return self._stream(connection, reply.rest, data, chunked, deadline) and reusable

    def _write_large(self, connection: CallerConnection, data: bytes) -> None:
        """Write a response that is charged to the connection until it has been sent."""
        connections = self._connections
        connections.charge_response(connection, 2 * len(data))
        connections.write(connection)
        try:
            connection.send(data)
        finally:
            connections.written(connection)

    def _stream(
        self,
        connection: CallerConnection,
        body_stream: StreamedAnswer,
        first_bytes: bytes,
        chunked: bool,
        deadline: float,
    ) -> bool:
        """Stream a response; return whether it was complete.

        :param first_bytes: head and first bytes of the body.
        """
        connections = self._connections
        connections.charge_response(connection, STREAMED_BYTES)
        connections.write(connection)
        try:
            connection.send(first_bytes)
            for data in body_stream:
                if self._runtime.monotonic() > deadline:
                    raise TruncatedAnswerError("the caller's deadline has passed")
                connections.write(connection)
                connection.send(chunk(data) if chunked else data)
            if chunked:
                connection.send(LAST_CHUNK)
        except TruncatedAnswerError:
            # Nothing more is written: the framing shows the caller that the response is truncated.
            return False
        finally:
            connections.written(connection)
            body_stream.close()
        return True

    def write_error(
        self, connection: CallerConnection, request: CallerRequest, reply: Reply, reusable: bool
    ) -> int:
        """Write an error for a request that no worker answered; return the status."""
        connection.stream.settimeout(WRITE_TIMEOUT_SECONDS)
        status = status_of(reply.outcome, reply.reason)
        lines = b""
        if request.id_header:
            lines = b"%s: %s\r\n" % (self._request_name, request.id_header)
        if status in retry_after.STATUSES:
            lines += retry_after.header_line(reply.retry_after_ms)
        connection.send(_error_answer(status, lines, reusable))
        return status

    def write_read_error(self, connection: CallerConnection, status: HTTPStatus) -> None:
        """Write an error for a request that could not be read; its connection cannot be reused."""
        lines = b""
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            lines = retry_after.header_line(retry_after.DEFAULT_MS)
        connection.send(_error_answer(status, lines, reusable=False))


def _error_answer(status: int, lines: bytes, reusable: bool) -> bytes:
    return b"%s%sContent-Length: 0\r\n%s\r\n" % (
        status_line(status),
        lines,
        b"" if reusable else _CLOSE_LINE,
    )
