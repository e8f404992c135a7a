"""Translates between replies and the records that carry them from one sidecar to another."""

from __future__ import annotations

from cranklane.common.http1.message import Framing
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardAnswer, ServiceWork
from cranklane.sidecar.request.attempt import Load, Reply
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.worker.condition import Condition


def reply_of(answer: ForwardAnswer) -> Reply:
    """Return the reply that an answer holds, without the further pieces of its body."""
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
        _work_of(answer.downstream_cost) if answer.downstream_cost else None,
    )


def _work_of(records: list[ServiceWork]) -> SlotWork:
    work = SlotWork()
    for item in records:
        work.add(item.service, item.milliseconds)
    return work


def answer_of(reply: Reply) -> ForwardAnswer:
    """Return the record that begins the answer to another sidecar."""
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
