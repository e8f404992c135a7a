"""Which failed attempts of a node's call are followed by another one, and what that costs."""

from __future__ import annotations

import pytest

from cranklane.node.allowance import Allowance
from cranklane.node.retry_budget import RetryBudget
from cranklane.node.retry_rule import MAX_REDIRECTS, NextStep, next_step, pay_for_retry
from cranklane.outcome import Outcome, Reason, Repeat

REDIRECTED = {Reason.DRAINING, Reason.STOPPING, Reason.PEER_UNREACHABLE}
RETRIED = {
    Reason.QUEUE_FULL,
    Reason.QUEUE_EVICTED,
    Reason.DEADLINE_TOO_NEAR,
    Reason.WORKER_SHED,
    Reason.WORKER_UNREACHABLE,
}


@pytest.mark.parametrize("repeat", list(Repeat))
@pytest.mark.parametrize("reason", list(Reason))
def test_what_was_not_run_is_redirected_or_retried_by_its_reason(reason, repeat):
    expected = NextStep.FINISH
    if reason in REDIRECTED:
        expected = NextStep.REDIRECT
    elif reason in RETRIED:
        expected = NextStep.RETRY
    assert next_step(Outcome.NOT_RUN, reason, repeat, 0) is expected


@pytest.mark.parametrize("reason", list(Reason))
def test_what_may_have_run_is_retried_only_on_a_repeatable_route(reason):
    for repeat in Repeat:
        expected = NextStep.RETRY if repeat is Repeat.REPEATABLE else NextStep.FINISH
        assert next_step(Outcome.UNKNOWN, reason, repeat, 0) is expected


@pytest.mark.parametrize("reason", sorted(REDIRECTED))
def test_redirects_are_bounded(reason):
    for redirects in range(MAX_REDIRECTS):
        assert next_step(Outcome.NOT_RUN, reason, Repeat.ONCE, redirects) is NextStep.REDIRECT
    assert next_step(Outcome.NOT_RUN, reason, Repeat.ONCE, MAX_REDIRECTS) is NextStep.FINISH


def test_an_answer_is_final():
    for repeat in Repeat:
        assert next_step(Outcome.ANSWERED, Reason.NONE, repeat, 0) is NextStep.FINISH


def test_a_retry_is_paid_from_the_allowance_and_the_budget():
    allowance, budget = Allowance(2), RetryBudget()
    assert pay_for_retry(allowance, budget)
    assert pay_for_retry(allowance, budget)
    assert not pay_for_retry(allowance, budget)
    assert allowance.remaining == 0


def test_without_allowance_the_budget_is_not_touched():
    spent, untouched = RetryBudget(), RetryBudget()
    assert not pay_for_retry(Allowance(0), untouched)
    left = 0
    while untouched.spend():
        left += 1
    full = 0
    while spent.spend():
        full += 1
    assert left == full


def test_without_budget_the_allowance_is_not_touched():
    allowance, budget = Allowance(3), RetryBudget()
    while budget.spend():
        pass
    assert not pay_for_retry(allowance, budget)
    assert allowance.remaining == 3
