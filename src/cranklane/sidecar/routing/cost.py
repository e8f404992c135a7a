"""Decides what a request costs at a destination: the one of the lowest cost gets it.

Owns the formula and its constants. The unit of cost is one expected run at an idle worker
that is well, in the own zone:

    cost = (1 + expected wait + SPREAD_COST * load) * zone factor * condition factor

With a plain quotient of loads instead of the expected wait a request left its zone for nothing
at low load: drawn call trees (``cranklane-lab trees``, seeds 1 to 16) earned 0.902 of what could
be earned instead of 0.918, measured when the rule was introduced.
"""

from __future__ import annotations

import math

from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.worker.slowness import TOLERATED_SLOWNESS

OTHER_ZONE_FACTOR = 1.15
"""How many times longer a run in another zone counts. A choice: bytes between zones are paid
for, and each of the two ways takes a while."""

SPREAD_COST = 1.0
"""Runs that a worker costs more with all its slots taken than idle, besides the wait there.
Equals share the load, a new worker gets some at once, and one that is slow, and so has more
requests under way than others, gets less before anything else says so. With 0.05 a slow worker
alone in its zone is never compared with others (tests/test_worker_condition.py fails)."""

FAULTS_COST = 8.0
"""How many times more a worker costs that fails every run. A choice: it is used only when all
others have long queues."""


def cost(destination: Destination, zone: str, now: float) -> float:
    """Return what a request costs at a destination, in expected runs.

    :param zone: of this process.
    :param now: monotonic seconds.
    """
    load = destination.load()
    runs = 1.0 + expected_wait(load, destination.slots) + SPREAD_COST * load
    zone_factor = 1.0 if destination.zone == zone else OTHER_ZONE_FACTOR
    return runs * zone_factor * condition_factor(destination, now)


def expected_wait(load: float, slots: int) -> float:
    """Return how long a request waits at a worker, in expected runs.

    What is known of the load is a moment old, so a worker that is nearly at capacity counts as
    saturated with the probability that one of so many slots has none free (the exponent of
    Sakasegawa's approximation for queues with several servers). A worker with many slots
    makes nobody wait until it is nearly at capacity; requests waiting there are served by all
    slots together.

    :param load: requests there for each slot.

    >>> [round(expected_wait(load, 19), 2) for load in (0.5, 0.7, 0.9, 1.0, 1.5)]
    [0.01, 0.1, 0.51, 1.0, 1.5]
    >>> [round(expected_wait(load, 100), 2) for load in (0.5, 0.7, 0.9, 1.0, 1.5)]
    [0.0, 0.01, 0.22, 1.0, 1.5]
    """
    exponent = math.sqrt(2 * (slots + 1))
    return min(1.0, load) ** exponent + max(0.0, load - 1.0)


def condition_factor(destination: Destination, now: float) -> float:
    """Return how many times more a run costs than at a worker that is well; at least 1.

    Joins what the worker's own sidecar reports with what was measured from here, by the larger
    one: a worker may be well and the way to it not.
    """
    slowness = destination.slowness.at(now)
    reported = destination.condition
    if reported.is_healthy:
        return max(1.0, slowness / TOLERATED_SLOWNESS)
    decayed = reported.decayed(now - destination.condition_at)
    return (
        max(1.0, max(slowness, decayed.slowness) / TOLERATED_SLOWNESS)
        + FAULTS_COST * decayed.faults
    )
