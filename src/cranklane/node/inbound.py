"""Serves calls from other nodes: admits them, runs them in the worker, answers."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any

import gevent
from result import Err, Ok, Result

from cranklane.common.headers import HOP_BY_HOP, is_own
from cranklane.common.http_client import HttpResponse
from cranklane.common.units import MICROSECONDS
from cranklane.errors import AnswerCutError, ConnectionLostError, MalformedRecordError
from cranklane.ledger.store import MAX_STORED_BODY
from cranklane.node.admission import Admission, Refusal, Slot
from cranklane.node.allowance import Allowance
from cranklane.node.context import CallContext, ContextTable
from cranklane.node.inbound_call import InboundCall
from cranklane.node.metrics import NodeMetrics
from cranklane.node.once import OnceCalls, OnceRefusal, OnceTicket
from cranklane.node.peer_connection import PING_SECONDS, SILENT_SECONDS
from cranklane.node.worker import WorkerClient, WorkerFailure
from cranklane.outcome import Criticality, Outcome, Reason, Repeat
from cranklane.policy.adopted_policy import AdoptedPolicy, Service
from cranklane.records.connection import CONNECTION_CALL, RecordConnection, SilenceWatch
from cranklane.records.messages import (
    AnswerAbort,
    AnswerBody,
    AnswerEnd,
    AnswerHead,
    CallCancel,
    CallOpen,
    Credit,
    GoingAway,
    Hello,
    LoadReport,
    Message,
    Ping,
)
from cranklane.runtime.interface import Address, Runtime


class Inbound:
    """The serving half of a node.

    :param hello: returns this node's greeting.
    :param on_newer: called when a caller shows a newer configuration version.
    """

    def __init__(
        self,
        runtime: Runtime,
        service: str,
        configuration: AdoptedPolicy,
        admission: Admission,
        worker: WorkerClient,
        contexts: ContextTable,
        once: OnceCalls,
        metrics: NodeMetrics,
        hello: Callable[[], Hello],
        on_newer: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._service = service
        self._configuration = configuration
        self._admission = admission
        self._once = once
        self._worker = worker
        self._contexts = contexts
        self._metrics = metrics
        self._hello = hello
        self._on_newer = on_newer
        self._connections: dict[int, RecordConnection] = {}
        self._watches: dict[int, SilenceWatch] = {}
        self._next_connection = 0
        self.calls = 0
        runtime.spawn(self._watch_silence)

    def _watch_silence(self) -> None:
        while True:
            gevent.sleep(PING_SECONDS)
            now = self._runtime.monotonic()
            for watch in list(self._watches.values()):
                watch.look(now)

    def serve_connection(self, connection: Any, _address: Address) -> None:
        """Serve one node's connection until it ends."""
        records = RecordConnection(connection, SILENT_SECONDS)
        self._next_connection += 1
        number = self._next_connection
        self._connections[number] = records
        self._watches[number] = SilenceWatch(records, SILENT_SECONDS, self._runtime.monotonic())
        calls: dict[int, InboundCall] = {}
        try:
            records.greet(self._hello())
            records.set_silent_after(None)
            while True:
                call_number, message = records.receive()
                self._take(records, calls, call_number, message)
        except ConnectionLostError:
            pass
        except MalformedRecordError:
            self._metrics.event("malformed_record")
        finally:
            records.close()
            del self._connections[number]
            del self._watches[number]
            for call in list(calls.values()):
                call.cancel(Reason.CANCELLED)

    def _take(
        self,
        records: RecordConnection,
        calls: dict[int, InboundCall],
        number: int,
        message: Message,
    ) -> None:
        match message:
            case CallOpen():
                if number == CONNECTION_CALL or number in calls:
                    raise MalformedRecordError(f"call {number} is opened twice")
                call = InboundCall(records, number, message, self._context(message))
                calls[number] = call
                self._runtime.spawn(self._run, call, calls)
            case Credit() if number in calls:
                calls[number].credit(message.size)
            case CallCancel() if number in calls:
                calls[number].cancel(Reason.CANCELLED)
            case Ping():
                if message.version > self._configuration.version:
                    self._on_newer()
                records.send(self.load_report())
            case _:
                self._metrics.event("late_record")

    def load_report(self) -> LoadReport:
        """Return the node's own word on its worker's load."""
        admission = self._admission
        return LoadReport(
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.concurrency.limit,
            wait_us=int(admission.expected_wait() * MICROSECONDS),
            draining=admission.draining,
            version=self._configuration.version,
        )

    def _context(self, message: CallOpen) -> CallContext:
        try:
            criticality = Criticality(message.criticality)
        except ValueError as error:
            raise MalformedRecordError(f"criticality {message.criticality}") from error
        return CallContext(
            root=message.root,
            tenant=message.tenant,
            criticality=criticality,
            deadline=self._runtime.monotonic() + message.deadline_ms / 1000,
            allowance=Allowance(message.allowance),
            depth=message.depth,
        )

    def _run(self, call: InboundCall, calls: dict[int, InboundCall]) -> None:
        self.calls += 1
        try:
            self._admit_and_answer(call)
        except ConnectionLostError:
            pass
        finally:
            self.calls -= 1
            calls.pop(call.number, None)

    def _admit_and_answer(self, call: InboundCall) -> None:
        context = call.context
        admitted = self._admit(call)
        if isinstance(admitted, Err):
            refusal = admitted.err_value
            self._metrics.admission(context.tenant, context.criticality, refusal.reason)
            call.send(self._refusal(call, Outcome.NOT_RUN, refusal))
            return
        slot = admitted.ok_value
        self._metrics.admission(context.tenant, context.criticality, Reason.NONE)
        ran = False
        self._contexts.add(context)
        try:
            ran = self._answer(call)
        finally:
            self._contexts.remove(context)
            self._admission.release(slot, ran)

    def _admit(self, call: InboundCall) -> Result[Slot, Refusal]:
        reason = self._misdirected(call.message)
        if reason is not None:
            return Err(Refusal(reason))
        context = call.context
        started = self._runtime.monotonic()
        admitted = self._admission.admit(
            context.tenant, context.criticality, context.deadline, on_wait=context.on_cancel
        )
        if isinstance(admitted, Ok):
            self._metrics.queued(self._runtime.monotonic() - started)
        return admitted

    def _misdirected(self, message: CallOpen) -> Reason | None:
        service = self._own_service()
        if service is None or message.service != self._service:
            return Reason.UNKNOWN_ROUTE
        if message.caller not in service.callers:
            return Reason.NOT_GRANTED
        return None

    def _own_service(self) -> Service | None:
        tenant, _, name = self._service.partition(".")
        return self._configuration.service(tenant, name)

    def _refusal(self, call: InboundCall, outcome: Outcome, refusal: Refusal) -> AnswerHead:
        head = self._head(call, outcome, refusal.reason)
        head.retry_after_ms = refusal.retry_after_ms
        head.allowance = call.context.allowance.remaining
        return head

    def _head(self, call: InboundCall, outcome: Outcome, reason: Reason) -> AnswerHead:
        admission = self._admission
        return AnswerHead(
            outcome=outcome,
            reason=reason,
            in_flight=admission.in_flight + admission.queued,
            limit=admission.concurrency.limit,
            wait_us=int(admission.expected_wait() * MICROSECONDS),
            refused_below=admission.refused_below(call.context.tenant),
            draining=admission.draining,
        )

    def _answer(self, call: InboundCall) -> bool:
        """Run the call in the worker; return whether the worker ran it."""
        service = self._own_service()
        path = call.message.path.partition("?")[0]
        route = service.route(call.message.method, path) if service is not None else None
        if service is None or route is None or route.repeat is not Repeat.ONCE:
            return self._run_in_worker(call, None)
        remaining = call.context.deadline - self._runtime.monotonic()
        begun = self._once.begin(call.message, service.ledgers, remaining)
        if isinstance(begun, Err):
            self._answer_without_run(call, begun.err_value)
            return False
        # From here on it runs to its end, so that a resend gets its answer.
        call.detached = True
        ticket = begun.ok_value
        try:
            return self._run_in_worker(call, ticket)
        finally:
            ticket.finish(Outcome.UNKNOWN)

    def _answer_without_run(self, call: InboundCall, refusal: OnceRefusal) -> None:
        self._metrics.event(f"once_{refusal.reason.label}")
        if refusal.stored is None:
            told = Refusal(refusal.reason, refusal.retry_after_ms)
            call.send(self._refusal(call, refusal.outcome, told))
            return
        head = self._head(call, Outcome.ANSWERED, Reason.NONE)
        head.status = refusal.stored.status
        head.headers = refusal.stored.headers
        self._send_whole(call, head, refusal.stored.body)

    def _send_whole(self, call: InboundCall, head: AnswerHead, body: bytes) -> None:
        call.queue(head)
        if body:
            call.queue(AnswerBody(0, body))
        call.send(AnswerEnd(len(body), zlib.crc32(body), call.context.allowance.remaining))

    def _run_in_worker(self, call: InboundCall, ticket: OnceTicket | None) -> bool:
        context = call.context
        started = self._runtime.monotonic()

        def may_start(connection: Any) -> bool:
            if context.cancelled is not None or (ticket and not ticket.may_start()):
                return False
            if ticket is None:
                context.on_cancel(lambda _reason: connection.close())
            return True

        result = self._worker.run(
            call.message, context.token, context.deadline - started, may_start
        )
        if isinstance(result, Err):
            if ticket is not None:
                ticket.finish(result.err_value.outcome)
            return self._worker_failed(call, result.err_value)
        response = result.ok_value
        self._metrics.worker(self._runtime.monotonic() - started)
        try:
            if ticket is None:
                self._stream(call, response, self._answer_head(call, response), response.body())
            else:
                self._stream_once(call, response, ticket)
        finally:
            response.close()
        return True

    def _stream_once(self, call: InboundCall, response: HttpResponse, ticket: OnceTicket) -> None:
        """Store an answer, when it is short enough, before its caller has it."""
        head = self._answer_head(call, response)
        pieces: list[bytes] = []
        stored = 0
        body = response.body()
        try:
            for data in body:
                pieces.append(data)
                stored += len(data)
                if stored > MAX_STORED_BODY:
                    break
            else:
                ticket.finish(Outcome.ANSWERED, head.status, head.headers, b"".join(pieces))
        except AnswerCutError:
            self._metrics.event("answer_cut")
            call.send(self._refusal(call, Outcome.UNKNOWN, Refusal(Reason.ANSWER_CUT)))
            return
        self._stream(call, response, head, chain(pieces, body))

    def _worker_failed(self, call: InboundCall, failure: WorkerFailure) -> bool:
        if failure.reason is Reason.WORKER_SHED:
            self._admission.concurrency.shed()
        retry_after_ms = int(self._admission.concurrency.service_time * 1000)
        refusal = Refusal(failure.reason, retry_after_ms)
        if call.context.cancelled is None:
            call.send(self._refusal(call, failure.outcome, refusal))
        return failure.outcome is Outcome.UNKNOWN

    def _answer_head(self, call: InboundCall, response: HttpResponse) -> AnswerHead:
        head = self._head(call, Outcome.ANSWERED, Reason.NONE)
        head.status = response.status
        head.headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in HOP_BY_HOP and not is_own(name)
        ]
        return head

    def _stream(
        self,
        call: InboundCall,
        response: HttpResponse,
        head: AnswerHead,
        body: Iterable[bytes],
    ) -> None:
        call.queue(head)
        sequence = length = checksum = 0
        try:
            for data in body:
                call.wait_for_window(len(data))
                call.queue(AnswerBody(sequence, data))
                if not response.whole:
                    call.send_queued()
                sequence += 1
                length += len(data)
                checksum = zlib.crc32(data, checksum)
        except AnswerCutError:
            self._metrics.event("answer_cut")
            call.send(AnswerAbort(Reason.ANSWER_CUT, call.context.allowance.remaining))
            return
        call.send(AnswerEnd(length, checksum, call.context.allowance.remaining))

    def announce_stop(self) -> None:
        """Tell every calling node to open no new calls here."""
        for records in list(self._connections.values()):
            try:
                records.send(GoingAway(Reason.STOPPING))
            except ConnectionLostError:
                pass
