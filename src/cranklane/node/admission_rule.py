"""Rules for refusing a call without queueing it, and the estimate of its queueing delay.

A call may wait in the queue as long as its deadline allows.
:mod:`~cranklane.node.admission` keeps the counts that the rules take.
"""

from __future__ import annotations

from cranklane.outcome import Reason

OVERLOADED_AFTER_SECONDS = 0.2
"""Seconds without an empty queue after which the newest call goes first. Several service
times, so that a short burst is served in order of arrival."""


def immediate_refusal(
    draining: bool, remaining: float, wait: float | None, likely_service_time: float
) -> Reason | None:
    """Return the reason to refuse a call without queueing it, or None.

    :param draining: whether the node is draining.
    :param remaining: seconds until the call's deadline.
    :param wait: estimated queueing delay in seconds; None when a slot is free.
    :param likely_service_time: seconds within which the worker finishes most calls.

    >>> immediate_refusal(False, 1.0, 0.8, 0.3)
    <Reason.DEADLINE_TOO_NEAR: 3>
    >>> immediate_refusal(False, 1.0, None, 2.0) is None
    True
    """
    if draining:
        # Another member can run the call.
        return Reason.DRAINING
    if remaining <= 0:
        return Reason.DEADLINE_PASSED
    if wait is None:
        # Use a free slot even if the call may miss its deadline: the slot would be idle.
        return None
    if wait + likely_service_time > remaining:
        # The call would miss its deadline and waste a slot.
        return Reason.DEADLINE_TOO_NEAR
    return None


def expected_wait(ahead: int, service_time: float, slots: float) -> float:
    """Return the estimated seconds until a call gets a slot.

    :param ahead: queued calls that go before it.
    :param service_time: mean seconds a call takes in the worker.
    :param slots: slots that these calls share.
    """
    return (ahead + 1) * service_time / slots


def is_overloaded(now: float, last_empty: float) -> bool:
    """Return whether the newest call goes first, because old ones are close to their deadlines.

    :param last_empty: monotonic second at which the queue was last empty.
    """
    return now - last_empty > OVERLOADED_AFTER_SECONDS
