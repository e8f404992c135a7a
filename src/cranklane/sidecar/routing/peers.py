"""Requests from one sidecar to another, one at a time on each connection.

A connection of its own for each request keeps a slow one from holding up others
and lets a caller that leaves be passed on by closing it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from cranklane.common.http1.message import Framing, MalformedMessageError, MessageCutError
from cranklane.errors import AnswerCutError, ConnectionLostError, MalformedRecordError
from cranklane.outcome import Outcome, Reason
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ForwardAnswer,
    ForwardBody,
    ForwardContinue,
    ForwardCut,
    ForwardRequest,
    Hello,
    Message,
    Ping,
    QuarantineNews,
    ServiceWork,
)
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.admission.gate import Gate
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.request.attempt import Attempt, Load, Reply, refusal, unknown
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.worker.condition import Condition

CONNECT_SECONDS = 0.6
IDLE_SECONDS = 8.0
"""A kept connection at rest for longer is closed instead of used."""

UNSEEN_SECONDS = 0.3
"""A connection used within this time is taken again without a look at it."""

SERVER_IDLE_SECONDS = 20.0
"""The serving side closes a connection at rest after this long: later than the
asking side stops using it, so that no request crosses the close."""

GREETING_SECONDS = 5.0

NEWS_SECONDS = 1.0
"""Time for the answer to news; after it the sidecar counts as not reached."""


class _Kept:
    __slots__ = ("records", "stream", "rested_at")

    def __init__(self, records: RecordConnection, stream: object) -> None:
        self.records = records
        self.stream = stream
        self.rested_at = 0.0


class PeerClient:
    """Sends requests to other sidecars."""

    def __init__(self, runtime: Runtime, hello: Callable[[], Hello]) -> None:
        self._runtime = runtime
        self._hello = hello
        self._idle: dict[Address, deque[_Kept]] = {}

    def run(self, address: Address, attempt: Attempt) -> Reply:
        """Have the sidecar at an address run a request; return what became of it."""
        started_at = self._runtime.monotonic()
        try:
            kept = self._take(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            return refusal(Reason.PEER_UNREACHABLE)
        records = kept.records
        attempt.when_cancelled(records.close)
        allowed = attempt.request.deadline_ms / 1000
        try:
            records.set_silent_after(allowed)
            records.send(attempt.request)
            answer = self._answer(records, attempt)
        except (ConnectionLostError, MalformedRecordError) as error:
            records.close()
            if attempt.cancelled:
                return unknown(Reason.CANCELLED)
            # The wait is bounded by the deadline; its timer may end just before it by the clock.
            timed_out = isinstance(error.__cause__, TimeoutError)
            waited = self._runtime.monotonic() - started_at
            over = timed_out or waited >= allowed
            return unknown(Reason.DEADLINE_PASSED if over else Reason.PEER_LOST)
        reply = _reply(answer)
        if answer.outcome != Outcome.ANSWERED and not attempt.request.whole:
            # Pieces of the body may still be on their way there.
            records.close()
        elif answer.whole:
            self._keep(address, kept)
        else:
            reply.rest = self._rest(address, kept)
        return reply

    def _take(self, address: Address) -> _Kept:
        now = self._runtime.monotonic()
        idle = self._idle.get(address)
        while idle:
            kept = idle.pop()
            rested = now - kept.rested_at
            if rested < UNSEEN_SECONDS:
                return kept
            if rested < IDLE_SECONDS and not self._runtime.has_input(kept.stream):
                return kept
            kept.records.close()
        stream = self._runtime.connect(address, CONNECT_SECONDS)
        self._runtime.end_when_unheard(stream)
        records = RecordConnection(stream, CONNECT_SECONDS)
        records.queue(self._hello())
        return _Kept(records, stream)

    def _keep(self, address: Address, kept: _Kept) -> None:
        kept.rested_at = self._runtime.monotonic()
        idle = self._idle.setdefault(address, deque())
        idle.append(kept)
        if kept.rested_at - idle[0].rested_at > IDLE_SECONDS:
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

    def _rest(self, address: Address, kept: _Kept) -> Iterator[bytes]:
        records = kept.records
        whole = False
        try:
            while True:
                _, message = records.receive()
                if not isinstance(message, ForwardBody):
                    raise AnswerCutError("the answer was cut at the worker")
                if message.data:
                    yield message.data
                if message.last:
                    whole = True
                    return
        except (ConnectionLostError, MalformedRecordError) as error:
            raise AnswerCutError(str(error)) from error
        finally:
            if whole:
                self._keep(address, kept)
            else:
                records.close()

    def exchange(self, address: Address, news: QuarantineNews) -> QuarantineNews | None:
        """Send news to the sidecar at an address; return its answer, None without one."""
        try:
            kept = self._take(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            return None
        try:
            kept.records.set_silent_after(NEWS_SECONDS)
            kept.records.send(news)
            answer = kept.records.expect(QuarantineNews)
        except (ConnectionLostError, MalformedRecordError):
            kept.records.close()
            return None
        self._keep(address, kept)
        return answer

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address that does not answer."""
        for kept in self._idle.pop(address, ()):
            kept.records.close()

    def reaches(self, address: Address) -> bool:
        """Return whether a connection to an address can be opened, and keep it."""
        try:
            kept = self._take(address)
            kept.records.flush()
        except (OSError, ConnectionLostError):
            return False
        self._keep(address, kept)
        return True


