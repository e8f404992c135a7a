"""The limit on a route's concurrent runs adapts to failed runs, lowest priority first."""

import heapq
import math

import pytest

from cranklane.sidecar.admission import outcome_limiter
from cranklane.sidecar.admission.outcome_limiter import MIN_LIMIT, OutcomeLimiter

CALLERS = ("a", "b", "c")
RUN_SECONDS = 0.2
RATE = 100
"""Requests a second; without a limit, 20 run at once."""
CAPACITY = 0.5 * RATE * RUN_SECONDS
"""Concurrent runs that succeed."""


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class Traffic:
    """Requests of a route named after its priority, to one limiter.

    :param fails: called with the number of concurrent runs as a run begins; returns whether it
        will fail.
    """

    def __init__(self, limiter, clock, fails, priority, callers=CALLERS, run_seconds=RUN_SECONDS):
        self.limiter, self.clock, self.fails = limiter, clock, fails
        self.priority, self.route, self.callers = priority, str(priority), callers
        self.run_seconds = run_seconds
        self.active = []
        self.admitted = self.failed = self.offered = 0

    def send(self, seconds, rate=RATE):
        """Send requests for a time; return the fraction that was admitted in it."""
        admitted = 0
        count = int(seconds * rate)
        for number in range(count):
            self.clock.now += 1 / rate
            self._end_finished()
            if self.limiter.admits(
                self.route, self.priority, self.callers[number % len(self.callers)]
            ):
                admitted += 1
                self._begin()
        self.offered += count
        self.admitted += admitted
        return admitted / count

    def _begin(self):
        failed = self.fails(len(self.active))
        self.failed += failed
        ends_at = self.clock.now + self.run_seconds
        start_round = self.limiter.began(self.route)
        heapq.heappush(self.active, (ends_at, len(self.active), start_round, failed))

    def _end_finished(self):
        while self.active and self.active[0][0] <= self.clock.now:
            _, _, start_round, failed = heapq.heappop(self.active)
            self.limiter.released(self.route)
            self.limiter.ended(self.route, start_round, failed, self.run_seconds)


def never(_concurrent):
    return False


def always(_concurrent):
    return True


def beyond_capacity():
    """Return a function that fails the part of the runs that exceeds the capacity."""
    runs = 0

    def fails(concurrent):
        nonlocal runs
        runs += 1
        return (runs * 7919 % 100) / 100 >= CAPACITY / max(CAPACITY, concurrent + 1)

    return fails


def traffic(fails, priority=2, **options):
    clock = Clock()
    return Traffic(OutcomeLimiter(clock), clock, fails, priority, **options)


def test_successful_runs_are_not_limited():
    requests = traffic(never)
    assert requests.send(5) == 1.0
    assert requests.limiter.limit("2") == math.inf


def test_isolated_failures_set_no_limit():
    failures = iter(([True] + [False] * 39) * 100)
    requests = traffic(lambda _: next(failures))
    assert requests.send(20) == 1.0


def test_limit_falls_to_its_minimum_and_is_removed_after_recovery():
    requests = traffic(always)
    requests.send(30)
    assert requests.limiter.limit("2") == MIN_LIMIT
    requests.fails = never
    requests.send(60)
    assert requests.limiter.limit("2") == math.inf


def test_lower_priorities_are_limited_first():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    failures = iter([True, False, False, False, False] * 1000)
    for priority in (0, 1, 2):
        Traffic(limiter, clock, lambda _: next(failures), priority).send(3)
    assert limiter.limit("0") == limiter.limit("1") == math.inf
    assert limiter.limit("2") < 0.7 * RATE * RUN_SECONDS


def test_routes_called_by_workers_are_exempt():
    requests = traffic(never, callers=("a",))
    requests.send(1)
    requests.fails = always
    assert requests.send(20) == 1.0


def test_runs_begun_before_a_decrease_are_ignored():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    for number in range(50):
        limiter.admits("2", 2, CALLERS[number % 3])
    start_rounds = [limiter.began("2") for _ in range(50)]
    clock.now = 0.5
    for start_round in start_rounds:
        limiter.ended("2", start_round, True, 0.5)
    assert 0.3 * 50 < limiter.limit("2") < 0.5 * 50


def test_fast_recovery_after_a_short_fault():
    requests = traffic(always)
    requests.send(2)
    assert requests.limiter.limit("2") < 0.2 * RATE * RUN_SECONDS + 1
    requests.fails = never
    requests.send(3)
    assert requests.limiter.limit("2") > 0.7 * RATE * RUN_SECONDS


def test_sustained_shortage_causes_few_failed_runs():
    requests = traffic(beyond_capacity())
    requests.send(10)
    requests.admitted = requests.failed = requests.offered = 0
    requests.send(60)
    assert (requests.admitted - requests.failed) / requests.offered > 0.42
    assert requests.failed / requests.admitted < 0.12


def test_a_surge_of_retries_does_not_add_failed_runs():
    requests = traffic(beyond_capacity())
    requests.send(10)
    requests.admitted = requests.failed = 0
    requests.send(10, rate=5 * RATE)
    assert requests.failed / requests.admitted < 0.15


def test_slower_call_trees_do_not_add_concurrent_runs():
    requests = traffic(beyond_capacity())
    requests.send(10)
    requests.run_seconds = 5 * RUN_SECONDS
    most = 0
    for _ in range(100):
        requests.send(0.1)
        most = max(most, len(requests.active))
    assert most <= 1.5 * CAPACITY


def test_a_request_that_gets_no_slot_leaves_its_place():
    limiter = OutcomeLimiter(Clock())
    for _ in range(3):
        assert limiter.admits("2", 2, "a")
        limiter.released("2")
    limiter._routes["2"].limit = 1.0
    assert limiter.admits("2", 2, "a")
    assert not limiter.admits("2", 2, "b")
    limiter.released("2")
    assert limiter.admits("2", 2, "c")


# Functions that compute the limit and its ceiling.


@pytest.mark.parametrize(
    ("limit", "failed_fraction", "expected"),
    [(20.0, 1.0, 8.0), (20.0, 0.1, 18.8), (10.0, 0.5, 7.0), (3.0, 1.0, MIN_LIMIT), (2.0, 1.0, 2.0)],
)
def test_decrease_is_proportional_to_failures(limit, failed_fraction, expected):
    assert outcome_limiter.decreased(limit, failed_fraction) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("limit", "ceiling", "expected"),
    [(2.0, 20.0, 3.0), (14.9, 20.0, 15.9), (15.0, 20.0, 15.05), (6.0, 6.0, 6.05)],
)
def test_increase_is_fast_below_the_ceiling(limit, ceiling, expected):
    assert outcome_limiter.increased(limit, ceiling) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("limit", "ceiling", "expected"),
    [(20.0, math.inf, 20.0), (20.0, 20.0, 20.0), (15.0, 20.0, 15.0), (10.0, 20.0, 16.0)],
)
def test_ceiling_decays_on_repeated_decreases(limit, ceiling, expected):
    assert outcome_limiter.ceiling_after_decrease(limit, ceiling) == pytest.approx(expected)


def test_a_changed_priority_of_a_route_applies_to_its_limit():
    """Guards against a tolerance of failures that stays as of the route's first request."""
    failures = iter([True, False, False, False] * 1000)
    requests = traffic(lambda _: next(failures), priority=0)
    requests.send(3)
    assert requests.limiter.limit("0") == math.inf
    requests.priority = 2
    requests.send(3)
    assert requests.limiter.limit("0") < 0.7 * RATE * RUN_SECONDS
