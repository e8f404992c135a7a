"""Decides what follows an attempt that got no answer: a retry, a redirect, or the end.

Owns the table from outcome and reason to the next step. What a retry costs is kept by
:mod:`~cranklane.node.allowance` (the root request's) and
:mod:`~cranklane.node.retry_budget` (the called service's). The sidecar's table
(:mod:`~cranklane.sidecar.routing.retry_policy`) is another one: there a route bounds the
attempts, an answer can be retried too, and requests suspected of crashing workers are not.
"""

from __future__ import annotations

from enum import Enum

from cranklane.node.allowance import Allowance
from cranklane.node.retry_budget import RetryBudget
from cranklane.outcome import Outcome, Reason, Repeat

MAX_REDIRECTS = 3
"""Attempts of one call that are made up for without a retry, since the destination did not
take the call. A choice: a planned stop of several members passes unnoticed, and a service
of which all members leave is given up on soon."""


class NextStep(Enum):
    """What follows an attempt; the values are the attempt's kind in metrics."""

    FINISH = "finish"
    """The attempt's end is the call's."""
    RETRY = "retry"
    """Another attempt, paid for by the allowance and the retry budget."""
    REDIRECT = "redirect"
    """Another attempt for free: the destination did not take the call."""


_REDIRECTED = frozenset(
    {
        # It leaves, and takes no new calls.
        Reason.DRAINING,
        Reason.STOPPING,
        # No connection: it may be gone without control knowing yet.
        Reason.PEER_UNREACHABLE,
    }
)

_RETRIED = frozenset(
    {
        # It is loaded, and another member may be less so.
        Reason.QUEUE_FULL,
        Reason.QUEUE_EVICTED,
        Reason.DEADLINE_TOO_NEAR,
        Reason.WORKER_SHED,
        # Its worker is gone, and that of another member may be there.
        Reason.WORKER_UNREACHABLE,
    }
)


def next_step(outcome: Outcome, reason: Reason, repeat: Repeat, redirects: int) -> NextStep:
    """Return what follows an attempt without an answer, while somebody still waits.

    :param repeat: whether the route's work may run again.
    :param redirects: redirects of this call so far.

    >>> next_step(Outcome.NOT_RUN, Reason.DRAINING, Repeat.ONCE, 0)
    <NextStep.REDIRECT: 'redirect'>
    >>> next_step(Outcome.UNKNOWN, Reason.PEER_LOST, Repeat.ONCE, 0)
    <NextStep.FINISH: 'finish'>
    """
    if outcome is Outcome.UNKNOWN:
        # The work may have run: only a route that allows it runs again.
        return NextStep.RETRY if repeat is Repeat.REPEATABLE else NextStep.FINISH
    if outcome is Outcome.NOT_RUN and reason in _REDIRECTED and redirects < MAX_REDIRECTS:
        return NextStep.REDIRECT
    if outcome is Outcome.NOT_RUN and reason in _RETRIED:
        return NextStep.RETRY
    # Answered, or refused for a reason that holds at every member.
    return NextStep.FINISH


def pay_for_retry(allowance: Allowance, budget: RetryBudget) -> bool:
    """Take one retry from both bounds; return False, and take none, when either is used up."""
    return allowance.remaining > 0 and budget.spend() and allowance.spend()
