"""The admitted fraction of a route adapts to failed runs, lowest priority first."""

import pytest

from cranklane.sidecar.admission import outcome_limiter
from cranklane.sidecar.admission.outcome_limiter import MIN_FRACTION, OutcomeLimiter

CALLERS = ("a", "b", "c")


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def send_requests(limiter, clock, seconds, fails, priority, rate=100, callers=CALLERS):
    """Send requests of a route named after its priority; return the admitted fraction."""
    admitted = 0
    count = int(seconds * rate)
    route = str(priority)
    for number in range(count):
        clock.now += 1 / rate
        if limiter.admits(route, priority, callers[number % len(callers)]):
            admitted += 1
            limiter.ended(route, limiter.began(route), fails())
    return admitted / count


def test_successful_runs_keep_full_admission():
    clock = Clock()
    assert send_requests(OutcomeLimiter(clock), clock, 5, lambda: False, 2) == 1.0


def test_isolated_failures_do_not_lower_the_fraction():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    failures = iter(([True] + [False] * 39) * 100)
    assert send_requests(limiter, clock, 20, lambda: next(failures), 2) == 1.0


def test_fraction_falls_to_its_minimum_and_recovers():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    send_requests(limiter, clock, 30, lambda: True, 2)
    assert limiter.fraction("2") == MIN_FRACTION
    send_requests(limiter, clock, 60, lambda: False, 2)
    assert limiter.fraction("2") == 1.0


def test_lower_priorities_are_limited_first():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    failures = iter([True, False, False, False, False] * 1000)
    for priority in (0, 1, 2):
        send_requests(limiter, clock, 3, lambda: next(failures), priority)
    assert limiter.fraction("0") == limiter.fraction("1") == 1.0
    assert limiter.fraction("2") < 0.7


def test_routes_called_by_workers_are_exempt():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    send_requests(limiter, clock, 1, lambda: False, 2, callers=("a",))
    assert send_requests(limiter, clock, 20, lambda: True, 2, callers=("a",)) == 1.0


def test_runs_begun_before_a_decrease_are_ignored():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    for caller in CALLERS:
        limiter.admits("2", 2, caller)
    start_rounds = [limiter.began("2") for _ in range(50)]
    clock.now = 0.5
    for start_round in start_rounds:
        limiter.ended("2", start_round, True)
    assert 0.3 < limiter.fraction("2") < 0.5


def test_fast_recovery_after_a_short_fault():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    send_requests(limiter, clock, 2, lambda: True, 2)
    assert limiter.fraction("2") < 0.2
    send_requests(limiter, clock, 3, lambda: False, 2)
    assert limiter.fraction("2") > 0.7


def test_sustained_shortage_causes_few_failed_runs():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    capacity = 0.5
    count = {"runs": 0, "failed": 0}

    def fails():
        # Requests admitted beyond the capacity fail.
        failed = (count["runs"] * 7919 % 100) / 100 >= capacity / max(
            capacity, limiter.fraction("2")
        )
        count["runs"] += 1
        count["failed"] += failed
        return failed

    send_requests(limiter, clock, 10, fails, 2)
    count["runs"] = count["failed"] = 0
    admitted = send_requests(limiter, clock, 60, fails, 2)
    assert admitted * (1 - count["failed"] / count["runs"]) > 0.42
    assert count["failed"] / count["runs"] < 0.12


# Functions that compute the fraction and its ceiling.


@pytest.mark.parametrize(
    ("fraction", "failed_fraction", "expected"),
    [(1.0, 1.0, 0.4), (1.0, 0.1, 0.94), (0.5, 0.5, 0.35), (0.1, 1.0, 0.05), (0.05, 1.0, 0.05)],
)
def test_decrease_is_proportional_to_failures(fraction, failed_fraction, expected):
    assert outcome_limiter.decreased(fraction, failed_fraction) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("fraction", "ceiling", "seconds", "expected"),
    [
        (0.1, 1.0, 1.0, 0.5),
        (0.74, 1.0, 0.25, 0.84),
        (0.75, 1.0, 1.0, 0.75 + 0.08 + 0.15 * 0.75),
        (0.3, 0.3, 1.0, 0.3 + 0.08 + 0.15 * 0.3),
        (0.99, 1.0, 1.0, 1.0),
    ],
)
def test_increase_is_fast_below_the_ceiling(fraction, ceiling, seconds, expected):
    assert outcome_limiter.increased(fraction, ceiling, seconds) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("fraction", "ceiling", "expected"),
    [(1.0, 1.0, 1.0), (0.75, 1.0, 0.75), (0.5, 1.0, 0.95), (0.1, 0.5, 0.475)],
)
def test_ceiling_decays_on_repeated_decreases(fraction, ceiling, expected):
    assert outcome_limiter.ceiling_after_decrease(fraction, ceiling) == pytest.approx(expected)
