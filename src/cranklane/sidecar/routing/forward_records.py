"""Conversion between replies and the records that carry them between sidecars."""

from __future__ import annotations

from cranklane.common.http1.message import Framing
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardAnswer, ServiceWork
from cranklane.sidecar.capacity.advertisement import NO_ADVERTISEMENT, unpack_advertisement
from cranklane.sidecar.request.attempt import Load, Reply
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.worker.condition import Condition


def decode_reply(answer: ForwardAnswer) -> Reply:
    """Decode a record into a reply; ``rest`` is not set."""
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
        _decode_slot_work(answer.downstream_cost) if answer.downstream_cost else None,
        answer.notice[0] if answer.notice else None,
        unpack_advertisement(answer.advertised) if answer.advertised else NO_ADVERTISEMENT,
    )


def _decode_slot_work(records: list[ServiceWork]) -> SlotWork:
    work = SlotWork()
    for record in records:
        work.add(record.service, record.milliseconds)
    return work


def encode_reply(reply: Reply) -> ForwardAnswer:
    """Encode a reply as the record that starts the response to another sidecar."""
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
            ServiceWork(milliseconds, service)
            for service, milliseconds in reply.downstream_cost or ()
        ],
        length=reply.length,
        lines=reply.lines,
        body=reply.body,
        advertised=reply.advertised.pack(),
        notice=[reply.notice] if reply.notice else None,
    )
