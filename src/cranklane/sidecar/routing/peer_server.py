"""Serves the requests that other sidecars send to this machine's worker.

Owns the connections from them. Relies on the gate, which decides what runs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.errors import ConnectionLostError, MalformedRecordError, TruncatedAnswerError
from cranklane.outcome import Outcome
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ForwardBody,
    ForwardContinue,
    ForwardCut,
    ForwardRequest,
    Hello,
    Message,
    QuarantineNews,
)
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.admission.gate import Gate
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.request.attempt import Attempt, Reply
from cranklane.sidecar.routing.forward_records import answer_of

IDLE_SECONDS = 20.0
"""Seconds of rest after which a connection is closed. A choice: later than the other side stops
using it (``peer_client.IDLE_SECONDS``), so that no request crosses the close."""

GREETING_SECONDS = 5.0
"""Seconds to wait for the record that begins a connection. A choice."""


class PeerServer:
    """Serves requests of other sidecars.

    :param on_update: takes an update on quarantined requests and returns the answer.
    """

    def __init__(
        self,
        runtime: Runtime,
        gate: Gate,
        disconnects: DisconnectWatch,
        on_update: Callable[[QuarantineNews], QuarantineNews],
        log: Any,
    ) -> None:
        self._on_update = on_update
        self._runtime = runtime
        self._log = log
        self._gate = gate
        self._disconnects = disconnects
        self._idle: set[RecordConnection] = set()

    def accept(self, stream: object, _address: Address) -> None:
        """Serve a connection until it ends."""
        records = RecordConnection(stream, GREETING_SECONDS)
        try:
            records.expect(Hello)
            records.set_idle_timeout(IDLE_SECONDS)
            while True:
                self._idle.add(records)
                _, message = records.receive()
                self._idle.discard(records)
                if not self._take(records, stream, message):
                    break
        except ConnectionLostError:
            # The usual end: the other side has closed a connection it needs no more.
            pass
        except MalformedRecordError as error:
            # Either side has a fault: requests here would fail one after the other.
            self._log.error("peer_record_malformed", error=str(error))
        finally:
            self._idle.discard(records)
            records.close()

    def _take(self, records: RecordConnection, stream: object, message: Message) -> bool:
        """Answer one record; return whether the connection can be used again."""
        match message:
            case ForwardRequest():
                return self._serve(records, stream, message)
            case QuarantineNews():
                records.send(self._on_update(message))
                return True
            case _:
                raise MalformedRecordError(f"{type(message).__name__} from a sidecar")

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for records in list(self._idle):
            records.close()

    def _serve(self, records: RecordConnection, stream: object, request: ForwardRequest) -> bool:
        """Answer one request; return whether the connection can be used again."""
        body = None if request.whole else _body_of(records)
        attempt = Attempt(request, body)
        self._disconnects.add(stream, attempt.cancel)
        try:
            admitted = None if request.whole else lambda: records.send(ForwardContinue())
            reply = self._gate.run(attempt, admitted)
        finally:
            self._disconnects.remove(stream)
        attempt.when_cancelled(None)
        if attempt.cancelled:
            if reply.rest is not None:
                reply.rest.close()  # type: ignore[attr-defined]
            return False
        sent = self._send(records, reply)
        return sent and (request.whole or reply.outcome is Outcome.ANSWERED)

    def _send(self, records: RecordConnection, reply: Reply) -> bool:
        if reply.rest is None:
            records.send(answer_of(reply))
            return True
        last: Message
        try:
            records.send(answer_of(reply))
            for piece in reply.rest:
                records.send(ForwardBody(False, piece))
            last = ForwardBody(True, b"")
        except TruncatedAnswerError:
            # The other side reports the cut.
            last = ForwardCut()
        finally:
            reply.rest.close()  # type: ignore[attr-defined]
        records.send(last)
        return isinstance(last, ForwardBody)


def _body_of(records: RecordConnection) -> Callable[[], bytes]:
    ended = False

    def read() -> bytes:
        nonlocal ended
        if ended:
            return b""
        piece = records.expect(ForwardBody)
        ended = piece.last
        return piece.data

    return read
