"""Sends a request's body to the worker in the framing that its head announces."""

from __future__ import annotations

from cranklane.common.http1.message import Framing
from cranklane.common.http1.writer import LAST_CHUNK, chunk
from cranklane.sidecar.request.attempt import Attempt
from cranklane.sidecar.worker.pool import WorkerConnection


def send_body(connection: WorkerConnection, attempt: Attempt) -> None:
    """Send the buffered part of a body and then the rest as it arrives.

    :raises OSError: if the connection fails.
    :raises MalformedMessageError: if the rest of the body has an invalid framing.
    :raises TruncatedMessageError: if the caller's connection ends before the body does.
    :raises ConnectionLostError: if the connection of the forwarding sidecar fails.
    :raises MalformedRecordError: if the forwarding sidecar sends an unexpected record.
    """
    framing = Framing(attempt.request.framing)
    _write(connection, framing, attempt.request.body)
    if attempt.rest is not None:
        while data := attempt.read_rest():
            _write(connection, framing, data)
    if framing is Framing.CHUNKED:
        connection.stream.sendall(LAST_CHUNK)


def _write(connection: WorkerConnection, framing: Framing, data: bytes) -> None:
    if data:
        connection.stream.sendall(chunk(data) if framing is Framing.CHUNKED else data)
