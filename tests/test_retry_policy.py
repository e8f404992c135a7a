"""Each rule of the retry policy, and the order of the rules."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cranklane.common.http1.message import Framing
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.routes.table import Route
from cranklane.sidecar.request.attempt import Attempt, Reply, refusal, unknown
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.call_tree import CallFailure, Root
from cranklane.sidecar.routing.dispatcher import Dispatcher, DispatcherDependencies
from cranklane.sidecar.routing.retry_policy import (
    CALL_OVER_VERDICTS,
    MAX_CAPACITY_REFUSALS,
    MAX_SIDECARS_TRIED,
    MAX_WORKER_REFUSALS,
    Verdict,
    decide,
)

NOW = 100.0
DEADLINE = 105.0
ROUTE = Route("r", "h", "/", True, 5000, 1000, 0, 2, ())
ROOT = Root(0, 99.0, 101.0, DEADLINE)
LINES = b"GET / HTTP/1.1\r\nhost: h\r\n"
CALL = Call("id", ROUTE, "s", 99.0, DEADLINE, False, Framing.LENGTH, 0, LINES, b"", ROOT)
ONCE_ONLY = CALL._replace(route=replace(ROUTE, idempotent=False))
STREAMED = CALL._replace(rest=lambda: b"")
CALLED_BY_RETRY = CALL._replace(root=replace(ROOT, is_retry=True))
FULL = refusal(Reason.QUEUE_FULL)
LOST = unknown(Reason.PEER_LOST)
SHED = refusal(Reason.WORKER_SHED, arrived=True)
OK = Reply(Outcome.ANSWERED, arrived=True, status=200)
ERROR = Reply(Outcome.ANSWERED, arrived=True, status=500)


def verdict_on(reply, call=CALL, now=NOW, quarantined=False, **state):
    """Return the verdict on a reply, by default to the first attempt.

    :param state: fields of the CallProgress that differ from a first attempt.
    """
    fields = {"attempts": int(reply.arrived), "tried": {"n1"}, **state}
    return decide(CallProgress(call, **fields), reply, now, lambda _call: quarantined)


@pytest.mark.parametrize("reply", [FULL, LOST, SHED, ERROR])
def test_no_retry_for_a_disconnected_caller(reply):
    assert verdict_on(reply, cancelled=True) is Verdict.CALLER_DISCONNECTED


@pytest.mark.parametrize("reply", [FULL, LOST, SHED, ERROR])
def test_no_retry_from_the_deadline_on(reply):
    assert verdict_on(reply, now=DEADLINE) is Verdict.DEADLINE_PASSED
    assert verdict_on(reply, now=DEADLINE - 0.001) is not Verdict.DEADLINE_PASSED


@pytest.mark.parametrize("reason", [Reason.QUARANTINED, Reason.RUN_ALONE])
def test_a_refusal_that_concerns_the_request_is_final(reason):
    assert verdict_on(refusal(reason)) is Verdict.REFUSED_EVERYWHERE


def test_a_newly_quarantined_request_is_not_retried():
    crash = unknown(Reason.WORKER_ENDED)
    quarantined_verdict = verdict_on(crash, quarantined=True, suspected=True)
    assert quarantined_verdict is Verdict.NEWLY_QUARANTINED
    assert verdict_on(crash, suspected=True) is Verdict.RETRY_FROM_BUDGET


def test_the_quarantine_is_consulted_only_for_a_suspected_request():
    def fail(_call):
        raise AssertionError("asked")

    decide(CallProgress(CALL, attempts=1), unknown(Reason.WORKER_ENDED), NOW, fail)


@pytest.mark.parametrize("status", [200, 404, 499, 501, 502, 503, 504])
def test_an_answer_is_final(status):
    assert verdict_on(replace(OK, status=status)) is Verdict.ANSWERED


def test_a_worker_error_is_retried_from_the_budget():
    assert verdict_on(ERROR) is Verdict.RETRY_FROM_BUDGET


def test_an_error_for_lack_of_downstream_capacity_is_final():
    starved = replace(ERROR, downstream_starved=True)
    assert verdict_on(starved) is Verdict.DOWNSTREAM_STARVED


def test_an_error_too_large_to_buffer_is_final():
    assert verdict_on(replace(ERROR, rest=iter(()))) is Verdict.ANSWER_NOT_BUFFERED


@pytest.mark.parametrize("reply", [ERROR, LOST, unknown(Reason.ANSWER_CUT)])
def test_a_request_that_may_have_run_is_retried_only_if_idempotent(reply):
    assert verdict_on(reply, ONCE_ONLY) is Verdict.NOT_IDEMPOTENT
    assert verdict_on(reply) is Verdict.RETRY_FROM_BUDGET


@pytest.mark.parametrize("reply", [ERROR, LOST])
def test_a_request_that_may_have_run_is_not_retried_without_its_body(reply):
    assert verdict_on(reply, STREAMED) is Verdict.BODY_CONSUMED


def test_a_run_whose_call_was_refused_unrun_is_not_repeated_with_its_whole_call_tree():
    refused = replace(ERROR, failure=CallFailure("stock", Reason.WORKER_SHED))
    assert verdict_on(refused) is Verdict.DOWNSTREAM_STARVED
    failed = replace(ERROR, failure=CallFailure("stock", Reason.WORKER_FAILED))
    assert verdict_on(failed) is Verdict.RETRY_FROM_BUDGET


def test_a_refusal_after_the_body_was_started_is_not_retried_with_the_rest_of_it():
    attempt = Attempt(ForwardRequest(), STREAMED.rest)
    assert verdict_on(SHED, STREAMED, current=attempt) is Verdict.RETRY_FROM_BUDGET
    attempt.rest_started = True
    assert verdict_on(SHED, STREAMED, current=attempt) is Verdict.BODY_CONSUMED


@pytest.mark.parametrize("call", [CALL, ONCE_ONLY, STREAMED, CALLED_BY_RETRY])
def test_a_refusal_before_a_worker_is_reached_needs_no_budget(call):
    assert verdict_on(FULL, call) is Verdict.RETRY


def test_capacity_refusals_are_final_from_the_limit_on():
    last = MAX_CAPACITY_REFUSALS - 1
    assert verdict_on(FULL, refusals=last) is Verdict.CAPACITY_REFUSAL_LIMIT
    assert verdict_on(refusal(Reason.DEADLINE_TOO_NEAR), refusals=last) is (
        Verdict.CAPACITY_REFUSAL_LIMIT
    )
    assert verdict_on(FULL, refusals=last - 1) is Verdict.RETRY
    assert verdict_on(refusal(Reason.DRAINING), refusals=last) is Verdict.RETRY


def test_a_refusal_is_final_at_the_limit_of_sidecars():
    tried = {f"n{number}" for number in range(MAX_SIDECARS_TRIED)}
    draining = refusal(Reason.DRAINING)
    assert verdict_on(draining, tried=tried) is Verdict.SIDECAR_LIMIT
    assert verdict_on(draining, tried=set(list(tried)[1:])) is Verdict.RETRY


def test_an_early_refusal_is_not_retried():
    assert verdict_on(refusal(Reason.REFUSED_EARLY)) is Verdict.REFUSED_EARLY


def test_a_refusal_is_final_when_all_attempts_are_used():
    assert verdict_on(FULL, attempts=2) is Verdict.ATTEMPTS_EXHAUSTED
    assert verdict_on(FULL, attempts=1) is Verdict.RETRY


@pytest.mark.parametrize("reply", [LOST, SHED, ERROR])
def test_the_route_limits_the_attempts(reply):
    assert verdict_on(reply, attempts=2) is Verdict.ATTEMPTS_EXHAUSTED
    assert verdict_on(reply, attempts=1) is Verdict.RETRY_FROM_BUDGET


@pytest.mark.parametrize("reply", [LOST, SHED, ERROR])
def test_a_call_of_a_retried_run_is_not_retried(reply):
    assert verdict_on(reply, CALLED_BY_RETRY) is Verdict.CALLED_BY_RETRY


@pytest.mark.parametrize("call", [CALL, ONCE_ONLY, STREAMED])
def test_a_refusal_by_the_worker_is_retried_from_the_budget(call):
    assert verdict_on(SHED, call) is Verdict.RETRY_FROM_BUDGET


def test_refusals_without_a_run_have_a_limit_of_their_own():
    """Counting them as attempts ends trees whose workers refuse at random; none loops forever."""
    last = MAX_WORKER_REFUSALS
    for refusals in (1, last - 1):
        state = {"attempts": refusals, "worker_refusals": refusals}
        assert verdict_on(SHED, **state) is Verdict.RETRY_FROM_BUDGET
    assert verdict_on(SHED, attempts=last, worker_refusals=last) is Verdict.WORKER_REFUSAL_LIMIT
    assert verdict_on(LOST, attempts=last, worker_refusals=last - 2) is Verdict.ATTEMPTS_EXHAUSTED


def test_the_rules_apply_in_order():
    """A state that matches several rules gets the verdict of the first."""
    everything = replace(LOST, reason=Reason.RUN_ALONE)
    state = {"attempts": 9, "refusals": 9, "suspected": True, "quarantined": True}
    call = ONCE_ONLY._replace(rest=lambda: b"", root=CALLED_BY_RETRY.root)
    assert verdict_on(everything, call, DEADLINE, cancelled=True, **state) is CALL_OVER_VERDICTS[0]
    assert verdict_on(everything, call, DEADLINE, **state) is CALL_OVER_VERDICTS[1]
    assert verdict_on(everything, call, **state) is CALL_OVER_VERDICTS[2]
    assert verdict_on(LOST, call, **state) is CALL_OVER_VERDICTS[3]
    state["quarantined"] = False
    assert verdict_on(LOST, call, **state) is Verdict.NOT_IDEMPOTENT
    call = call._replace(route=ROUTE)
    assert verdict_on(LOST, call, **state) is Verdict.BODY_CONSUMED
    call = call._replace(rest=None)
    assert verdict_on(LOST, call, **state) is Verdict.ATTEMPTS_EXHAUSTED
    state["attempts"] = 1
    assert verdict_on(LOST, call, **state) is Verdict.CALLED_BY_RETRY


def test_a_worker_crash_makes_the_request_suspected():
    progress = CallProgress(CALL, tried={"n1"})
    progress.note_suspicion("n1", Reason.WORKER_ENDED)
    assert progress.suspected
    assert not progress.isolated
    assert progress.tried == {"n1"}


def test_a_node_that_requires_isolation_may_be_tried_again():
    progress = CallProgress(CALL, tried={"n1", "n2"})
    progress.note_suspicion("n1", Reason.SUSPECTED)
    assert progress.isolated
    assert progress.tried == {"n2"}


@pytest.mark.parametrize("reason", sorted(set(Reason) - {Reason.WORKER_ENDED, Reason.SUSPECTED}))
def test_other_reasons_raise_no_suspicion(reason):
    progress = CallProgress(CALL, tried={"n1"})
    progress.note_suspicion("n1", reason)
    assert not progress.suspected
    assert not progress.isolated
    assert progress.tried == {"n1"}


class StubBudget:
    """A budget that allows all retries or none, and counts its calls."""

    def __init__(self, allows):
        self.allows = allows
        self.take_count = 0

    def take(self, service):
        self.take_count += 1
        return self.allows


def dispatcher(budget):
    runtime = SimpleNamespace(monotonic=lambda: NOW)
    quarantine = SimpleNamespace(is_empty=True)
    dependencies = DispatcherDependencies(None, None, None, None, budget, quarantine, None, None)
    return Dispatcher(runtime, dependencies, "own", "caller")


@pytest.mark.parametrize("allows", [True, False])
def test_the_budget_decides_on_a_retry_charged_to_it(allows):
    budget = StubBudget(allows)
    assert dispatcher(budget)._should_retry(CallProgress(CALL, attempts=1), LOST) is allows
    assert budget.take_count == 1


@pytest.mark.parametrize("reply", [OK, FULL, refusal(Reason.REFUSED_EARLY)])
def test_the_budget_is_not_charged_for_other_verdicts(reply):
    budget = StubBudget(True)
    retries = dispatcher(budget)._should_retry(CallProgress(CALL, tried={"n1"}), reply)
    assert retries is (reply is FULL)
    assert budget.take_count == 0


def test_capacity_refusals_are_counted_until_the_call_is_over():
    progress = CallProgress(CALL, tried={"n1"})
    dispatcher_under_test = dispatcher(StubBudget(True))
    retried = [
        dispatcher_under_test._should_retry(progress, FULL) for _ in range(MAX_CAPACITY_REFUSALS)
    ]
    assert retried == [True] * (MAX_CAPACITY_REFUSALS - 1) + [False]
    assert progress.refusals == MAX_CAPACITY_REFUSALS
    progress.cancelled = True
    dispatcher_under_test._should_retry(progress, FULL)
    dispatcher_under_test._should_retry(CallProgress(CALL), refusal(Reason.DRAINING))
    assert progress.refusals == MAX_CAPACITY_REFUSALS
