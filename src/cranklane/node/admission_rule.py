"""Decides which calls are refused at once, and how long a call would wait.

Owns the rules and their constants; :mod:`~cranklane.node.admission` keeps the counts that
they take. The sidecar's rules (:mod:`~cranklane.sidecar.admission`) are others: there the
caller's sidecar states how long a request may wait for a slot, here its deadline bounds it.
"""

from __future__ import annotations

from cranklane.outcome import Reason

OVERLOADED_AFTER_SECONDS = 0.2
"""Seconds without an empty queue after which the newest call goes first. A choice: several
service times, so that a short burst is served in its order."""


def refusal_at_once(
    draining: bool, remaining: float, wait: float | None, likely_time: float
) -> Reason | None:
    """Return why a call is refused without waiting for a slot, or None.

    :param draining: whether the node takes no new calls.
    :param remaining: seconds until the call's deadline.
    :param wait: seconds the call would wait for a slot; None when one is free.
    :param likely_time: seconds within which most calls are done in the worker.

    >>> refusal_at_once(False, 1.0, 0.8, 0.3)
    <Reason.DEADLINE_TOO_NEAR: 3>
    >>> refusal_at_once(False, 1.0, None, 2.0) is None
    True
    """
    if draining:
        # The worker leaves; another member takes the call.
        return Reason.DRAINING
    if remaining <= 0:
        # Nobody waits any more.
        return Reason.DEADLINE_PASSED
    if wait is None:
        # A free slot is not left idle, even when the call may take too long.
        return None
    if wait + likely_time > remaining:
        # It would be done too late: run, it would only waste a slot.
        return Reason.DEADLINE_TOO_NEAR
    return None


def expected_wait(ahead: int, service_time: float, slots: float) -> float:
    """Return the seconds until a slot is free for a call.

    :param ahead: calls that go before it.
    :param service_time: seconds that a call takes in the worker.
    :param slots: slots that these calls share.
    """
    return (ahead + 1) * service_time / slots


def is_overloaded(now: float, last_empty: float) -> bool:
    """Return whether the newest call goes first: an old one has little time left.

    :param last_empty: monotonic second at which the queue was last empty.
    """
    return now - last_empty > OVERLOADED_AFTER_SECONDS
