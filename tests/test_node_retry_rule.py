"""Retries and redirects of failed attempts, and their cost in allowance and budget."""

from __future__ import annotations

import pytest

from cranklane.node.allowance import Allowance
from cranklane.node.retry_budget import RetryBudget
from cranklane.node.retry_rule import MAX_REDIRECTS, NextStep, next_step, spend_retry
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
def test_call_that_did_not_run_is_redirected_or_retried_by_reason(reason, repeat):
    expected = NextStep.FINISH
    if reason in REDIRECTED:
        expected = NextStep.REDIRECT
    elif reason in RETRIED:
        expected = NextStep.RETRY
    assert next_step(Outcome.NOT_RUN, reason, repeat, 0) is expected


@pytest.mark.parametrize("reason", list(Reason))
def test_call_that_may_have_run_is_retried_only_on_repeatable_routes(reason):
    for repeat in Repeat:
        expected = NextStep.RETRY if repeat is Repeat.REPEATABLE else NextStep.FINISH
        assert next_step(Outcome.UNKNOWN, reason, repeat, 0) is expected


@pytest.mark.parametrize("reason", sorted(REDIRECTED))
def test_redirects_are_limited(reason):
    for redirects in range(MAX_REDIRECTS):
        assert next_step(Outcome.NOT_RUN, reason, Repeat.ONCE, redirects) is NextStep.REDIRECT
    assert next_step(Outcome.NOT_RUN, reason, Repeat.ONCE, MAX_REDIRECTS) is NextStep.FINISH


def test_answered_call_is_not_retried():
    for repeat in Repeat:
        assert next_step(Outcome.ANSWERED, Reason.NONE, repeat, 0) is NextStep.FINISH


def test_retry_spends_from_the_allowance():
    allowance, budget = Allowance(2), RetryBudget()
    assert spend_retry(allowance, budget)
    assert spend_retry(allowance, budget)
    assert not spend_retry(allowance, budget)
    assert allowance.remaining == 0


def test_refused_retry_without_allowance_spends_no_budget():
    full_budget, budget_after_refusal = RetryBudget(), RetryBudget()
    assert not spend_retry(Allowance(0), budget_after_refusal)
    remaining_retries = 0
    while budget_after_refusal.spend():
        remaining_retries += 1
    full_budget_retries = 0
    while full_budget.spend():
        full_budget_retries += 1
    assert remaining_retries == full_budget_retries


def test_refused_retry_without_budget_spends_no_allowance():
    allowance, budget = Allowance(3), RetryBudget()
    while budget.spend():
        pass
    assert not spend_retry(allowance, budget)
    assert allowance.remaining == 3
