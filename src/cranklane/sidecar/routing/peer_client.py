"""Client for other sidecars: a connection pool with one request at a time per connection.

Requests do not share connections, so that a slow request does not block others, and closing
the connection cancels the request.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from functools import partial

from cranklane.common.http1.message import is_final_status
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
from cranklane.sidecar.request.connection_lease import ConnectionLease
from cranklane.sidecar.request.streamed_answer import StreamedAnswer
from cranklane.sidecar.routing.forward_records import decode_reply

CONNECT_TIMEOUT_SECONDS = 0.6
"""Connect timeout. Allows for the retransmission of one lost packet, and leaves a request time
for a retry at another worker."""

MAX_IDLE_SECONDS = 8.0
"""Idle time after which a pooled connection is not reused. Well below
``peer_server.IDLE_TIMEOUT_SECONDS``, so that no request is sent while the server closes it."""

MAX_IDLE_CONNECTIONS = 32
"""Limit on the idle connections to one address. Under load most are in use; after a peak the others
would keep descriptors of both machines."""

UNCHECKED_IDLE_SECONDS = 0.3
"""Idle time up to which a pooled connection is reused without checking whether the peer has
closed it. Saves a system call per request under load."""

EXCHANGE_TIMEOUT_SECONDS = 1.0
"""Timeout for the response to a quarantine update."""


class _Connection:
    __slots__ = ("records", "stream", "idle_since")

    def __init__(self, records: RecordConnection, stream: object) -> None:
        self.records = records
        self.stream = stream
        self.idle_since = 0.0


class PeerClient:
    """Sends requests and quarantine updates to other sidecars over pooled connections.

    :param hello: returns the first record of a connection.
    """

    def __init__(self, runtime: Runtime, hello: Callable[[], Hello]) -> None:
        self._runtime = runtime
        self._hello = hello
        self._idle: dict[Address, deque[_Connection]] = {}

    def run(self, address: Address, attempt: Attempt) -> Reply:
        """Send a request to the sidecar at an address and return its reply.

        Connection failures are returned as replies with the reason PEER_UNREACHABLE if nothing
        was sent, otherwise PEER_LOST, DEADLINE_PASSED or CANCELLED.
        """
        started_at = self._runtime.monotonic()
        try:
            connection = self._take(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            return refusal(Reason.PEER_UNREACHABLE)
        records = connection.records
        give_back = partial(self._release, address, connection)
        lease = ConnectionLease(attempt, give_back, records.close)
        timeout_seconds = attempt.request.deadline_ms / MILLISECONDS
        reply: Reply | None = None
        try:
            records.set_idle_timeout(timeout_seconds)
            records.send(attempt.request)
            reply = self._receive_reply(records, attempt, lease)
        except (ConnectionLostError, MalformedRecordError) as error:
            deadline_passed = self._runtime.monotonic() - started_at >= timeout_seconds
            reply = _reply_without_answer(attempt, error, deadline_passed)
        finally:
            if reply is None or reply.rest is None:
                # No effect after a complete exchange, which has released the connection.
                lease.close()
        return reply

    def _receive_reply(
        self, records: RecordConnection, attempt: Attempt, lease: ConnectionLease
    ) -> Reply:
        """Return the reply; release the connection once the response is complete."""
        answer = self._receive_answer(records, attempt, lease)
        if answer.outcome == Outcome.ANSWERED and not is_final_status(answer.status):
            # Sidecars of former releases pass on any status that a worker sends.
            return unknown(Reason.ANSWER_CUT)
        reply = decode_reply(answer)
        if not answer.whole:
            reply.rest = StreamedAnswer(
                _stream_body(records), on_end=lease.close, on_complete=lease.release
            )
        elif answer.outcome == Outcome.ANSWERED or attempt.request.whole:
            lease.release()
        # Otherwise the server waits for the rest of the body or for the connection to close.
        return reply

    def _take(self, address: Address) -> _Connection:
        now = self._runtime.monotonic()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            idle_seconds = now - connection.idle_since
            if idle_seconds < UNCHECKED_IDLE_SECONDS:
                return connection
            if idle_seconds < MAX_IDLE_SECONDS and not self._runtime.has_input(connection.stream):
                return connection
            connection.records.close()
        stream = self._runtime.connect(address, CONNECT_TIMEOUT_SECONDS)
        self._runtime.enable_ack_timeout(stream)
        records = RecordConnection(stream, CONNECT_TIMEOUT_SECONDS)
        records.queue(self._hello())
        return _Connection(records, stream)

    def _release(self, address: Address, connection: _Connection) -> None:
        connection.idle_since = self._runtime.monotonic()
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        expired = connection.idle_since - idle[0].idle_since > MAX_IDLE_SECONDS
        if expired or len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().records.close()

    def _receive_answer(
        self, records: RecordConnection, attempt: Attempt, lease: ConnectionLease
    ) -> ForwardAnswer:
        while True:
            _, message = records.receive()
            match message:
                case ForwardAnswer():
                    return message
                case ForwardContinue():
                    lease.send_body(self._runtime, partial(_send_body, records, attempt))
                case Ping():
                    pass
                case _:
                    raise MalformedRecordError(
                        f"expected ForwardAnswer, received {type(message).__name__}"
                    )

    def exchange(self, address: Address, update: QuarantineNews) -> QuarantineNews | None:
        """Send a quarantine update and return the response, or None if the exchange failed.

        The caller is responsible for sending the update again.
        """
        try:
            connection = self._take(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            return None
        try:
            connection.records.set_idle_timeout(EXCHANGE_TIMEOUT_SECONDS)
            connection.records.send(update)
            answer = connection.records.expect(QuarantineNews)
        except (ConnectionLostError, MalformedRecordError):
            connection.records.close()
            return None
        self._release(address, connection)
        return answer

    def forget(self, address: Address) -> None:
        """Close the idle connections to an unreachable address."""
        for connection in self._idle.pop(address, ()):
            connection.records.close()

    def can_connect(self, address: Address) -> bool:
        """Return whether a connection to an address can be opened; it is added to the pool."""
        try:
            connection = self._take(address)
            connection.records.flush()
        except (OSError, ConnectionLostError):
            # Not logged: the caller repeats the probe until it succeeds.
            return False
        self._release(address, connection)
        return True


def _reply_without_answer(attempt: Attempt, error: Exception, deadline_passed: bool) -> Reply:
    """Return the reply for a connection error after the request was sent.

    :param deadline_passed: whether the request's deadline has passed.
    """
    if attempt.cancelled:
        return unknown(Reason.CANCELLED)
    # The receive timer is set to the deadline and may fire slightly early.
    timed_out = isinstance(error.__cause__, TimeoutError)
    return unknown(Reason.DEADLINE_PASSED if deadline_passed or timed_out else Reason.PEER_LOST)


def _stream_body(records: RecordConnection) -> Generator[bytes, None, None]:
    try:
        while True:
            _, message = records.receive()
            if not isinstance(message, ForwardBody):
                raise TruncatedAnswerError("the response was truncated at the worker's sidecar")
            if message.data:
                yield message.data
            if message.last:
                return
    except (ConnectionLostError, MalformedRecordError) as error:
        raise TruncatedAnswerError(str(error)) from error


def _send_body(records: RecordConnection, attempt: Attempt) -> None:
    """Send the rest of a request's body as it arrives.

    :raises OSError: if the caller's connection fails.
    :raises MalformedMessageError: if the body has an invalid framing.
    :raises TruncatedMessageError: if the caller's connection ends before the body does.
    :raises ConnectionLostError: if the peer's connection fails.
    """
    while chunk := attempt.read_rest():
        records.send(ForwardBody(False, chunk))
    records.send(ForwardBody(True, b""))
