"""Decides whether an attempt without an answer is followed by a retry or a redirect.

A retry spends from the root request's :mod:`~cranklane.node.allowance` and the called service's
:mod:`~cranklane.node.retry_budget`. The sidecar's retry policy is
:mod:`~cranklane.sidecar.routing.retry_policy`.
"""

from __future__ import annotations

from enum import Enum

from cranklane.node.allowance import Allowance
from cranklane.node.retry_budget import RetryBudget
from cranklane.outcome import Outcome, Reason, Repeat

MAX_REDIRECTS = 3
"""Redirects allowed per call. Hides a planned stop of several members, and ends soon if all
members of a service leave."""


class NextStep(Enum):
    """Step after an attempt; its value is the next attempt's kind in metrics."""

    FINISH = "finish"
    """No further attempt: return the answer."""
    RETRY = "retry"
    """Another attempt that spends from the allowance and the retry budget."""
    REDIRECT = "redirect"
    """Another attempt that spends nothing, as the destination did not accept the call."""


_REDIRECTED = frozenset(
    {
        # The member is stopping and accepts no new calls.
        Reason.DRAINING,
        Reason.STOPPING,
        # The member may have failed before control detected it.
        Reason.PEER_UNREACHABLE,
    }
)

_RETRIED = frozenset(
    {
        # Another member may be less loaded.
        Reason.QUEUE_FULL,
        Reason.QUEUE_EVICTED,
        Reason.DEADLINE_TOO_NEAR,
        Reason.WORKER_SHED,
        # The worker of another member may be reachable.
        Reason.WORKER_UNREACHABLE,
    }
)


def next_step(outcome: Outcome, reason: Reason, repeat: Repeat, redirects: int) -> NextStep:
    """Return the step after an attempt without an answer, if the deadline has not passed.

    :param repeat: whether the route allows a second run.
    :param redirects: number of redirects of this call so far.

    >>> next_step(Outcome.NOT_RUN, Reason.DRAINING, Repeat.ONCE, 0)
    <NextStep.REDIRECT: 'redirect'>
    >>> next_step(Outcome.UNKNOWN, Reason.PEER_LOST, Repeat.ONCE, 0)
    <NextStep.FINISH: 'finish'>
    """
    if outcome is Outcome.UNKNOWN:
        # The worker may have run the call: retry only if the route allows a second run.
        return NextStep.RETRY if repeat is Repeat.REPEATABLE else NextStep.FINISH
    if outcome is Outcome.NOT_RUN and reason in _REDIRECTED and redirects < MAX_REDIRECTS:
        return NextStep.REDIRECT
    if outcome is Outcome.NOT_RUN and reason in _RETRIED:
        return NextStep.RETRY
    # Answered, out of redirects, or refused for a reason that applies to every member.
    return NextStep.FINISH


def spend_retry(allowance: Allowance, budget: RetryBudget) -> bool:
    """Spend one retry from both limits; return False and spend nothing if either is exhausted."""
    return allowance.remaining > 0 and budget.spend() and allowance.spend()
