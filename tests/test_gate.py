"""Gate refusals by worker state, and the effects of a worker crash on its requests."""

import pytest

from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.admission.crash_evidence import CrashEvidence
from cranklane.sidecar.admission.gate import unavailable_reason
from cranklane.sidecar.quarantine.entry import crash_id
from cranklane.sidecar.quarantine.rules import QuarantineState
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.worker.exit import InterruptedRun, WorkerExit, identity_of_request
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.registry import WorkerState


@pytest.mark.parametrize(
    ("serves", "state", "reason"),
    [
        (True, WorkerState.READY, Reason.NONE),
        (True, WorkerState.DRAINING, Reason.DRAINING),
        (True, WorkerState.GONE, Reason.DRAINING),
        (True, WorkerState.UNKNOWN, Reason.WORKER_UNREACHABLE),
        (True, WorkerState.UNREACHABLE, Reason.WORKER_UNREACHABLE),
        (True, WorkerState.LOST, Reason.WORKER_UNREACHABLE),
        *[(False, state, Reason.NO_MEMBERS) for state in WorkerState],
    ],
)
def test_unavailable_reason_by_worker_state(serves, state, reason):
    assert unavailable_reason(serves, state) is reason


class StubWorker:
    service = "s"

    def __init__(self, state):
        self.state = state


REQUEST = ForwardRequest(service="s", lines=b"GET /a HTTP/1.1\r\n")
IDENTITY = identity_of_request(REQUEST)


def make_evidence(state):
    table = Quarantine(lambda: 100.0, lambda _entries: None)
    return table, CrashEvidence(StubWorker(state), table, lambda _exit: None)


def interrupted_run(level):
    return InterruptedRun("a", IDENTITY, 0.1, level)


def test_a_planned_exit_is_no_evidence():
    table, crashes = make_evidence(WorkerState.DRAINING)
    crashes.worker_exited(WorkerExit(WorkerInstance("one"), True, (interrupted_run(0),)))
    assert table.is_empty
    reply = crashes.reply_after_exit(REQUEST)
    assert (reply.outcome, reply.reason) == (Outcome.UNKNOWN, Reason.WORKER_LEFT)


def test_a_crash_raises_suspicion_and_a_response_clears_it():
    table, crashes = make_evidence(WorkerState.READY)
    crashes.worker_exited(WorkerExit(WorkerInstance("one"), False, (interrupted_run(0),)))
    assert table.state(IDENTITY) is QuarantineState.SUSPECTED
    reply = crashes.reply_after_exit(REQUEST)
    assert (reply.reason, reply.retry_after_ms) == (Reason.WORKER_ENDED, 0)
    crashes.answered(REQUEST)
    assert table.is_empty


def test_reply_after_a_crash_carries_the_remaining_quarantine():
    table, crashes = make_evidence(WorkerState.READY)
    table.worker_crashed("s", crash_id("one"), {IDENTITY: 0})
    crashes.worker_exited(WorkerExit(WorkerInstance("two"), False, (interrupted_run(1),)))
    assert table.state(IDENTITY) is QuarantineState.QUARANTINED
    assert crashes.reply_after_exit(REQUEST).retry_after_ms == 5001


def test_lowest_suspicion_level_of_concurrent_copies_counts():
    table, crashes = make_evidence(WorkerState.READY)
    table.worker_crashed("s", crash_id("one"), {IDENTITY: 0})
    crashes.worker_exited(
        WorkerExit(WorkerInstance("two"), False, (interrupted_run(0), interrupted_run(1)))
    )
    assert table.state(IDENTITY) is QuarantineState.SUSPECTED
