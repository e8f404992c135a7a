"""What a node reports of its worker's load, and the heads of answers that carry it.

Owns nothing; the figures are those of :mod:`~cranklane.node.admission`. Callers choose
members by them (:mod:`~cranklane.node.balancer`).
"""

from __future__ import annotations

from cranklane.common.units import MICROSECONDS
from cranklane.node.admission import Admission, Refusal
from cranklane.node.context import CallContext
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import AnswerHead, LoadReport


def load_report(admission: Admission, version: int) -> LoadReport:
    """Return the report that follows each ping.

    :param version: of the configuration in force.
    """
    return LoadReport(
        in_flight=admission.in_flight,
        queued=admission.queued,
        limit=admission.concurrency.limit,
        wait_us=int(admission.expected_wait() * MICROSECONDS),
        draining=admission.draining,
        version=version,
    )


def answer_head(
    admission: Admission, tenant: str, outcome: Outcome, reason: Reason = Reason.NONE
) -> AnswerHead:
    """Return an answer's head with the load, and with what is refused to a tenant."""
    return AnswerHead(
        outcome=outcome,
        reason=reason,
        in_flight=admission.in_flight + admission.queued,
        limit=admission.concurrency.limit,
        wait_us=int(admission.expected_wait() * MICROSECONDS),
        refused_below=admission.refused_below(tenant),
        draining=admission.draining,
    )


def refusal_head(
    admission: Admission, context: CallContext, outcome: Outcome, refusal: Refusal
) -> AnswerHead:
    """Return the head that alone makes up the answer of a call without one from the worker."""
    head = answer_head(admission, context.tenant, outcome, refusal.reason)
    head.retry_after_ms = refusal.retry_after_ms
    head.allowance = context.allowance.remaining
    return head
