"""Cost function for load balancing: a request goes to the destination with the lowest cost.

The unit is the expected run time at an idle, healthy worker in the local zone:

    cost = (1 + expected wait + FULL_LOAD_COST * load) * zone factor * condition factor
        * pace factor

The expected wait stays near zero at low load, so small differences in load do not send
requests to another zone.
"""

from __future__ import annotations

import math

from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.worker.slowness import TOLERATED_SLOWNESS

CROSS_ZONE_FACTOR = 1.15
"""Cost multiplier for a worker in another zone, for the added latency and traffic charges."""

FULL_LOAD_COST = 1.0
"""Additional cost, in expected runs, of a worker with all slots busy, excluding queueing.
Spreads load over idle workers, and away from slow ones before their condition is reported.
If too small, a slow worker that is alone in its zone is never compared with other zones."""

SLOW_START_WAIT_FACTOR = 4.0
"""Multiplier for the expected wait at a worker in slow start, whose runs may take that many times
as long as those of the other workers."""

ALL_FAULTS_COST = 8.0
"""Added to the condition factor of a worker that fails all its runs. High enough that such a
worker is used only when all others have long queues."""

SLOW_PERIOD_COST = 2.0
"""Cost of each run time that a slow period adds to a run. A queue that adds a run time costs as
much, since it counts as wait and as load. With 1.0, 2.9% of the runs of the replay began in a slow
period, with 2.0 1.4%; with 3.0, requests were refused while many workers were slow at once."""


def cost(destination: Destination, zone: str, now: float) -> float:
    """Return the cost of sending a request to a destination, in expected runs.

    :param zone: zone of this sidecar.
    :param now: monotonic time in seconds.
    """
    load = destination.load()
    wait = expected_wait(load, destination.slots)
    if destination.in_slow_start:
        wait *= SLOW_START_WAIT_FACTOR
    runs = 1.0 + wait + FULL_LOAD_COST * load
    zone_factor = 1.0 if destination.zone == zone else CROSS_ZONE_FACTOR
    pace = destination.pace
    pace_factor = 1.0 if pace is None else 1.0 + SLOW_PERIOD_COST * (pace.at(now) - 1.0)
    return runs * zone_factor * condition_factor(destination, now) * pace_factor


def expected_wait(load: float, slots: int) -> float:
    """Return the expected queueing time at a worker, in expected runs.

    Below capacity this is ``load ** sqrt(2 * (slots + 1))``, the exponent of Sakasegawa's
    approximation for multi-server queues: with more slots, waiting starts closer to full load.
    Requests beyond the slots add their number per slot.

    :param load: running and queued requests per slot.

    >>> [round(expected_wait(load, 19), 2) for load in (0.5, 0.7, 0.9, 1.0, 1.5)]
    [0.01, 0.1, 0.51, 1.0, 1.5]
    >>> [round(expected_wait(load, 100), 2) for load in (0.5, 0.7, 0.9, 1.0, 1.5)]
    [0.0, 0.01, 0.22, 1.0, 1.5]
    """
    exponent = math.sqrt(2 * (slots + 1))
    return min(1.0, load) ** exponent + max(0.0, load - 1.0)


def condition_factor(destination: Destination, now: float) -> float:
    """Return the cost multiplier for a worker's condition: 1 if healthy, larger otherwise.

    Uses the larger of the slowness reported by the worker's sidecar and the slowness observed
    by this one, which includes the network path.
    """
    slowness = destination.slowness.at(now)
    reported_condition = destination.condition
    if reported_condition.is_healthy:
        return max(1.0, slowness / TOLERATED_SLOWNESS)
    decayed = reported_condition.decayed(now - destination.condition_at)
    return (
        max(1.0, max(slowness, decayed.slowness) / TOLERATED_SLOWNESS)
        + ALL_FAULTS_COST * decayed.faults
    )