def _send_body(records: RecordConnection, attempt: Attempt) -> None:
    assert attempt.rest is not None
    try:
        while True:
            piece = attempt.rest()
            records.send(ForwardBody(not piece, piece))
            if not piece:
                return
    except (OSError, MessageCutError, MalformedMessageError):
        # The caller's body ended too early; nothing may take it for whole.
        records.close()
    except ConnectionLostError:
        return


def _reply(answer: ForwardAnswer) -> Reply:
    return Reply(
        Outcome(answer.outcome),
        Reason(answer.reason),
        answer.arrived,
        answer.status,
        answer.retry_after_ms,
        Framing(answer.framing),
        answer.length,
        answer.lines,
        answer.body,
        None,
        Load(
            answer.running,
            answer.queued,
            answer.slots,
            Condition.from_wire(answer.faults, answer.slowness),
        ),
        answer.waited_ms,
        answer.run_time_ms,
        answer.downstream_starved,
        CallFailure(answer.failed_service, Reason(answer.failed_reason))
        if answer.failed_service
        else None,
        _work(answer.downstream_cost) if answer.downstream_cost else None,
    )


def _work(told: list[ServiceWork]) -> SlotWork:
    work = SlotWork()
    for item in told:
        work.add(item.service, item.milliseconds)
    return work


class PeerServer:
    """Serves requests of other sidecars.

    :param on_news: takes news of quarantined requests and returns the answer.
    """

    def __init__(
        self,
        runtime: Runtime,
        gate: Gate,
        disconnects: DisconnectWatch,
        on_news: Callable[[QuarantineNews], QuarantineNews],
        log: Any,
    ) -> None:
        self._on_news = on_news
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
            records.set_silent_after(SERVER_IDLE_SECONDS)
            while True:
                self._idle.add(records)
                _, message = records.receive()
                self._idle.discard(records)
                if not self._take(records, stream, message):
                    break
        except ConnectionLostError:
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
                records.send(self._on_news(message))
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
            records.send(_answer(reply))
            return True
        message: Message
        try:
            records.send(_answer(reply))
            for piece in reply.rest:
                records.send(ForwardBody(False, piece))
            message = ForwardBody(True, b"")
        except AnswerCutError:
            message = ForwardCut()
        finally:
            reply.rest.close()  # type: ignore[attr-defined]
        records.send(message)
        return isinstance(message, ForwardBody)


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


def _answer(reply: Reply) -> ForwardAnswer:
    load = reply.load
    return ForwardAnswer(
        outcome=reply.outcome,
        reason=reply.reason,
        arrived=reply.arrived,
        whole=reply.rest is None,
        framing=reply.framing,
        status=reply.status,
        retry_after_ms=reply.retry_after_ms,
        running=load.running,
        queued=load.queued,
        slots=load.slots,
        faults=load.condition.wire_faults,
        slowness=load.condition.wire_slowness,
        waited_ms=reply.waited_ms,
        run_time_ms=reply.run_time_ms,
        downstream_starved=reply.downstream_starved,
        failed_service=reply.failure.service if reply.failure else "",
        failed_reason=reply.failure.reason if reply.failure else Reason.NONE,
        downstream_cost=[
            ServiceWork(spent, service) for service, spent in reply.downstream_cost or ()
        ],
        length=reply.length,
        lines=reply.lines,
        body=reply.body,
    )
