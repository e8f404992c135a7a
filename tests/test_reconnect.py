"""Connect timeouts and backoff of a follower of control."""

from __future__ import annotations

from random import Random

import pytest

from cranklane.distribution.reconnect import (
    FIRST_CONNECT_TIMEOUT_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_CONNECT_TIMEOUT_SECONDS,
    MIN_BACKOFF_SECONDS,
    Reconnect,
)


class MeanRandom(Random):
    """Random source that always returns the mean."""

    def random(self):
        return 0.5


def rounds(reconnect, count):
    """Return (connect timeout, accepts out of touch, pause) of failed rounds."""
    results = []
    for _ in range(count):
        connect = reconnect.connect_timeout
        reconnect.end_round()
        results.append(
            (connect, reconnect.accepts_out_of_touch(), reconnect.next_pause(MeanRandom()))
        )
    return results


def test_connect_timeouts_and_pauses_grow_by_round():
    assert rounds(Reconnect(), 4) == [
        (FIRST_CONNECT_TIMEOUT_SECONDS, False, pytest.approx(MIN_BACKOFF_SECONDS)),
        (2 * FIRST_CONNECT_TIMEOUT_SECONDS, True, pytest.approx(2 * MIN_BACKOFF_SECONDS)),
        (MAX_CONNECT_TIMEOUT_SECONDS, True, pytest.approx(4 * MIN_BACKOFF_SECONDS)),
        (MAX_CONNECT_TIMEOUT_SECONDS, True, pytest.approx(8 * MIN_BACKOFF_SECONDS)),
    ]


def test_pauses_are_bounded_and_spread_by_half():
    reconnect = Reconnect()
    rounds(reconnect, 10)
    random = Random(3)
    pauses = [reconnect.next_pause(random) for _ in range(500)]
    assert min(pauses) >= 0.5 * MAX_BACKOFF_SECONDS
    assert max(pauses) <= 1.5 * MAX_BACKOFF_SECONDS
    assert Reconnect(0.2).next_pause(MeanRandom()) == pytest.approx(MIN_BACKOFF_SECONDS)
    assert rounds(Reconnect(0.2), 5)[-1][2] == pytest.approx(0.2)


def test_a_control_process_that_served_resets_the_backoff():
    reconnect = Reconnect()
    first = rounds(reconnect, 5)
    reconnect.reset()
    assert rounds(reconnect, 5) == first
