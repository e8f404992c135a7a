"""What a node refuses at once, how long a call would wait, and who gives way in the queue."""

from __future__ import annotations

import pytest

from cranklane.node.admission import Admission
from cranklane.node.admission_rule import (
    OVERLOADED_AFTER_SECONDS,
    expected_wait,
    is_overloaded,
    refusal_at_once,
)
from cranklane.node.concurrency import SHED_FACTOR, ConcurrencyLimit
from cranklane.node.fair_queue import FairQueue, Waiting
from cranklane.node.refusal_memory import MEMORY_SECONDS, RefusalMemory
from cranklane.node.retry_after import (
    DRAINING_MS,
    MAX_QUEUE_MS,
    MIN_QUEUE_MS,
    after_queue,
    after_worker,
)
from cranklane.outcome import Criticality, Reason

REFUSALS = [
    # draining, remaining, wait, likely time, reason
    (True, -1.0, 9.0, 1.0, Reason.DRAINING),
    (True, 9.0, None, 1.0, Reason.DRAINING),
    (False, 0.0, None, 1.0, Reason.DEADLINE_PASSED),
    (False, -1.0, 9.0, 1.0, Reason.DEADLINE_PASSED),
    (False, 0.5, None, 1.0, None),
    (False, 2.0, 1.1, 1.0, Reason.DEADLINE_TOO_NEAR),
    (False, 2.0, 1.0, 1.0, None),
]


@pytest.mark.parametrize(("draining", "remaining", "wait", "likely", "reason"), REFUSALS)
def test_refusals_at_once(draining, remaining, wait, likely, reason):
    assert refusal_at_once(draining, remaining, wait, likely) is reason


def test_the_wait_grows_with_the_calls_ahead_and_falls_with_the_slots():
    assert expected_wait(0, 0.1, 1) == pytest.approx(0.1)
    assert expected_wait(3, 0.1, 2) == pytest.approx(0.2)


def test_retry_after_is_the_wait_within_bounds():
    assert after_queue(0.0) == MIN_QUEUE_MS
    assert after_queue(0.3) == 300
    assert after_queue(1e9) == MAX_QUEUE_MS


def test_a_call_the_worker_refused_is_retried_after_a_service_time():
    assert after_worker(0.25) == 250


def test_a_draining_node_refuses_whatever_the_deadline():
    admission = Admission(lambda: 10.0, lambda _tenant: 1)
    admission.draining = True
    refusal = admission.admit("t", Criticality.CRITICAL, 99.0).err_value
    assert (refusal.reason, refusal.retry_after_ms) == (Reason.DRAINING, DRAINING_MS)
    assert admission.refused_below("t") == 0


def test_overloaded_after_a_while_without_an_empty_queue():
    assert not is_overloaded(10.0, 10.0 - OVERLOADED_AFTER_SECONDS / 2)
    assert is_overloaded(10.0, 10.0 - OVERLOADED_AFTER_SECONDS * 2)


def test_a_refusal_is_forgotten():
    now = [10.0]
    memory = RefusalMemory(lambda: now[0])
    memory.refused("t", Criticality.LOW)
    assert memory.refused_below("t") == Criticality.LOW + 1
    now[0] += MEMORY_SECONDS
    assert memory.refused_below("t") == 0


def test_a_free_slot_is_taken_at_once_and_a_late_call_refused():
    admission = Admission(lambda: 10.0, lambda _tenant: 1)
    admission.configure(1, 4)
    slot = admission.admit("t", Criticality.NORMAL, 10.001).ok_value
    assert admission.in_flight == 1
    late = admission.admit("t", Criticality.NORMAL, 10.001).err_value
    assert late.reason is Reason.DEADLINE_TOO_NEAR
    assert late.retry_after_ms == MIN_QUEUE_MS
    assert admission.refused_below("t") == Criticality.NORMAL + 1
    admission.release(slot, ran=True)
    assert admission.in_flight == 0


def test_the_limit_falls_with_each_refusal_and_never_below_one():
    limit = ConcurrencyLimit(10)
    limit.shed()
    assert limit.limit == int(10 * SHED_FACTOR)
    for _ in range(50):
        limit.shed()
    assert limit.limit == 1
    for _ in range(100):
        limit.finished(0.01)
    assert limit.limit == 10


def test_new_slots_are_in_force_at_once():
    limit = ConcurrencyLimit(8)
    limit.shed()
    limit.set_slots(4)
    assert limit.limit == 4
    limit.set_slots(12)
    assert limit.limit == 12


def waiting(tenant, criticality=Criticality.NORMAL):
    return Waiting(tenant, criticality, 99.0, 0.0, lambda _reason: None)


def test_the_heaviest_tenant_gives_way_first_with_its_least_critical_call():
    queue = FairQueue(lambda _tenant: 1)
    low = waiting("busy", Criticality.LOW)
    for call in (waiting("busy"), low, waiting("busy"), waiting("quiet")):
        queue.add(call)
    assert queue.victim(waiting("quiet"), {}) is low


def test_within_a_tenant_only_a_lower_criticality_gives_way():
    queue = FairQueue(lambda _tenant: 1)
    low = waiting("t", Criticality.LOW)
    queue.add(low)
    assert queue.victim(waiting("t", Criticality.LOW), {}) is None
    assert queue.victim(waiting("t", Criticality.NORMAL), {}) is low


def test_a_tenant_with_fewer_slots_for_its_share_goes_first():
    queue = FairQueue(lambda tenant: 3 if tenant == "large" else 1)
    large, small = waiting("large"), waiting("small")
    queue.add(small)
    queue.add(large)
    assert queue.take({"large": 2, "small": 1}, newest_first=False) is large
