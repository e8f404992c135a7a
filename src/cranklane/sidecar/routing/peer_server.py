"""Server for other sidecars: passes their requests to the admission gate of the local worker."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from cranklane.common.memory_budget import ORDINARY_BYTES, MemoryBudget
from cranklane.errors import ConnectionLostError, MalformedRecordError, TruncatedAnswerError
from cranklane.outcome import Outcome, Reason
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ForwardBody,
    ForwardCut,
    ForwardRequest,
    Hello,
    Message,
    QuarantineNews,
)
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.admission.gate import Gate
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.request.attempt import Attempt, Reply, refusal
from cranklane.sidecar.routing.forward_records import encode_reply
from cranklane.sidecar.routing.forwarded_body import ForwardedBody

IDLE_TIMEOUT_SECONDS = 20.0
"""Idle time after which a connection is closed. Longer than the client reuses a connection
(``peer_client.MAX_IDLE_SECONDS``), so that no request arrives while it is closed."""

HELLO_TIMEOUT_SECONDS = 5.0
"""Timeout for the first record of a connection."""


class PeerLimits(NamedTuple):
    """Limits on what is kept for other sidecars.

    :ivar memory: what the process may hold for clients, which their requests are charged to.
    :ivar connections: number of their connections up to which requests are served.
    """

    memory: MemoryBudget
    connections: int


class PeerServer:
    """Serves connections of other sidecars.

    :param on_update: applies a quarantine update and returns the response to it.
    """

    def __init__(
        self,
        runtime: Runtime,
        gate: Gate,
        disconnects: DisconnectWatch,
        on_update: Callable[[QuarantineNews], QuarantineNews],
        limits: PeerLimits,
        log: Any,
    ) -> None:
        self._on_update = on_update
        self._limits = limits
        self._connections = 0
        self._runtime = runtime
        self._log = log
        self._gate = gate
        self._disconnects = disconnects
        self._idle: set[RecordConnection] = set()

    def accept(self, stream: object, _address: Address) -> None:
        """Serve a connection until either side closes it."""
        records = RecordConnection(stream, HELLO_TIMEOUT_SECONDS)
        self._connections += 1
        try:
            records.expect(Hello)
            records.set_idle_timeout(IDLE_TIMEOUT_SECONDS)
            while True:
                self._idle.add(records)
                _, message = records.receive()
                self._idle.discard(records)
                if not self._handle(records, stream, message):
                    break
        except ConnectionLostError:
            # Not an error: clients close idle connections, and cancel requests by closing.
            pass
        except MalformedRecordError as error:
            # Logged as an error: a protocol fault would make further requests fail too.
            self._log.error("peer_record_malformed", error=str(error))
        finally:
            self._connections -= 1
            self._idle.discard(records)
            records.close()

    def _handle(self, records: RecordConnection, stream: object, message: Message) -> bool:
        """Handle a record; return whether the connection can be reused.

        :raises MalformedRecordError: when the record is of an unexpected kind.
        """
        match message:
            case ForwardRequest():
                return self._handle_request(records, stream, message)
            case QuarantineNews():
                records.send(self._on_update(message))
                return True
            case _:
                raise MalformedRecordError(
                    f"expected ForwardRequest or QuarantineNews, received {type(message).__name__}"
                )

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for records in list(self._idle):
            records.close()

    def _handle_request(
        self, records: RecordConnection, stream: object, request: ForwardRequest
    ) -> bool:
        """Run a request, send its reply and return whether the connection can be reused."""
        if self._connections > self._limits.connections:
            # Only a reply tells that the request has not run; a close would leave that open.
            records.send(encode_reply(self._refuse_for_memory()))
            return False
        memory = self._limits.memory
        size = len(request.lines) + len(request.body)
        if size <= ORDINARY_BYTES:
            return self._run(records, stream, request)
        if not memory.fits(size):
            records.send(encode_reply(self._refuse_for_memory()))
            return request.whole
        memory.charge(size)
        try:
            return self._run(records, stream, request)
        finally:
            memory.charge(-size)

    def _refuse_for_memory(self) -> Reply:
        reply = refusal(Reason.MEMORY_FULL, retry_after_ms=retry_after.DEFAULT_MS)
        reply.load = self._gate.load
        return reply

    def _run(self, records: RecordConnection, stream: object, request: ForwardRequest) -> bool:
        body = None if request.whole else ForwardedBody(records)
        attempt = Attempt(request, body.read if body is not None else None)
        self._disconnects.add(stream, attempt.cancel)
        try:
            reply = self._gate.run(attempt, body.request if body is not None else None)
        finally:
            self._disconnects.remove(stream)
        attempt.when_cancelled(None)
        if attempt.cancelled:
            if reply.rest is not None:
                reply.rest.close()
            return False
        sent = self._send_reply(records, reply)
        if body is None:
            return sent
        body.skip()
        return sent and reply.outcome is Outcome.ANSWERED

    def _send_reply(self, records: RecordConnection, reply: Reply) -> bool:
        if reply.rest is None:
            records.send(encode_reply(reply))
            return True
        last: Message
        try:
            records.send(encode_reply(reply))
            for chunk in reply.rest:
                records.send(ForwardBody(False, chunk))
            last = ForwardBody(True, b"")
        except TruncatedAnswerError:
            # Not logged here: the client raises the error on receiving ForwardCut.
            last = ForwardCut()
        finally:
            reply.rest.close()
        records.send(last)
        return isinstance(last, ForwardBody)
