"""How a follower of control spaces its attempts."""

from __future__ import annotations

from random import Random

import pytest

from cranklane.distribution.reconnect import (
    CONNECT_SECONDS,
    FIRST_CONNECT_SECONDS,
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    Reconnect,
)


class Middle(Random):
    """Draws the mean always."""

    def random(self):
        return 0.5


def rounds(reconnect, count):
    """Return (connection time, needs any, pause) of rounds in which none served."""
    seen = []
    for _ in range(count):
        connect = reconnect.connect_seconds
        reconnect.round_ended()
        seen.append((connect, reconnect.needs_any(), reconnect.pause(Middle())))
    return seen


def test_connections_and_pauses_grow_round_by_round():
    assert rounds(Reconnect(), 4) == [
        (FIRST_CONNECT_SECONDS, False, pytest.approx(MIN_BACKOFF_SECONDS)),
        (2 * FIRST_CONNECT_SECONDS, True, pytest.approx(2 * MIN_BACKOFF_SECONDS)),
        (CONNECT_SECONDS, True, pytest.approx(4 * MIN_BACKOFF_SECONDS)),
        (CONNECT_SECONDS, True, pytest.approx(8 * MIN_BACKOFF_SECONDS)),
    ]


def test_pauses_are_bounded_and_spread_by_half():
    reconnect = Reconnect()
    rounds(reconnect, 10)
    random = Random(3)
    pauses = [reconnect.pause(random) for _ in range(500)]
    assert min(pauses) >= 0.5 * MAX_BACKOFF_SECONDS
    assert max(pauses) <= 1.5 * MAX_BACKOFF_SECONDS
    assert Reconnect(0.2).pause(Middle()) == pytest.approx(MIN_BACKOFF_SECONDS)
    assert rounds(Reconnect(0.2), 5)[-1][2] == pytest.approx(0.2)


def test_a_control_process_that_served_starts_the_rounds_anew():
    reconnect = Reconnect()
    first = rounds(reconnect, 5)
    reconnect.served()
    assert rounds(reconnect, 5) == first
