"""The lowest priority is served while its call trees depend on a saturated service."""

from __future__ import annotations

from statistics import fmean

import pytest

from cranklane_lab.trees.play import play_deployment
from cranklane_lab.trees.shared_bottleneck import (
    HIGHEST,
    LOWEST,
    MIDDLE,
    Shares,
    Trouble,
    shared_bottleneck,
    shares_of,
)

SEEDS = (1, 2)


def play_shares(seed: int, trouble: Trouble) -> Shares:
    """Return the shares of the root kinds in a deployment with a trouble."""
    deployment = shared_bottleneck(seed, trouble)
    return shares_of(deployment, play_deployment(deployment))


def test_lowest_priority_falls_short_of_what_a_slow_overloaded_bottleneck_can_serve():
    shares = [play_shares(seed, Trouble.OVERLOAD_AND_SLOW_WORKER) for seed in SEEDS]
    assert fmean(share.served[LOWEST] / share.lowest_possible for share in shares) > 0.64


def test_no_priority_is_starved_when_the_highest_fills_the_bottleneck():
    shares = play_shares(SEEDS[0], Trouble.FILLED_BY_HIGHEST)
    assert min(shares.served.values()) >= shares.served_of_all / 4


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble.OVERLOAD,
        Trouble.SLOW_WORKER,
        Trouble.LOST_WORKER,
        Trouble.OVERLOAD_AND_LOST_WORKER,
    ],
)
def test_each_priority_keeps_its_share_of_a_bottleneck_in_trouble(trouble):
    shares = play_shares(SEEDS[0], trouble)
    assert shares.served[LOWEST] > 0.6 * shares.lowest_possible
    assert shares.served[MIDDLE] > 0.9
    assert shares.served[HIGHEST] > 0.9
    assert min(shares.served.values()) > shares.served_of_all / 4
