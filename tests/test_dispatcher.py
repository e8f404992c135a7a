"""The dispatcher's attempts, retries and final reply, with scripted workers."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cranklane.common.http1.message import Framing
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Outcome, Reason
from cranklane.routes.table import Route
from cranklane.sidecar.request.attempt import Reply, refusal, unknown
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.call_tree import Root
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.dispatcher import Dispatcher, DispatcherDependencies
from cranklane.sidecar.routing.retry_budget import FleetSize, RetryBound, RetryBudget
from cranklane.sidecar.routing.worker_choice import Saturation

NOW = 100.0
ROUTE = Route("r", "h", "/", True, 5000, 1000, 0, 3, ())
LINES = b"GET / HTTP/1.1\r\nhost: h\r\n"


def call(is_retry=False):
    root = Root(0, NOW, NOW + 1.0, NOW + 5.0, is_retry)
    return Call(
        "id", ROUTE, "s", NOW, NOW + 5.0, False, Framing.LENGTH, 0, LINES, b"", root, "", True
    )


class RecordingBudget(RetryBudget):
    """A budget that allows every retry and counts its calls."""

    def __init__(self):
        super().__init__(RetryBound(1, 1, 1), lambda: NOW, None, lambda: FleetSize(1, 0.0))
        self.earn_count = self.charge_count = self.take_count = 0

    def earn(self, service):
        self.earn_count += 1

    def charge(self, service):
        self.charge_count += 1

    def take(self, service):
        self.take_count += 1
        return True


class ScriptedWorkers:
    """Workers that give the scripted replies in order."""

    def __init__(self, *replies, saturated=False):
        self.replies = list(replies)
        self.nodes = [f"n{number}" for number in range(len(replies))]
        self.saturated = saturated
        self.requests = []
        self.waits = 0
        self.budget = RecordingBudget()

    def choose(self, service, tried, priority):
        untried = [node for node in self.nodes if node not in tried]
        if not untried:
            return None
        address = ("10.0.0.1", 80)
        return Destination(untried[0], 1, 1, service, "z", address, "i", MemberState.LIVE, 4)

    def all_saturated(self, service, priority):
        return self.saturated

    def first_saturation(self, service):
        return Saturation(Reason.QUEUE_FULL, 0.0)

    def record_notice(self, destination, notice):
        pass

    def wait_for_update(self, seconds):
        self.waits += 1
        return False

    def run(self, address, attempt):
        self.requests.append(attempt.request)
        return self.replies.pop(0)

    def result(self, request_call=None):
        dependencies = DispatcherDependencies(
            self,
            self,
            None,
            self,
            self.budget,
            SimpleNamespace(is_empty=True, record_refusal=lambda *_: None),
            lambda *_: None,
            lambda *_: None,
        )
        runtime = SimpleNamespace(monotonic=lambda: NOW)
        self.progress = CallProgress(request_call or call())
        return Dispatcher(runtime, dependencies, "own", "caller").run(self.progress)


def answer(status):
    return Reply(Outcome.ANSWERED, arrived=True, status=status)


def test_an_answer_is_passed_on_at_once():
    workers = ScriptedWorkers(answer(200), answer(404))
    assert workers.result().status == 200
    assert len(workers.requests) == 1


def test_an_answer_replaces_an_error_and_a_refusal():
    assert ScriptedWorkers(answer(500), answer(200)).result().status == 200
    assert ScriptedWorkers(refusal(Reason.QUEUE_FULL), answer(200)).result().status == 200


@pytest.mark.parametrize("later", [refusal(Reason.DRAINING), unknown(Reason.ANSWER_CUT)])
def test_an_error_is_kept_when_no_other_worker_answers(later):
    result = ScriptedWorkers(answer(500), later).result()
    assert (result.outcome, result.status) == (Outcome.ANSWERED, 500)


def test_a_refusal_after_an_attempt_that_may_have_run_has_unknown_outcome():
    result = ScriptedWorkers(unknown(Reason.ANSWER_CUT), refusal(Reason.DRAINING)).result()
    assert (result.outcome, result.reason) == (Outcome.UNKNOWN, Reason.DRAINING)


def test_a_service_without_workers_is_refused_as_without_members():
    workers = ScriptedWorkers()
    result = workers.result()
    assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.NO_MEMBERS)
    assert result.retry_after_ms > 0
    assert workers.waits == 1


def test_a_request_to_saturated_workers_is_refused_without_waiting():
    workers = ScriptedWorkers(saturated=True)
    result = workers.result()
    assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.QUEUE_FULL)
    assert workers.waits == 0


def test_the_second_attempt_to_reach_a_worker_is_marked_as_a_retry():
    workers = ScriptedWorkers(refusal(Reason.QUEUE_FULL), unknown(Reason.ANSWER_CUT), answer(200))
    workers.result()
    assert [request.is_retry for request in workers.requests] == [False, False, True]
    assert (workers.budget.earn_count, workers.budget.charge_count, workers.budget.take_count) == (
        1,
        0,
        1,
    )


def test_a_run_after_a_refusal_without_a_run_is_marked_as_a_retry():
    """The calls of a second arrival count as retries at the called service, run before or not."""
    refused = refusal(Reason.WORKER_SHED, arrived=True)
    workers = ScriptedWorkers(refused, answer(500), answer(200))
    workers.result()
    assert [request.is_retry for request in workers.requests] == [False, True, True]
    assert workers.budget.take_count == 2


def test_a_call_of_a_retried_run_is_charged_and_earns_nothing():
    workers = ScriptedWorkers(answer(500), answer(200))
    assert workers.result(call(is_retry=True)).status == 500
    assert workers.requests[0].is_retry
    assert (workers.budget.earn_count, workers.budget.charge_count, workers.budget.take_count) == (
        0,
        1,
        0,
    )


def test_the_retry_after_a_worker_crash_is_marked_as_suspected():
    workers = ScriptedWorkers(unknown(Reason.WORKER_ENDED), answer(200))
    workers.result()
    assert [request.suspected for request in workers.requests] == [False, True]
