"""Calls that a stopping node makes end before its process does; others have not run."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cranklane.common.planned_stop import RESTART_SECONDS, PlannedStop
from cranklane.node.allowance import Allowance
from cranklane.node.answer import Answer, Request
from cranklane.node.context import CallContext
from cranklane.node.outbound import Outbound, run_key
from cranklane.outcome import Criticality, Outcome, Reason, Repeat

NOW = 100.0
ENDS_AT = NOW + 2.0
CALLER = "t.front"
ROUTE = SimpleNamespace(
    name="r", repeat=Repeat.REPEATABLE, criticality_for=lambda criticality: criticality
)
SERVICE = SimpleNamespace(
    tenant="t",
    name="back",
    full_name="t.back",
    retry_ratio=1.0,
    callers={CALLER},
    route=lambda _method, _path: ROUTE,
)
ANSWERED = Answer(Outcome.ANSWERED, status=200)
LOST = Answer(Outcome.UNKNOWN, Reason.PEER_LOST)


class StoppingNode:
    """An outbound client of a stopping node, with scripted answers of workers."""

    def __init__(self, *answers, attempt_seconds=0.0):
        self.now = NOW
        self.answers = list(answers)
        self.attempt_seconds = attempt_seconds
        self.attempts = 0
        stop = PlannedStop(lambda: self.now)
        stop.begin(ENDS_AT)
        configuration = SimpleNamespace(
            service=lambda _tenant, name: SERVICE if name == "back" else None
        )
        ignore = SimpleNamespace(call=lambda *_: None, attempt=lambda *_: None)
        members = SimpleNamespace(of=lambda *_: [])
        runtime = SimpleNamespace(monotonic=lambda: self.now, random=None)
        self.outbound = Outbound(
            runtime, configuration, members, SimpleNamespace(attempt=self.attempt), ignore, stop
        )
        self.outbound._early_refusal = SimpleNamespace(refuses=lambda *_: False)

    def attempt(self, call):
        self.attempts += 1
        self.now += self.attempt_seconds
        return self.answers.pop(0)

    def call(self, deadline_seconds):
        context = CallContext(
            root=1,
            tenant="t",
            criticality=Criticality.NORMAL,
            deadline=NOW + deadline_seconds,
            allowance=Allowance(3),
        )
        return self.outbound.call(context, Request("t", "back", CALLER, "GET", "/x"))


def test_a_call_that_may_outlast_the_process_is_refused_before_it_is_sent_on():
    """Guards against child calls that a stopping node accepts and its end cuts."""
    node = StoppingNode(ANSWERED)
    answer = node.call(5.0)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, Reason.STOPPING)
    assert answer.retry_after_ms == (2.0 + RESTART_SECONDS) * 1000
    assert node.attempts == 0


@pytest.mark.parametrize(("deadline_seconds", "learnt"), [(1.5, None), (5.0, 0.5)])
def test_a_call_that_fits_is_made(deadline_seconds, learnt):
    """Guards against a stopping node that refuses calls which it has the time to finish."""
    node = StoppingNode(ANSWERED)
    if learnt is not None:
        node.outbound.run_times.record(run_key(SERVICE, ROUTE), learnt)
    assert node.call(deadline_seconds).outcome is Outcome.ANSWERED


def test_no_retry_begins_that_the_end_of_the_process_would_cut():
    """Guards against a second attempt begun late in a stop."""
    node = StoppingNode(LOST, ANSWERED, attempt_seconds=1.6)
    node.outbound.run_times.record(run_key(SERVICE, ROUTE), 0.5)
    assert node.call(5.0).outcome is Outcome.UNKNOWN
    assert node.attempts == 1
