"""Admits inbound calls, runs them in the worker and sends their answers.

:mod:`~cranklane.node.admission` assigns slots, :mod:`~cranklane.node.once` guards calls that
may run only once, and :mod:`~cranklane.node.worker` sends calls to the worker.
"""

from __future__ import annotations

from itertools import chain

from result import Err, Ok, Result

from cranklane.common.http_client import HttpResponse
from cranklane.errors import TruncatedAnswerError
from cranklane.ledger.store import MAX_STORED_BODY_BYTES
from cranklane.node import retry_after
from cranklane.node.admission import Admission, Refusal, Slot
from cranklane.node.answer_stream import forwarded_headers, send_complete, send_stream
from cranklane.node.context import ContextTable
from cranklane.node.inbound_call import InboundCall
from cranklane.node.load import answer_head, refusal_head
from cranklane.node.metrics import NodeMetrics
from cranklane.node.once import OnceCalls, OnceLease, OnceRefusal
from cranklane.node.worker import WorkerClient, WorkerFailure
from cranklane.node.worker_service import WorkerService
from cranklane.node.worker_start import WorkerStart
from cranklane.outcome import Outcome, Reason, Repeat
from cranklane.records.messages import AnswerHead
from cranklane.runtime.interface import Runtime


class CallRunner:
    """Runs inbound calls in the node's worker."""

    def __init__(
        self,
        runtime: Runtime,
        service: WorkerService,
        admission: Admission,
        worker: WorkerClient,
        contexts: ContextTable,
        once: OnceCalls,
        metrics: NodeMetrics,
    ) -> None:
        self._runtime = runtime
        self._service = service
        self._admission = admission
        self._worker = worker
        self._contexts = contexts
        self._once = once
        self._metrics = metrics

    def run(self, call: InboundCall) -> None:
        """Admit and run a call and send its answer, or refuse it.

        :raises ConnectionLostError: when the connection to the caller is lost.
        """
        context = call.context
        admitted = self._admit(call)
        if isinstance(admitted, Err):
            refusal = admitted.err_value
            self._metrics.admission(context.tenant, context.criticality, refusal.reason)
            self._refuse(call, Outcome.NOT_RUN, refusal)
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
        reason = self._service.rejection_reason(call.message)
        if reason is not None:
            return Err(Refusal(reason))
        context = call.context
        started = self._runtime.monotonic()
        admitted = self._admission.admit(
            context.tenant, context.criticality, context.deadline, on_wait=context.add_cancel_hook
        )
        if isinstance(admitted, Ok):
            self._metrics.observe_queue_wait(self._runtime.monotonic() - started)
        return admitted

    def _refuse(self, call: InboundCall, outcome: Outcome, refusal: Refusal) -> None:
        call.send(refusal_head(self._admission, call.context, outcome, refusal))

    def _answer(self, call: InboundCall) -> bool:
        """Run the call in the worker; return whether the worker ran it."""
        route = self._service.route(call.message)
        if route is None or route.repeat is not Repeat.ONCE:
            return self._run_in_worker(call, None)
        return self._run_once(call)

    def _run_once(self, call: InboundCall) -> bool:
        """Run a once-call if the ledger grants it; return whether the worker ran it."""
        remaining = call.context.deadline - self._runtime.monotonic()
        granted = self._once.begin(call.message, self._service.ledgers, remaining)
        if isinstance(granted, Err):
            self._answer_without_run(call, granted.err_value)
            return False
        # Run it to its end even if the caller leaves, so that a resend gets the stored answer.
        call.detached = True
        lease = granted.ok_value
        try:
            return self._run_in_worker(call, lease)
        finally:
            lease.finish(Outcome.UNKNOWN)

    def _answer_without_run(self, call: InboundCall, refusal: OnceRefusal) -> None:
        self._metrics.event(f"once_{refusal.reason.label}")
        if refusal.stored is None:
            self._refuse(call, refusal.outcome, Refusal(refusal.reason, refusal.retry_after_ms))
            return
        head = answer_head(self._admission, call.context.tenant, Outcome.ANSWERED)
        head.status = refusal.stored.status
        head.headers = refusal.stored.headers
        send_complete(call, head, refusal.stored.body)

    def _run_in_worker(self, call: InboundCall, lease: OnceLease | None) -> bool:
        context = call.context
        started = self._runtime.monotonic()
        start = WorkerStart(context, lease)
        result = self._worker.run(
            call.message, context.token, context.deadline - started, start.may_start
        )
        if isinstance(result, Err):
            start.end()
            if lease is not None:
                lease.finish(result.err_value.outcome)
            return self._worker_failed(call, result.err_value)
        response = result.ok_value
        self._metrics.observe_worker_time(self._runtime.monotonic() - started)
        try:
            if lease is None:
                head = self._worker_head(call, response)
                send_stream(call, head, response, response.body(), self._metrics)
            else:
                self._store_and_send(call, response, lease)
        finally:
            start.end()
            response.close()
        return True

    def _worker_failed(self, call: InboundCall, failure: WorkerFailure) -> bool:
        """Refuse the call; return whether the worker may have run it."""
        concurrency = self._admission.concurrency
        if failure.reason is Reason.WORKER_SHED:
            concurrency.shed()
        retry_after_ms = retry_after.after_worker(concurrency.service_time)
        if call.context.cancelled is None:
            self._refuse(call, failure.outcome, Refusal(failure.reason, retry_after_ms))
        return failure.outcome is Outcome.UNKNOWN

    def _worker_head(self, call: InboundCall, response: HttpResponse) -> AnswerHead:
        head = answer_head(self._admission, call.context.tenant, Outcome.ANSWERED)
        head.status = response.status
        head.headers = forwarded_headers(response.headers)
        return head

    def _store_and_send(self, call: InboundCall, response: HttpResponse, lease: OnceLease) -> None:
        """Send an answer and store it in the ledger, unless its body is too long to store."""
        head = self._worker_head(call, response)
        chunks: list[bytes] = []
        size = 0
        body = response.body()
        try:
            for data in body:
                chunks.append(data)
                size += len(data)
                if size > MAX_STORED_BODY_BYTES:
                    break
            else:
                lease.finish(Outcome.ANSWERED, head.status, head.headers, b"".join(chunks))
        except TruncatedAnswerError:
            self._metrics.event("answer_cut")
            self._refuse(call, Outcome.UNKNOWN, Refusal(Reason.ANSWER_CUT))
            return
        send_stream(call, head, response, chain(chunks, body), self._metrics)
