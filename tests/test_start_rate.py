"""Starts per second at a worker with a limit, and the turns of its callers."""

from __future__ import annotations

import gevent
import pytest

from cranklane.outcome import Reason
from cranklane.sidecar.admission.caller_turns import MAX_PAUSE_SECONDS, CallerTurns
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.admission.start_rate import BURST_SECONDS, StartRate
from cranklane_lab.simulation.loop import run_virtual


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def starts_of(rate, clock, seconds, step=0.01):
    """Return how many starts are taken at once whenever there is one."""
    taken = 0
    for _ in range(int(seconds / step)):
        clock.now += step
        while rate.take():
            taken += 1
    return taken


@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 3.9, 40.0])
def test_starts_in_four_seconds_stay_within_the_limit_and_a_small_burst(limit):
    clock = Clock()
    rate = StartRate(clock)
    rate.set(limit)
    clock.now += 1000.0
    assert starts_of(rate, clock, 4.0) <= 1.5 * 4.0 * limit + 5


def test_a_pause_is_followed_by_a_bounded_burst():
    clock = Clock()
    rate = StartRate(clock)
    rate.set(10.0)
    clock.now += 1000.0
    taken = 0
    while rate.take():
        taken += 1
    assert taken == 10.0 * BURST_SECONDS


def test_a_first_limit_has_no_start_kept_and_a_lowered_one_keeps_few():
    clock = Clock()
    rate = StartRate(clock)
    rate.set(4.0)
    assert not rate.take()
    clock.now += 1000.0
    rate.set(1.0)
    assert (rate.take(), rate.take()) == (True, False)


@pytest.mark.parametrize("rate_per_second", [0.7, 3.9, 12.3, 41.7])
def test_a_start_is_available_after_the_wait_for_it_at_any_time_of_the_clock(rate_per_second):
    clock = Clock()
    rate = StartRate(clock)
    for uptime in (1.0, 1e4 / 3, 1e7 / 7):
        clock.now = uptime
        rate.set(None)
        rate.set(rate_per_second)
        for _ in range(200):
            clock.now += rate.seconds_to(1)
            assert rate.take()


def test_starts_are_unlimited_without_a_limit():
    rate = StartRate(Clock())
    rate.set(1.0)
    rate.set(None)
    assert all(rate.take() for _ in range(1000))
    assert rate.seconds_to(1000) == 0.0


def test_turns_are_spaced_by_the_limit_and_bounded():
    clock = Clock()
    turns = CallerTurns(clock)
    assert [turns.next_pause_ms(10.0) for _ in range(4)] == [100, 200, 300, 400]
    for _ in range(100):
        assert turns.next_pause_ms(10.0) <= MAX_PAUSE_SECONDS * 1000
    clock.now += 10.0
    assert turns.next_pause_ms(10.0) == 100


def run_limited(script, rate, limit=10):
    def run(loop):
        slots = Slots(loop.now)
        slots.resize(limit)
        slots.limit_starts(rate)
        return script(slots, loop)

    return run_virtual(run)


def test_waiting_requests_start_at_the_limit_in_order_of_priority():
    def script(slots, loop):
        gevent.sleep(0.1)
        started = []

        def request(priority):
            if slots.acquire(priority, 5.0, lambda _waiter: None) is Reason.NONE:
                started.append((priority, round(loop.now(), 2)))
                slots.release(0.0)

        tasks = []
        for priority in (2, 2, 0, 1):
            tasks.append(gevent.spawn(request, priority))
            gevent.sleep(0)
        gevent.joinall(tasks)
        first = started[0][1]
        return [(priority, round(at - first, 2)) for priority, at in started]

    assert run_limited(script, 4.0) == [(0, 0.0), (1, 0.25), (2, 0.5), (2, 0.75)]


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    def script(slots, loop):
        began_at = loop.now()
        reason = slots.acquire(0, 0.5, lambda _waiter: None)
        return reason, loop.now() - began_at

    assert run_limited(script, 1.0) == (Reason.WORKER_LIMIT, 0.0)


def test_requests_waiting_for_a_start_go_on_when_the_limit_ends():
    def script(slots, loop):
        task = gevent.spawn(slots.acquire, 0, 3.0, lambda _waiter: None)
        gevent.sleep(0.1)
        slots.limit_starts(None)
        began_at = loop.now()
        return task.get(), loop.now() - began_at

    assert run_limited(script, 0.5) == (Reason.NONE, 0.0)


def test_a_raised_limit_starts_a_waiting_request_at_the_new_rate():
    def script(slots, loop):
        task = gevent.spawn(slots.acquire, 0, 3.0, lambda _waiter: None)
        gevent.sleep(0.1)
        slots.limit_starts(50.0)
        began_at = loop.now()
        return task.get(), loop.now() - began_at <= 0.02

    assert run_limited(script, 0.5) == (Reason.NONE, True)


def test_a_waiter_that_has_given_up_uses_no_start():
    def script(slots, loop):
        waiters = []
        tasks = [gevent.spawn(slots.acquire, 0, 3.0, waiters.append) for _ in range(2)]
        gevent.sleep(0.1)
        waiters[0].refuse(Reason.CANCELLED)
        began_at = loop.now()
        reasons = [task.get() for task in tasks]
        return reasons, round(loop.now() - began_at, 1)

    assert run_limited(script, 1.0) == ([Reason.CANCELLED, Reason.NONE], 0.9)
