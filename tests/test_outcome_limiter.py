"""The fraction that is admitted follows how runs end, the least important first."""

import pytest

from cranklane.sidecar.admission import outcome_limiter
from cranklane.sidecar.admission.outcome_limiter import MIN_FRACTION, OutcomeLimiter

CALLERS = ("a", "b", "c")


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def play(limiter, clock, seconds, fails, priority, rate=100, callers=CALLERS):
    """Send requests of a route named by its priority; return the admitted fraction."""
    admitted = 0
    count = int(seconds * rate)
    route = str(priority)
    for number in range(count):
        clock.now += 1 / rate
        if limiter.admits(route, priority, callers[number % len(callers)]):
            admitted += 1
            limiter.ended(route, limiter.began(route), fails())
    return admitted / count


def test_while_runs_succeed_everything_is_admitted():
    clock = Clock()
    assert play(OutcomeLimiter(clock), clock, 5, lambda: False, 2) == 1.0


def test_single_failures_change_nothing():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    flip = iter(([True] + [False] * 39) * 100)
    assert play(limiter, clock, 20, lambda: next(flip), 2) == 1.0


def test_failing_runs_lower_the_fraction_to_its_minimum_and_success_raises_it_again():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    play(limiter, clock, 30, lambda: True, 2)
    assert limiter.fraction("2") == MIN_FRACTION
    play(limiter, clock, 60, lambda: False, 2)
    assert limiter.fraction("2") == 1.0


def test_the_less_important_make_room_first():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    flip = iter([True, False, False, False, False] * 1000)
    for priority in (0, 1, 2):
        play(limiter, clock, 3, lambda: next(flip), priority)
    assert limiter.fraction("0") == limiter.fraction("1") == 1.0
    assert limiter.fraction("2") < 0.7


def test_what_workers_call_is_never_refused():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    play(limiter, clock, 1, lambda: False, 2, callers=("a",))
    assert play(limiter, clock, 20, lambda: True, 2, callers=("a",)) == 1.0


def test_runs_begun_before_a_change_do_not_count_for_the_next():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    for caller in CALLERS:
        limiter.admits("2", 2, caller)
    begun = [limiter.began("2") for _ in range(50)]
    clock.now = 0.5
    for round_begun in begun:
        limiter.ended("2", round_begun, True)
    assert 0.3 < limiter.fraction("2") < 0.5


def test_after_a_sudden_fault_most_is_admitted_again_within_seconds():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    play(limiter, clock, 2, lambda: True, 2)
    assert limiter.fraction("2") < 0.2
    play(limiter, clock, 3, lambda: False, 2)
    assert limiter.fraction("2") > 0.7


def test_a_lasting_want_of_room_costs_few_failed_runs():
    clock = Clock()
    limiter = OutcomeLimiter(clock)
    room = 0.5
    count = {"runs": 0, "failed": 0}

    def fails():
        # What is admitted beyond the room there is fails.
        failed = (count["runs"] * 7919 % 100) / 100 >= room / max(room, limiter.fraction("2"))
        count["runs"] += 1
        count["failed"] += failed
        return failed

    play(limiter, clock, 10, fails, 2)
    count["runs"] = count["failed"] = 0
    admitted = play(limiter, clock, 60, fails, 2)
    assert admitted * (1 - count["failed"] / count["runs"]) > 0.42
    assert count["failed"] / count["runs"] < 0.12


# The rules, each by itself.


@pytest.mark.parametrize(
    ("fraction", "failing", "expected"),
    [(1.0, 1.0, 0.4), (1.0, 0.1, 0.94), (0.5, 0.5, 0.35), (0.1, 1.0, 0.05), (0.05, 1.0, 0.05)],
)
def test_a_fraction_falls_by_how_many_runs_failed(fraction, failing, expected):
    assert outcome_limiter.decreased(fraction, failing) == pytest.approx(expected)


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
def test_a_fraction_grows_fast_up_to_what_is_known(fraction, ceiling, seconds, expected):
    assert outcome_limiter.increased(fraction, ceiling, seconds) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("fraction", "ceiling", "expected"),
    [(1.0, 1.0, 1.0), (0.75, 1.0, 0.75), (0.5, 1.0, 0.95), (0.1, 0.5, 0.475)],
)
def test_the_ceiling_fades_while_it_is_not_reached_again(fraction, ceiling, expected):
    assert outcome_limiter.ceiling_after_decrease(fraction, ceiling) == pytest.approx(expected)
