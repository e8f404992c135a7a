"""Sends a request's body to the worker while the response is read."""

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
"""Errors from reading the rest of a body or from writing it to the worker."""


class BodySender:
    """Sends one body in a separate task.

    :ivar done: whether the complete body was sent.
    """

    def __init__(self, connection: WorkerConnection, attempt: Attempt) -> None:
        self._connection = connection
        self._attempt = attempt
        self.done = False

    def run(self) -> None:
        """Send the complete body; close the connection on an error."""
        attempt = self._attempt
        framing = Framing(attempt.request.framing)
        try:
            self._write(framing, attempt.request.body)
            attempt.rest_started = attempt.rest is not None
            while attempt.rest is not None:
                data = attempt.rest()
                if not data:
                    break
                self._write(framing, data)
            if framing is Framing.CHUNKED:
                self._connection.stream.sendall(LAST_CHUNK)
            self.done = True
        except _BODY_ERRORS:
            # Closing prevents the worker from accepting a truncated body as complete.
            self._connection.close()

    def _write(self, framing: Framing, data: bytes) -> None:
        if data:
            self._connection.stream.sendall(chunk(data) if framing is Framing.CHUNKED else data)
