"""Writes answers to callers: those of workers as they come, and the sidecar's own.

Owns the time that a caller may take to read. An answer of a worker that ends too early is
never made to look whole: its framing shows the caller that it is cut.
"""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import Framing
from cranklane.common.http1.writer import LAST_CHUNK, chunk, framing_line, status_line
from cranklane.errors import TruncatedAnswerError
from cranklane.outcome import status_of
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.ingress.caller_request import CallerRequest
from cranklane.sidecar.request.attempt import Reply

WRITE_SECONDS = 10.0
"""Seconds after which a caller that takes no bytes is given up. A choice: a slow network may
stall for some seconds; a caller that is gone must not keep its answer in memory for longer."""

_CLOSE_LINE = b"Connection: close\r\n"
_IN_CHUNKS = (Framing.CHUNKED, Framing.UNTIL_CLOSE)


class AnswerWriter:
    """Writes the answers of one ingress."""

    def __init__(self, runtime: Runtime, names: HeaderNames) -> None:
        self._runtime = runtime
        self._request_name = names.request

    def write_answered(
        self, connection: CallerConnection, reply: Reply, keep: bool, deadline: float
    ) -> bool:
        """Write the answer of a worker; return whether it was whole and the connection stays.

        :param keep: whether the connection may serve another request.
        :param deadline: monotonic second at which its caller waits no more.
        """
        connection.stream.settimeout(WRITE_SECONDS)
        in_chunks = reply.framing in _IN_CHUNKS
        head = b"%s%s%s%s\r\n" % (
            status_line(reply.status),
            reply.lines,
            framing_line(reply.framing, reply.length),
            b"" if keep else _CLOSE_LINE,
        )
        body = chunk(reply.body) if in_chunks else reply.body
        if reply.rest is None:
            connection.send(head + body + LAST_CHUNK if in_chunks else head + body)
            return keep
        return self._stream(connection, reply.rest, head + body, in_chunks, deadline) and keep

    def _stream(
        self,
        connection: CallerConnection,
        pieces: Iterator[bytes],
        start: bytes,
        in_chunks: bool,
        deadline: float,
    ) -> bool:
        """Write an answer piece by piece; return whether it was whole.

        :param start: its head and the first piece of its body.
        """
        try:
            connection.send(start)
            for piece in pieces:
                if self._runtime.monotonic() > deadline:
                    raise TruncatedAnswerError("its time is over")
                connection.send(chunk(piece) if in_chunks else piece)
            if in_chunks:
                connection.send(LAST_CHUNK)
        except TruncatedAnswerError:
            # The caller sees by the framing that the answer is not whole.
            return False
        finally:
            pieces.close()  # type: ignore[attr-defined]
        return True

    def write_unanswered(
        self, connection: CallerConnection, request: CallerRequest, reply: Reply, keep: bool
    ) -> int:
        """Write why a request has no answer of a worker; return the status."""
        connection.stream.settimeout(WRITE_SECONDS)
        status = status_of(reply.outcome, reply.reason)
        lines = b""
        if request.id_header:
            lines = b"%s: %s\r\n" % (self._request_name, request.id_header)
        if status in retry_after.STATUSES:
            lines += retry_after.header_line(reply.retry_after_ms)
        connection.send(_own_answer(status, lines, keep))
        return status

    def write_unreadable(self, connection: CallerConnection, status: HTTPStatus) -> None:
        """Write that a request could not be read; its connection cannot be kept."""
        connection.send(_own_answer(status, b"", keep=False))


def _own_answer(status: int, lines: bytes, keep: bool) -> bytes:
    return b"%s%sContent-Length: 0\r\n%s\r\n" % (
        status_line(status),
        lines,
        b"" if keep else _CLOSE_LINE,
    )
