"""The longest time that a route's requests are expected to take."""

from __future__ import annotations

import pytest

from cranklane.common.run_times import MAX_ROUTES, RunTimes

KEY = ("r", "s")


def longest_after(*seconds):
    times = RunTimes()
    for value in seconds:
        times.record(KEY, value)
    return times.longest(KEY)


def test_equal_times_are_expected_with_little_added():
    """Guards against an estimate that stays far above times that do not vary."""
    assert longest_after(*[1.0] * 30) == pytest.approx(1.05, abs=0.01)


def test_rare_long_runs_are_within_the_estimate():
    """Guards against an average that hides the runs which a stop would cut."""
    assert longest_after(*[0.1, 0.1, 0.1, 2.0] * 20) > 2.0


def test_a_route_that_became_slower_is_followed_within_a_few_runs():
    """Guards against run times of a former service of the route that count for long."""
    assert longest_after(*[0.1] * 50, *[2.0] * 3) > 2.0


def test_the_number_of_routes_is_bounded():
    """Guards against memory that grows with each route ever used."""
    times = RunTimes()
    for number in range(MAX_ROUTES + 1):
        times.record((f"r-{number}", "s"), 0.1)
    assert times.longest(("r-0", "s")) is None
    assert times.longest((f"r-{MAX_ROUTES}", "s")) is not None
