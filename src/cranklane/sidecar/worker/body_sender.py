"""Writes the body of a request to the worker while its answer is read."""

from __future__ import annotations

from cranklane.common.http1.message import Framing, MalformedMessageError, TruncatedMessageError
from cranklane.common.http1.writer import LAST_CHUNK, chunk
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.sidecar.request.attempt import Attempt
from cranklane.sidecar.worker.pool import WorkerConnection

_BODY_ERRORS = (
    OSError,
    TruncatedMessageError,
    MalformedMessageError,
    ConnectionLostError,
    MalformedRecordError,
)
"""How reading the rest of a body, or writing it, can fail."""


class BodySender:
    """Writes one body, in a task of its own.

    :ivar done: whether all of it was written.
    """

    def __init__(self, connection: WorkerConnection, attempt: Attempt) -> None:
        self._connection = connection
        self._attempt = attempt
        self.done = False

    def run(self) -> None:
        """Write the body to its end, or close the connection."""
        attempt = self._attempt
        framing = Framing(attempt.request.framing)
        try:
            self._write(framing, attempt.request.body)
            while attempt.rest is not None:
                piece = attempt.rest()
                if not piece:
                    break
                self._write(framing, piece)
            if framing is Framing.CHUNKED:
                self._connection.stream.sendall(LAST_CHUNK)
            self.done = True
        except _BODY_ERRORS:
            # A body that ends too early must not look whole to the worker.
            self._connection.close()

    def _write(self, framing: Framing, data: bytes) -> None:
        if data:
            self._connection.stream.sendall(chunk(data) if framing is Framing.CHUNKED else data)
