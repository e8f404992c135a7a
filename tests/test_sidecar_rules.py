"""Decision rules of a sidecar: worker state, ingress, planned stop and results of requests."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cranklane.common.http1.header_block import HeaderBlock
from cranklane.common.http1.message import (
    Framing,
    HeadTooLargeError,
    MalformedMessageError,
    RequestHead,
    TruncatedMessageError,
)
from cranklane.outcome import Outcome, Reason
from cranklane.routes.table import Limits, Route, RouteTable, Share
from cranklane.sidecar.ingress.caller_request import (
    UnreadableRequestError,
    read_body,
    read_head,
)
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.stop_schedule import StopTimes, stop_times
from cranklane.sidecar.telemetry.request_summary import Cause, End, cause_of, end_of
from cranklane.sidecar.worker.condition import HEALTHY, Condition, should_report
from cranklane.sidecar.worker.fault_ratio import FaultRatio
from cranklane.sidecar.worker.instances import InstanceHistory, WorkerInstance
from cranklane.sidecar.worker.pool import WorkerPool
from cranklane.sidecar.worker.slowness import ExpectedLatencies, Slowness
from cranklane.sidecar.worker.worker_state import (
    WorkerState,
    is_lost,
    usable_slots,
    was_suspended,
)


@pytest.mark.parametrize(
    ("reported", "age", "current", "expected"),
    [
        (HEALTHY, 1.0, Condition(0.16, 1.0), True),
        (HEALTHY, 1.0, Condition(0.14, 1.0), False),
        (HEALTHY, 1.0, Condition(0.0, 3.1), True),
        (HEALTHY, 1.0, Condition(0.0, 2.9), False),
        # The decayed report is close to the current condition.
        (Condition(0.8, 1.0), 3.0, Condition(0.4, 1.0), False),
        (Condition(0.8, 1.0), 3.0, Condition(0.8, 1.0), True),
        # A recovery is reported once the decayed report counts as healthy as well.
        (Condition(0.2, 1.0), 3.0, HEALTHY, False),
        (Condition(0.2, 1.0), 7.0, HEALTHY, True),
        (HEALTHY, 7.0, HEALTHY, False),
    ],
)
def test_a_condition_is_reported_when_it_differs_from_the_decayed_report(
    reported, age, current, expected
):
    assert should_report(reported, age, current) is expected


def test_a_fault_ratio_follows_the_last_runs_and_decays():
    ratio = FaultRatio()
    for _ in range(50):
        ratio.sample(10.0, True)
    assert ratio.at(10.0) == pytest.approx(1.0, abs=0.01)
    assert ratio.at(13.0) == pytest.approx(0.5, abs=0.01)
    ratio.sample(10.0, False)
    assert ratio.at(10.0) == pytest.approx(0.9, abs=0.01)


def test_slowness_is_capped_and_decays():
    slowness = Slowness()
    for _ in range(50):
        slowness.sample(10.0, 100.0)
    assert slowness.at(10.0) == pytest.approx(16.0, abs=0.1)
    assert slowness.at(16.0) == pytest.approx(8.5, abs=0.1)


def test_the_expected_latency_rises_more_slowly_than_it_falls():
    latencies = ExpectedLatencies()
    key = ("r", "s")
    latencies.ratio(key, 0.1)
    latencies.ratio(key, 1.1)
    assert latencies.of(key) == pytest.approx(0.15)
    latencies.ratio(key, 0.05)
    assert latencies.of(key) == pytest.approx(0.14)


@pytest.mark.parametrize(
    ("state", "silent", "lost"),
    [
        (WorkerState.READY, 5.3, True),
        (WorkerState.READY, 5.2, False),
        (WorkerState.UNREACHABLE, 5.3, True),
        (WorkerState.DRAINING, 60.0, False),
        (WorkerState.GONE, 60.0, False),
        (WorkerState.UNKNOWN, 60.0, False),
        (WorkerState.LOST, 60.0, False),
    ],
)
def test_a_worker_in_use_is_lost_after_three_and_a_half_heartbeats(state, silent, lost):
    assert is_lost(state, silent, heartbeat_seconds=1.5) is lost


@pytest.mark.parametrize(("seconds", "suspended"), [(1.5, False), (3.0, False), (3.1, True)])
def test_a_late_check_means_that_the_machine_was_suspended(seconds, suspended):
    assert was_suspended(seconds, heartbeat_seconds=1.5) is suspended


@pytest.mark.parametrize(("slots", "usable"), [(1, 1), (9, 9), (10, 9), (20, 19), (100, 95)])
def test_a_larger_worker_keeps_some_slots_free(slots, usable):
    assert usable_slots(slots) == usable


A, B = WorkerInstance("a"), WorkerInstance("b")


def test_a_forgotten_instance_counts_as_new():
    history = InstanceHistory()
    assert history.advance(A, 5)
    assert history.advance(B, 1)
    assert history.is_older(A, B)
    assert not history.advance(A, 5)
    history.forget_sequences("a")
    assert history.advance(A, 5)
    assert not history.is_older(A, B)


def test_the_last_64_planned_exits_are_remembered():
    history = InstanceHistory()
    history.record_planned_exit(WorkerInstance("gone"))
    for number in range(63):
        history.record_planned_exit(WorkerInstance(str(number)))
    assert history.has_planned_exit(WorkerInstance("gone"))
    history.record_planned_exit(WorkerInstance("one more"))
    assert not history.has_planned_exit(WorkerInstance("gone"))


@pytest.mark.parametrize(
    ("idle_seconds", "always_check", "closed", "reused"),
    [
        (0.2, False, True, True),
        (0.2, True, True, False),
        (0.2, True, False, True),
        (0.4, False, True, False),
        (0.4, False, False, True),
        (4.1, False, False, False),
    ],
)
def test_an_idle_connection_is_reused_unless_it_may_be_closed(
    idle_seconds, always_check, closed, reused
):
    now = [100.0]
    runtime = SimpleNamespace(
        monotonic=lambda: now[0],
        has_input=lambda stream: closed,
        connect=lambda address, seconds: SimpleNamespace(close=lambda: None),
    )
    pool = WorkerPool(runtime, ("worker", 1))
    connection = pool.take(always_check=False)
    pool.give_back(connection)
    now[0] += idle_seconds
    assert (pool.take(always_check) is connection) is reused


def fake_connection(**fields):
    """Return a fake caller connection whose named steps raise the given errors."""

    def step(name):
        def act(*_arguments):
            error = fields.get(name)
            if error is not None:
                raise error

        return act

    return SimpleNamespace(
        next_head=step("head"),
        read_body=step("body"),
        send=fields.get("send", step("send")),
        stream=SimpleNamespace(settimeout=lambda _seconds: None),
        reader=SimpleNamespace(started=fields.get("started", False)),
    )


@pytest.mark.parametrize(
    ("error", "started", "status"),
    [
        (HeadTooLargeError(), True, 431),
        (MalformedMessageError(), True, 400),
        (TimeoutError(), True, 408),
    ],
)
def test_a_head_that_cannot_be_read_is_answered(error, started, status):
    with pytest.raises(UnreadableRequestError) as raised:
        read_head(fake_connection(head=error, started=started), Limits())
    assert raised.value.status == status


@pytest.mark.parametrize("error", [TimeoutError(), TruncatedMessageError(), None])
def test_a_caller_that_sent_no_request_gets_no_answer(error):
    assert read_head(fake_connection(head=error), Limits()) is None


def head_of(framing=Framing.LENGTH, length=0, **headers):
    lines = [(name.encode(), value) for name, value in headers.items()]
    return RequestHead(b"POST", b"/", HeaderBlock.of(lines), framing, length, True)


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (HeadTooLargeError(), 413),
        (MalformedMessageError(), 400),
        (TimeoutError(), 408),
        (TruncatedMessageError(), None),
    ],
)
def test_a_body_that_cannot_be_read_is_answered_unless_its_caller_disconnected(error, status):
    with pytest.raises(UnreadableRequestError) as raised:
        read_body(fake_connection(body=error), head_of(), Limits())
    assert raised.value.status == status


def test_no_continue_is_sent_for_a_body_announced_as_too_large():
    sent = []
    connection = fake_connection(send=sent.append)
    expecting = {"Expect": b"100-Continue"}
    allowed = Limits().max_body_bytes
    read_body(connection, head_of(length=allowed, **expecting), Limits())
    assert sent == [b"HTTP/1.1 100 Continue\r\n\r\n"]
    with pytest.raises(UnreadableRequestError) as raised:
        read_body(connection, head_of(length=allowed + 1, **expecting), Limits())
    assert raised.value.status == 413
    assert len(sent) == 1


@pytest.mark.parametrize(
    ("stop_seconds", "times"),
    [
        (20.0, StopTimes(2.2, 103.0, 110.0, 119.7)),
        (6.0, StopTimes(2.2, 103.0, 103.0, 105.7)),
        (4.4, StopTimes(2.2, 102.2, 102.2, 104.1)),
        (2.0, StopTimes(1.0, 101.0, 101.0, 101.7)),
        (0.0, StopTimes(0.0, 100.0, 100.0, 100.0)),
    ],
)
def test_a_short_stop_gives_callers_half_of_its_time(stop_seconds, times):
    assert stop_times(100.0, stop_seconds) == pytest.approx(times)


def decision_of(outcome, reason=Reason.NONE, status=200, seconds=0.1, failure=None):
    return Decision(
        "id",
        "route",
        "service",
        outcome,
        reason,
        status,
        1,
        0,
        seconds,
        5.0,
        0.5,
        0,
        0,
        1,
        True,
        failure,
        SlotWork(),
    )


@pytest.mark.parametrize(
    ("decision", "end", "cause"),
    [
        (decision_of(Outcome.ANSWERED), End.IN_TIME, Cause()),
        (decision_of(Outcome.ANSWERED, status=404), End.IN_TIME, Cause()),
        (decision_of(Outcome.ANSWERED, seconds=0.6), End.LATE, Cause()),
        (decision_of(Outcome.ANSWERED, status=500), End.FAILED, Cause("service", "run_failed")),
        (
            decision_of(
                Outcome.ANSWERED, status=500, failure=CallFailure("deep", Reason.QUEUE_FULL)
            ),
            End.FAILED,
            Cause("deep", "queue_full"),
        ),
        (
            decision_of(Outcome.NOT_RUN, Reason.QUEUE_FULL, 503),
            End.REFUSED,
            Cause("service", "queue_full"),
        ),
        (
            decision_of(Outcome.UNKNOWN, Reason.WORKER_FAILED, 502),
            End.FAILED,
            Cause("service", "worker_failed"),
        ),
        (decision_of(Outcome.UNKNOWN, Reason.CANCELLED, 502), End.DISCONNECTED, Cause()),
        (decision_of(Outcome.ANSWERED, status=0), End.DISCONNECTED, Cause()),
    ],
)
def test_end_and_cause_of_requests(decision, end, cause):
    assert end_of(decision) is end
    assert cause_of(decision, end) == cause


class CountingRoutes(dict):
    """Routes by prefix that count the lookups."""

    lookups = 0

    def get(self, *arguments):
        self.lookups += 1
        return super().get(*arguments)


def test_the_search_for_a_route_does_not_grow_with_the_path():
    """Guards against a target of thousands of parts that takes as long as many requests."""
    share = (Share("s", 1),)
    routes = [Route(p, "h", p, True, 1000, 100, 0, 1, share) for p in ("/a/", "/a/b/c/")]
    table = RouteTable(1, tuple(routes))
    counting = table._by_host["h"] = CountingRoutes(table._by_host["h"])
    assert table.find("h", "/a/b/c/" + "x/" * 8000).name == "/a/b/c/"
    assert table.find("h", "/a/" + "x/" * 8000).name == "/a/"
    assert table.find("h", "/a") is None
    assert counting.lookups < 10
