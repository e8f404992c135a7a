"""Classification of run outcomes: worker fault, downstream starvation, latency samples."""

import pytest

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.admission import run_outcome
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call_tree import CallFailure, Root, Run

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN
NONE = Reason.NONE


def run(starved=False, call_failed=False, calls_in_flight=0):
    failure = CallFailure("below", Reason.QUEUE_FULL) if call_failed else None
    return Run(Root(0, 0.0, 1.0, 2.0), starved, calls_in_flight, failure)


@pytest.mark.parametrize(
    ("outcome", "reason", "status", "failed", "measures"),
    [
        (ANSWERED, NONE, 200, False, True),
        (ANSWERED, NONE, 404, False, True),
        (ANSWERED, NONE, 500, True, False),
        (ANSWERED, NONE, 504, True, False),
        (UNKNOWN, Reason.DEADLINE_PASSED, 0, True, True),
        (UNKNOWN, Reason.WORKER_ENDED, 0, True, False),
        (NOT_RUN, Reason.WORKER_SHED, 0, True, False),
    ],
)
def test_failures_and_latency_samples(outcome, reason, status, failed, measures):
    reply = Reply(outcome, reason, status=status)
    assert run_outcome.has_failed(reply) is failed
    assert run_outcome.measures_latency(reply) is measures


@pytest.mark.parametrize(
    ("reply", "ended", "worker_fault", "starved"),
    [
        (Reply(ANSWERED, status=200), run(), False, False),
        (Reply(ANSWERED, status=500), run(), True, False),
        (Reply(ANSWERED, status=500), run(call_failed=True), False, False),
        (Reply(ANSWERED, status=500), run(call_failed=True, starved=True), False, True),
        (Reply(ANSWERED, status=504), run(), True, True),
        (Reply(ANSWERED, status=504), run(calls_in_flight=1), False, True),
        (Reply(ANSWERED, status=503), run(), False, False),
        (Reply(UNKNOWN, Reason.DEADLINE_PASSED), run(), True, True),
        (Reply(UNKNOWN, Reason.DEADLINE_PASSED), run(calls_in_flight=2), False, True),
        (Reply(UNKNOWN, Reason.WORKER_FAILED), run(call_failed=True), True, False),
        (Reply(UNKNOWN, Reason.WORKER_ENDED), run(), True, False),
        (Reply(UNKNOWN, Reason.WORKER_LEFT), run(), True, False),
        (Reply(UNKNOWN, Reason.ANSWER_CUT), run(), True, False),
        (Reply(NOT_RUN, Reason.WORKER_SHED), run(), True, False),
        (Reply(NOT_RUN, Reason.WORKER_UNREACHABLE), run(), False, False),
    ],
)
def test_worker_fault_and_downstream_starvation(reply, ended, worker_fault, starved):
    assert run_outcome.is_worker_fault(ended, reply) is worker_fault
    assert run_outcome.is_downstream_starved(ended, reply) is starved


@pytest.mark.parametrize(
    ("status", "correlates", "may_be"),
    [(500, False, True), (500, True, False), (504, False, False), (200, False, False)],
)
def test_any_500_may_be_starved_without_correlation(status, correlates, may_be):
    assert run_outcome.may_be_starved(Reply(ANSWERED, status=status), correlates) is may_be
