"""Immediate refusals, estimated queueing delay, concurrency limit and queue eviction."""

from __future__ import annotations

import pytest

from cranklane.node.admission import Admission
from cranklane.node.admission_rule import (
    OVERLOADED_AFTER_SECONDS,
    expected_wait,
    immediate_refusal,
    is_overloaded,
)
from cranklane.node.concurrency import SHED_FACTOR, ConcurrencyLimit
from cranklane.node.fair_queue import FairQueue, QueuedCall
from cranklane.node.recent_refusals import RECENT_REFUSAL_SECONDS, RecentRefusals
from cranklane.node.retry_after import (
    DRAINING_MS,
    MAX_QUEUE_MS,
    MIN_QUEUE_MS,
    after_queue,
    after_worker,
)
from cranklane.outcome import Criticality, Reason

REFUSALS = [
    # draining, remaining, wait, likely service time, reason
    (True, -1.0, 9.0, 1.0, Reason.DRAINING),
    (True, 9.0, None, 1.0, Reason.DRAINING),
    (False, 0.0, None, 1.0, Reason.DEADLINE_PASSED),
    (False, -1.0, 9.0, 1.0, Reason.DEADLINE_PASSED),
    (False, 0.5, None, 1.0, None),
    (False, 2.0, 1.1, 1.0, Reason.DEADLINE_TOO_NEAR),
    (False, 2.0, 1.0, 1.0, None),
]


@pytest.mark.parametrize(
    ("draining", "remaining", "wait", "likely_service_time", "reason"), REFUSALS
)
def test_immediate_refusal(draining, remaining, wait, likely_service_time, reason):
    assert immediate_refusal(draining, remaining, wait, likely_service_time) is reason


def test_expected_wait_depends_on_calls_ahead_and_slots():
    assert expected_wait(0, 0.1, 1) == pytest.approx(0.1)
    assert expected_wait(3, 0.1, 2) == pytest.approx(0.2)


def test_retry_after_of_the_queue_is_its_clamped_wait():
    assert after_queue(0.0) == MIN_QUEUE_MS
    assert after_queue(0.3) == 300
    assert after_queue(1e9) == MAX_QUEUE_MS


def test_retry_after_of_the_worker_is_its_service_time():
    assert after_worker(0.25) == 250


def test_draining_node_refuses_every_call():
    admission = Admission(lambda: 10.0, lambda _tenant: 1)
    admission.draining = True
    refusal = admission.admit("t", Criticality.CRITICAL, 99.0).err_value
    assert (refusal.reason, refusal.retry_after_ms) == (Reason.DRAINING, DRAINING_MS)
    assert admission.refused_below("t") == 0


def test_queue_is_overloaded_if_never_empty_for_too_long():
    assert not is_overloaded(10.0, 10.0 - OVERLOADED_AFTER_SECONDS / 2)
    assert is_overloaded(10.0, 10.0 - OVERLOADED_AFTER_SECONDS * 2)


def test_recent_refusal_expires():
    now = [10.0]
    recent = RecentRefusals(lambda: now[0])
    recent.record("t", Criticality.LOW)
    assert recent.refused_below("t") == Criticality.LOW + 1
    now[0] += RECENT_REFUSAL_SECONDS
    assert recent.refused_below("t") == 0


def test_free_slot_is_used_and_queued_call_with_near_deadline_refused():
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


def test_worker_refusals_lower_the_limit_to_at_least_one():
    limit = ConcurrencyLimit(10)
    limit.shed()
    assert limit.limit == int(10 * SHED_FACTOR)
    for _ in range(50):
        limit.shed()
    assert limit.limit == 1
    for _ in range(100):
        limit.finished(0.01)
    assert limit.limit == 10


def test_changed_slots_reset_the_limit():
    limit = ConcurrencyLimit(8)
    limit.shed()
    limit.set_slots(4)
    assert limit.limit == 4
    limit.set_slots(12)
    assert limit.limit == 12


def queued_call(tenant, criticality=Criticality.NORMAL):
    return QueuedCall(tenant, criticality, 99.0, 0.0, lambda _reason: None)


def test_eviction_takes_the_least_critical_call_of_the_heaviest_tenant():
    queue = FairQueue(lambda _tenant: 1)
    low = queued_call("busy", Criticality.LOW)
    for call in (queued_call("busy"), low, queued_call("busy"), queued_call("quiet")):
        queue.add(call)
    assert queue.victim(queued_call("quiet"), {}) is low


def test_eviction_within_a_tenant_needs_a_lower_criticality():
    queue = FairQueue(lambda _tenant: 1)
    low = queued_call("t", Criticality.LOW)
    queue.add(low)
    assert queue.victim(queued_call("t", Criticality.LOW), {}) is None
    assert queue.victim(queued_call("t", Criticality.NORMAL), {}) is low


def test_next_slot_goes_to_the_tenant_with_fewest_slots_for_its_share():
    queue = FairQueue(lambda tenant: 3 if tenant == "large" else 1)
    large, small = queued_call("large"), queued_call("small")
    queue.add(small)
    queue.add(large)
    assert queue.take({"large": 2, "small": 1}, newest_first=False) is large
