"""Sends requests to other sidecars, one at a time on each connection.

Owns the connections to them. A connection of its own for each request keeps a slow one from
holding up others, and passes on that a caller disconnected by closing it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from cranklane.common.http1.message import MalformedMessageError, TruncatedMessageError
from cranklane.common.units import MILLISECONDS
from cranklane.errors import ConnectionLostError, MalformedRecordError, TruncatedAnswerError
from cranklane.outcome import Outcome, Reason
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ForwardAnswer,
    ForwardBody,
    ForwardContinue,
    Hello,
    Ping,
    QuarantineNews,
)
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.request.attempt import Attempt, Reply, refusal, unknown
from cranklane.sidecar.routing.forward_records import reply_of

CONNECT_SECONDS = 0.6
"""Seconds to wait for a connection. A choice: a packet that is lost is sent again in this time,
and a request still has time for another worker."""

IDLE_SECONDS = 8.0
"""Seconds of rest after which a kept connection is closed instead of used. A choice: well below
``peer_server.IDLE_SECONDS``, so that no request crosses the other side's close."""

UNCHECKED_SECONDS = 0.3
"""Seconds of rest up to which a connection is used again without asking the system whether the
other side has closed it. A choice: at load nearly all are younger, which saves a system call."""

EXCHANGE_SECONDS = 1.0
"""Seconds to wait for the answer to an update on quarantined requests; after that the sidecar
counts as not reached. A choice."""


class _Connection:
    __slots__ = ("records", "stream", "rested_at")

    def __init__(self, records: RecordConnection, stream: object) -> None:
        self.records = records
        self.stream = stream
        self.rested_at = 0.0


class PeerClient:
    """Sends requests to other sidecars.

    :param hello: makes the record that begins each connection.
    """

    def __init__(self, runtime: Runtime, hello: Callable[[], Hello]) -> None:
        self._runtime = runtime
        self._hello = hello
        self._idle: dict[Address, deque[_Connection]] = {}

    def run(self, address: Address, attempt: Attempt) -> Reply:
        """Have the sidecar at an address run a request; return what became of it.

        Failures of the connection are part of the reply: PEER_UNREACHABLE if nothing was
        sent, else PEER_LOST or DEADLINE_PASSED.
        """
        started_at = self._runtime.monotonic()
        try:
            connection = self._take(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            return refusal(Reason.PEER_UNREACHABLE)
        records = connection.records
        attempt.when_cancelled(records.close)
        allowed = attempt.request.deadline_ms / MILLISECONDS
        try:
            records.set_idle_timeout(allowed)
            records.send(attempt.request)
            answer = self._answer(records, attempt)
        except (ConnectionLostError, MalformedRecordError) as error:
            records.close()
            is_over = self._runtime.monotonic() - started_at >= allowed
            return _reply_without_answer(attempt, error, is_over)
        reply = reply_of(answer)
        if answer.outcome != Outcome.ANSWERED and not attempt.request.whole:
            # Pieces of the body may still be on their way there.
            records.close()
        elif answer.whole:
            self._keep(address, connection)
        else:
            reply.rest = self._further_pieces(address, connection)
        return reply

    def _take(self, address: Address) -> _Connection:
        now = self._runtime.monotonic()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            rested = now - connection.rested_at
            if rested < UNCHECKED_SECONDS:
                return connection
            if rested < IDLE_SECONDS and not self._runtime.has_input(connection.stream):
                return connection
            connection.records.close()
        stream = self._runtime.connect(address, CONNECT_SECONDS)
        self._runtime.enable_ack_timeout(stream)
        records = RecordConnection(stream, CONNECT_SECONDS)
        records.queue(self._hello())
        return _Connection(records, stream)

    def _keep(self, address: Address, connection: _Connection) -> None:
        connection.rested_at = self._runtime.monotonic()
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        if connection.rested_at - idle[0].rested_at > IDLE_SECONDS:
            idle.popleft().records.close()

    def _answer(self, records: RecordConnection, attempt: Attempt) -> ForwardAnswer:
        while True:
            _, message = records.receive()
            match message:
                case ForwardAnswer():
                    return message
                case ForwardContinue():
                    self._runtime.spawn(_send_body, records, attempt)
                case Ping():
                    pass
                case _:
                    raise MalformedRecordError(f"{type(message).__name__} as an answer")

    def _further_pieces(self, address: Address, connection: _Connection) -> Iterator[bytes]:
        records = connection.records
        whole = False
        try:
            while True:
                _, message = records.receive()
                if not isinstance(message, ForwardBody):
                    raise TruncatedAnswerError("the answer was cut at the worker")
                if message.data:
                    yield message.data
                if message.last:
                    whole = True
                    return
        except (ConnectionLostError, MalformedRecordError) as error:
            raise TruncatedAnswerError(str(error)) from error
        finally:
            if whole:
                self._keep(address, connection)
            else:
                records.close()

    def exchange(self, address: Address, update: QuarantineNews) -> QuarantineNews | None:
        """Send an update on quarantined requests; return the answer, None without one.

        None counts as not reached: the sender sends it again, or another way.
        """
        try:
            connection = self._take(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            return None
        try:
            connection.records.set_idle_timeout(EXCHANGE_SECONDS)
            connection.records.send(update)
            answer = connection.records.expect(QuarantineNews)
        except (ConnectionLostError, MalformedRecordError):
            connection.records.close()
            return None
        self._keep(address, connection)
        return answer

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address that does not answer."""
        for connection in self._idle.pop(address, ()):
            connection.records.close()

    def reaches(self, address: Address) -> bool:
        """Return whether a connection to an address can be opened, and keep it."""
        try:
            connection = self._take(address)
            connection.records.flush()
        except (OSError, ConnectionLostError):
            # This is the answer that is asked for; the caller tries again.
            return False
        self._keep(address, connection)
        return True


def _reply_without_answer(attempt: Attempt, error: Exception, is_over: bool) -> Reply:
    """Return the reply to a request on whose connection an error came instead of an answer.

    :param is_over: whether its deadline has passed by the clock.
    """
    if attempt.cancelled:
        return unknown(Reason.CANCELLED)
    # The wait is bounded by the deadline; its timer may end just before it by the clock.
    timed_out = isinstance(error.__cause__, TimeoutError)
    return unknown(Reason.DEADLINE_PASSED if is_over or timed_out else Reason.PEER_LOST)


def _send_body(records: RecordConnection, attempt: Attempt) -> None:
    assert attempt.rest is not None
    try:
        while True:
            piece = attempt.rest()
            records.send(ForwardBody(not piece, piece))
            if not piece:
                return
    except (OSError, TruncatedMessageError, MalformedMessageError):
        # The caller's body ended too early; nothing may take it for whole.
        records.close()
    except ConnectionLostError:
        # The task that waits for the answer on this connection finds the same and reports it.
        return
