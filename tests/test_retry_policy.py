"""Each row of the table that decides whether another worker is asked after a reply."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cranklane.common.http1.message import Framing
from cranklane.outcome import Outcome, Reason
from cranklane.routes.table import Route
from cranklane.sidecar.request.attempt import Reply, refusal, unknown
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.call_tree import Root
from cranklane.sidecar.routing.dispatcher import Dispatcher, DispatcherParts
from cranklane.sidecar.routing.retry_policy import (
    CALL_OVER_VERDICTS,
    MAX_CAPACITY_REFUSALS,
    MAX_SIDECARS_TRIED,
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
    """Return the verdict on the reply to a first attempt, unless the state says otherwise."""
    given = {"attempts": int(reply.arrived), "tried": {"n1"}, **state}
    return decide(CallProgress(call, **given), reply, now, lambda _call: quarantined)


@pytest.mark.parametrize("reply", [FULL, LOST, SHED, ERROR])
def test_nothing_is_sent_for_a_caller_that_has_disconnected(reply):
    assert verdict_on(reply, cancelled=True) is Verdict.CALLER_DISCONNECTED


@pytest.mark.parametrize("reply", [FULL, LOST, SHED, ERROR])
def test_nothing_is_sent_from_the_deadline_on(reply):
    assert verdict_on(reply, now=DEADLINE) is Verdict.DEADLINE_PASSED
    assert verdict_on(reply, now=DEADLINE - 0.001) is not Verdict.DEADLINE_PASSED


@pytest.mark.parametrize("reason", [Reason.QUARANTINED, Reason.RUN_ALONE])
def test_a_refusal_that_is_about_the_request_itself_is_final(reason):
    assert verdict_on(refusal(reason)) is Verdict.REFUSED_EVERYWHERE


def test_a_suspected_request_that_is_quarantined_meanwhile_is_not_sent_again():
    crash = unknown(Reason.WORKER_ENDED)
    meanwhile = verdict_on(crash, quarantined=True, suspected=True)
    assert meanwhile is Verdict.NEWLY_QUARANTINED
    assert verdict_on(crash, suspected=True) is Verdict.RETRY_FROM_BUDGET


def test_the_quarantine_is_asked_only_for_a_suspected_request():
    def fail(_call):
        raise AssertionError("asked")

    decide(CallProgress(CALL, attempts=1), unknown(Reason.WORKER_ENDED), NOW, fail)


@pytest.mark.parametrize("status", [200, 404, 499, 501, 502, 503, 504])
def test_an_answer_is_final(status):
    assert verdict_on(replace(OK, status=status)) is Verdict.ANSWERED


def test_an_error_of_a_worker_may_be_bettered_by_another_one():
    assert verdict_on(ERROR) is Verdict.RETRY_FROM_BUDGET


def test_an_error_for_lack_of_capacity_further_down_is_final():
    starved = replace(ERROR, downstream_starved=True)
    assert verdict_on(starved) is Verdict.DOWNSTREAM_STARVED


def test_an_error_too_large_to_keep_is_final():
    assert verdict_on(replace(ERROR, rest=iter(()))) is Verdict.ANSWER_NOT_BUFFERED


@pytest.mark.parametrize("reply", [ERROR, LOST, unknown(Reason.ANSWER_CUT)])
def test_what_may_have_run_is_not_sent_again_unless_it_is_idempotent(reply):
    assert verdict_on(reply, ONCE_ONLY) is Verdict.NOT_IDEMPOTENT
    assert verdict_on(reply) is Verdict.RETRY_FROM_BUDGET


@pytest.mark.parametrize("reply", [ERROR, LOST])
def test_what_may_have_run_is_not_sent_again_when_its_body_is_not_kept(reply):
    assert verdict_on(reply, STREAMED) is Verdict.BODY_CONSUMED


@pytest.mark.parametrize("call", [CALL, ONCE_ONLY, STREAMED, CALLED_BY_RETRY])
def test_a_refusal_that_reached_no_worker_costs_nothing(call):
    assert verdict_on(FULL, call) is Verdict.RETRY


def test_some_refusals_for_lack_of_capacity_are_the_answer():
    last = MAX_CAPACITY_REFUSALS - 1
    assert verdict_on(FULL, refusals=last) is Verdict.CAPACITY_REFUSAL_LIMIT
    assert verdict_on(refusal(Reason.DEADLINE_TOO_NEAR), refusals=last) is (
        Verdict.CAPACITY_REFUSAL_LIMIT
    )
    assert verdict_on(FULL, refusals=last - 1) is Verdict.RETRY
    assert verdict_on(refusal(Reason.DRAINING), refusals=last) is Verdict.RETRY


def test_after_enough_sidecars_a_refusal_is_the_answer():
    asked = {f"n{number}" for number in range(MAX_SIDECARS_TRIED)}
    draining = refusal(Reason.DRAINING)
    assert verdict_on(draining, tried=asked) is Verdict.SIDECAR_LIMIT
    assert verdict_on(draining, tried=set(list(asked)[1:])) is Verdict.RETRY


def test_a_request_refused_early_is_not_sent_to_another_worker():
    assert verdict_on(refusal(Reason.REFUSED_EARLY)) is Verdict.REFUSED_EARLY


def test_a_refusal_is_the_answer_when_no_further_arrival_is_allowed():
    assert verdict_on(FULL, attempts=2) is Verdict.ATTEMPTS_EXHAUSTED
    assert verdict_on(FULL, attempts=1) is Verdict.RETRY


@pytest.mark.parametrize("reply", [LOST, SHED, ERROR])
def test_arrivals_are_bounded_by_the_route(reply):
    assert verdict_on(reply, attempts=2) is Verdict.ATTEMPTS_EXHAUSTED
    assert verdict_on(reply, attempts=1) is Verdict.RETRY_FROM_BUDGET


@pytest.mark.parametrize("reply", [LOST, SHED, ERROR])
def test_a_call_of_a_retried_run_is_not_sent_again(reply):
    assert verdict_on(reply, CALLED_BY_RETRY) is Verdict.CALLED_BY_RETRY


@pytest.mark.parametrize("call", [CALL, ONCE_ONLY, STREAMED])
def test_a_worker_that_says_that_it_has_not_run_it_costs_a_retry_of_the_budget(call):
    assert verdict_on(SHED, call) is Verdict.RETRY_FROM_BUDGET


def test_the_rows_are_read_from_top_to_bottom():
    """Each state that fulfils all rows from one on gets the verdict of the first of them."""
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


def test_a_crash_makes_a_request_a_suspect():
    progress = CallProgress(CALL, tried={"n1"})
    progress.note_suspicion("n1", Reason.WORKER_ENDED)
    assert progress.suspected
    assert not progress.isolated
    assert progress.tried == {"n1"}


def test_a_gate_that_wants_isolation_may_be_asked_again():
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


class Budget:
    """Counts how often it is asked, and pays or not."""

    def __init__(self, pays):
        self.pays = pays
        self.asked = 0

    def take(self, service):
        self.asked += 1
        return self.pays


def dispatcher(budget):
    runtime = SimpleNamespace(monotonic=lambda: NOW)
    quarantine = SimpleNamespace(is_empty=True)
    parts = DispatcherParts(None, None, None, None, budget, quarantine, None, None)
    return Dispatcher(runtime, parts, "own", "caller")


@pytest.mark.parametrize("pays", [True, False])
def test_the_budget_decides_on_a_retry_that_it_is_to_pay(pays):
    budget = Budget(pays)
    assert dispatcher(budget)._should_retry(CallProgress(CALL, attempts=1), LOST) is pays
    assert budget.asked == 1


@pytest.mark.parametrize("reply", [OK, FULL, refusal(Reason.REFUSED_EARLY)])
def test_the_budget_is_not_asked_for_anything_else(reply):
    budget = Budget(True)
    retries = dispatcher(budget)._should_retry(CallProgress(CALL, tried={"n1"}), reply)
    assert retries is (reply is FULL)
    assert budget.asked == 0


def test_refusals_for_lack_of_capacity_are_counted_while_the_call_lasts():
    progress = CallProgress(CALL, tried={"n1"})
    asking = dispatcher(Budget(True))
    answers = [asking._should_retry(progress, FULL) for _ in range(MAX_CAPACITY_REFUSALS)]
    assert answers == [True] * (MAX_CAPACITY_REFUSALS - 1) + [False]
    assert progress.refusals == MAX_CAPACITY_REFUSALS
    progress.cancelled = True
    asking._should_retry(progress, FULL)
    asking._should_retry(CallProgress(CALL), refusal(Reason.DRAINING))
    assert progress.refusals == MAX_CAPACITY_REFUSALS
