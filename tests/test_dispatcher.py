"""Which reply a caller gets after several attempts, with stand-ins for the workers."""

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
from cranklane.sidecar.routing.dispatcher import Dispatcher, DispatcherParts
from cranklane.sidecar.routing.retry_budget import FleetSize, RetryBound, RetryBudget

NOW = 100.0
ROUTE = Route("r", "h", "/", True, 5000, 1000, 0, 3, ())
LINES = b"GET / HTTP/1.1\r\nhost: h\r\n"


def call(is_retry=False):
    root = Root(0, NOW, NOW + 1.0, NOW + 5.0, is_retry)
    return Call(
        "id", ROUTE, "s", NOW, NOW + 5.0, False, Framing.LENGTH, 0, LINES, b"", root, "", True
    )


class Budget(RetryBudget):
    """A budget that pays for everything and counts what it is asked."""

    def __init__(self):
        super().__init__(RetryBound(1, 1, 1), lambda: NOW, None, lambda: FleetSize(1, 0.0))
        self.earned = self.charged = self.taken = 0

    def earn(self, service):
        self.earned += 1

    def charge(self, service):
        self.charged += 1

    def take(self, service):
        self.taken += 1
        return True


class Workers:
    """Workers that are asked in turn, each of which gives the next of some replies."""

    def __init__(self, *replies, saturated=False):
        self.replies = list(replies)
        self.nodes = [f"n{number}" for number in range(len(replies))]
        self.saturated = saturated
        self.requests = []
        self.waits = 0
        self.budget = Budget()

    def choose(self, service, tried, priority):
        left = [node for node in self.nodes if node not in tried]
        if not left:
            return None
        address = ("10.0.0.1", 80)
        return Destination(left[0], 1, 1, service, "z", address, "i", MemberState.LIVE, 4)

    def all_saturated(self, service, priority):
        return self.saturated

    def wait_for_update(self, seconds):
        self.waits += 1
        return False

    def run(self, address, attempt):
        self.requests.append(attempt.request)
        return self.replies.pop(0)

    def result(self, asked=None):
        parts = DispatcherParts(
            self,
            self,
            None,
            self,
            self.budget,
            SimpleNamespace(is_empty=True, learn=lambda *_: None),
            lambda *_: None,
            lambda *_: None,
        )
        runtime = SimpleNamespace(monotonic=lambda: NOW)
        self.progress = CallProgress(asked or call())
        return Dispatcher(runtime, parts, "own", "caller").run(self.progress)


def answer(status):
    return Reply(Outcome.ANSWERED, arrived=True, status=status)


def test_an_answer_is_passed_on_at_once():
    workers = Workers(answer(200), answer(404))
    assert workers.result().status == 200
    assert len(workers.requests) == 1


def test_an_answer_replaces_an_error_and_a_refusal():
    assert Workers(answer(500), answer(200)).result().status == 200
    assert Workers(refusal(Reason.QUEUE_FULL), answer(200)).result().status == 200


@pytest.mark.parametrize("later", [refusal(Reason.DRAINING), unknown(Reason.ANSWER_CUT)])
def test_an_error_is_kept_when_no_other_worker_answers(later):
    result = Workers(answer(500), later).result()
    assert (result.outcome, result.status) == (Outcome.ANSWERED, 500)


def test_a_refusal_after_an_attempt_that_may_have_run_is_of_unknown_outcome():
    result = Workers(unknown(Reason.ANSWER_CUT), refusal(Reason.DRAINING)).result()
    assert (result.outcome, result.reason) == (Outcome.UNKNOWN, Reason.DRAINING)


def test_without_a_worker_the_service_has_no_members():
    workers = Workers()
    result = workers.result()
    assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.NO_MEMBERS)
    assert result.retry_after_ms > 0
    assert workers.waits == 1


def test_where_all_are_saturated_nobody_is_waited_for():
    workers = Workers(saturated=True)
    result = workers.result()
    assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.QUEUE_FULL)
    assert workers.waits == 0


def test_the_second_worker_reached_knows_that_it_is_a_retry():
    workers = Workers(refusal(Reason.QUEUE_FULL), unknown(Reason.ANSWER_CUT), answer(200))
    workers.result()
    assert [request.is_retry for request in workers.requests] == [False, False, True]
    assert (workers.budget.earned, workers.budget.charged, workers.budget.taken) == (1, 0, 1)


def test_a_call_of_a_retried_run_is_charged_and_earns_nothing():
    workers = Workers(answer(500), answer(200))
    assert workers.result(call(is_retry=True)).status == 500
    assert workers.requests[0].is_retry
    assert (workers.budget.earned, workers.budget.charged, workers.budget.taken) == (0, 1, 0)


def test_a_crash_under_a_request_makes_its_retry_a_suspect():
    workers = Workers(unknown(Reason.WORKER_ENDED), answer(200))
    workers.result()
    assert [request.suspected for request in workers.requests] == [False, True]
