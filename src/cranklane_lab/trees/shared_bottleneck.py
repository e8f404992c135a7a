"""A deployment whose lowest priority depends on a service that higher priorities share.

A ``view`` of the lowest priority makes eight calls to the bottleneck, two services down. A ``pay``
of the highest priority makes four, and a ``read`` between them runs there itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cranklane_lab.trees.generator import (
    Deployment,
    Kind,
    Service,
    Timing,
    WorkerFault,
    capacity_of,
    with_rates,
)
from cranklane_lab.trees.play import SLOW_FACTOR, DeploymentResult

LOWEST, MIDDLE, HIGHEST = "view", "read", "pay"
"""Root kinds from the lowest to the highest priority."""

TIMING = Timing(traffic_seconds=14.0, surge_start=1.0, surge_end=12.0)
"""A surge that lasts much longer than a call tree, so that limits must hold and not just react."""

_SERVICES = (
    Service("gallery", 30, (0.7, 0.7, 1.0, 1.6)),
    Service("desk", 24, (0.6, 1.0, 1.0, 1.4)),
    Service("stock", 10, (0.7, 0.7, 1.6)),
)
_KINDS = (
    Kind("look", "stock", 0.05, None, objective=0.4, deadline=0.9),
    Kind("check", "desk", 0.015, ("look", 4), objective=1.2, deadline=3.0),
    Kind(LOWEST, "gallery", 0.25, ("check", 2), 2, objective=2.0, deadline=5.0, worth=1.0),
    Kind(HIGHEST, "desk", 0.25, ("look", 4), 0, objective=2.0, deadline=5.0, worth=3.0),
    Kind(MIDDLE, "stock", 0.06, None, 1, objective=0.4, deadline=1.5, worth=2.0),
)
_LOAD_SHARES = {LOWEST: 0.75, MIDDLE: 0.05, HIGHEST: 0.2}


class Trouble(Enum):
    """What the bottleneck service suffers during the surge."""

    OVERLOAD = (1.0, 2.0, ())
    SLOW_WORKER = (0.9, 1.0, (WorkerFault.SLOW,))
    LOST_WORKER = (0.9, 1.0, (WorkerFault.LEAVES,))
    OVERLOAD_AND_SLOW_WORKER = (0.9, 1.7, (WorkerFault.SLOW,))
    OVERLOAD_AND_LOST_WORKER = (0.8, 1.5, (WorkerFault.LEAVES,))
    OVERLOAD_SLOW_AND_LOST_WORKER = (0.8, 1.3, (WorkerFault.SLOW, WorkerFault.LEAVES))
    FILLED_BY_HIGHEST = (1.0, 1.7, (WorkerFault.SLOW, WorkerFault.LEAVES))
    """The highest priority alone asks for more than the bottleneck has."""

    def __init__(self, load: float, surge: float, faults: tuple[WorkerFault, ...]) -> None:
        self.load = load
        self.surge = surge
        self.faults = faults


def shared_bottleneck(seed: int, trouble: Trouble) -> Deployment:
    """Return the deployment with a trouble."""
    kinds = {kind.name: kind for kind in _KINDS}
    deployment = Deployment(
        seed, _SERVICES, kinds, trouble.load, trouble.surge, trouble.faults, TIMING
    )
    return with_rates(deployment, _LOAD_SHARES)


@dataclass(frozen=True)
class Shares:
    """Served requests by root kind.

    :ivar served: fraction of each kind's requests that were served, in time or late.
    :ivar served_of_all: fraction of all requests that were served.
    :ivar lowest_possible: fraction of the lowest kind that the bottleneck can serve beside all
        requests of the other kinds.
    """

    served: dict[str, float]
    served_of_all: float
    lowest_possible: float


def shares_of(deployment: Deployment, result: DeploymentResult) -> Shares:
    """Return the shares of the root kinds in a result."""
    served = {name: result.in_time[name] + result.late[name] for name in (LOWEST, MIDDLE, HIGHEST)}
    offered = result.offered
    others = sum(offered[name] * deployment.bottleneck_seconds(name) for name in (MIDDLE, HIGHEST))
    possible = (_capacity(deployment) - others) / deployment.bottleneck_seconds(LOWEST)
    return Shares(
        {name: count / offered[name] for name, count in served.items()},
        sum(served.values()) / sum(offered[name] for name in served),
        max(0.0, min(1.0, possible / offered[LOWEST])),
    )


def _capacity(deployment: Deployment) -> float:
    """Return the bottleneck's slot-seconds at speed 1 during the traffic, without those lost."""
    timing, service = deployment.timing, deployment.bottleneck
    capacity = capacity_of(service) * timing.traffic_seconds
    for speed, fault in zip(service.speeds, deployment.worker_faults, strict=False):
        worker = service.slots / speed
        if fault is WorkerFault.SLOW:
            capacity -= worker * (1 - 1 / SLOW_FACTOR) * (timing.surge_end - timing.surge_start)
        if fault is WorkerFault.LEAVES:
            capacity -= worker * (timing.traffic_seconds - timing.surge_start)
    return capacity
