"""Builds load reports and the heads of answers, which carry the load as well.

Callers balance their calls by the load (:mod:`~cranklane.node.balancer`).
"""

from __future__ import annotations

from cranklane.common.units import MICROSECONDS
from cranklane.node.admission import Admission, Refusal
from cranklane.node.context import CallContext
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import AnswerHead, LoadReport


def load_report(admission: Admission, version: int) -> LoadReport:
    """Return the load report that answers a ping.

    :param version: version of the active configuration.
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
    """Return an answer's head with the load and the criticality recently refused to the tenant."""
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
    """Return the head of a refusal, which has no body or end record."""
    head = answer_head(admission, context.tenant, outcome, refusal.reason)
    head.retry_after_ms = refusal.retry_after_ms
    head.allowance = context.allowance.remaining
    return head
