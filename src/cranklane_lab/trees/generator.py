"""Generates a random deployment: services, call trees, request kinds and a fault."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import NamedTuple

MAX_DEPTH = 5
MAX_BOTTLENECK_CALLS = 8
"""Maximum number of bottleneck calls per root request."""

LATE_WORTH_FRACTION = 0.3
"""Fraction of a request's worth earned by a response after its objective."""


class WorkerFault(Enum):
    """Fault of one worker of the bottleneck service during the surge."""

    NONE = "none"
    SLOW = "slow"
    SHEDS = "sheds"
    LEAVES = "leaves"
    """It drains and exits, and does not come back."""


class Timing(NamedTuple):
    """Course of the traffic, in seconds from its start.

    :ivar traffic_seconds: duration of the traffic.
    :ivar surge_start: start of the surge and of the workers' faults.
    :ivar surge_end: end of the surge and of the faults that end.
    """

    traffic_seconds: float = 10.0
    surge_start: float = 3.0
    surge_end: float = 7.0


_DRAWN_FAULTS = (WorkerFault.NONE, WorkerFault.SLOW, WorkerFault.SHEDS)


@dataclass(frozen=True)
class Kind:
    """A kind of root request or of downstream call.

    :ivar work_seconds: mean work time of the worker, without its downstream calls.
    :ivar calls: kind and number of sequential downstream calls; None at the bottleneck.
    :ivar objective: latency objective in seconds.
    :ivar deadline: seconds from sending to the deadline.
    :ivar rate: client requests per second before the surge; 0 for downstream calls.
    :ivar worth: value earned by a response within the objective.
    """

    name: str
    service: str
    work_seconds: float
    calls: tuple[str, int] | None
    priority: int = 0
    objective: float = 1.0
    deadline: float = 3.0
    rate: float = 0.0
    worth: float = 0.0


@dataclass(frozen=True)
class Service:
    """A service.

    :ivar slots: slots of each worker.
    :ivar speeds: factor on the work time, one for each worker.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]


@dataclass(frozen=True)
class Deployment:
    """The deployment generated from one seed.

    :ivar services: from the top of the call trees to the bottleneck.
    :ivar kinds: by name.
    :ivar load: mean demand at the bottleneck before the surge, as a fraction of its capacity.
    :ivar surge: factor on the request rates during the surge.
    :ivar worker_faults: faults of the first workers of the bottleneck service, in its order.
    """

    seed: int
    services: tuple[Service, ...]
    kinds: dict[str, Kind]
    load: float
    surge: float
    worker_faults: tuple[WorkerFault, ...] = ()
    timing: Timing = Timing()

    @property
    def bottleneck(self) -> Service:
        """The bottleneck service."""
        return self.services[-1]

    def bottleneck_seconds(self, kind: str) -> float:
        """Return the bottleneck slot-seconds that one request of a kind costs."""
        definition = self.kinds[kind]
        spent = definition.work_seconds if definition.service == self.bottleneck.name else 0.0
        if definition.calls is not None:
            callee, times = definition.calls
            spent += times * self.bottleneck_seconds(callee)
        return spent

    def unloaded_seconds(self, kind: str) -> float:
        """Return the mean latency in seconds of a request without queueing."""
        definition = self.kinds[kind]
        callee, times = definition.calls or ("", 0)
        return definition.work_seconds + (times * self.unloaded_seconds(callee) if times else 0.0)

    def roots(self) -> list[Kind]:
        """Return the kinds of root requests, which clients send."""
        return [kind for kind in self.kinds.values() if kind.rate > 0]


def capacity_of(service: Service) -> float:
    """Return a service's capacity in slot-seconds of work at speed 1 per second."""
    return sum(service.slots / speed for speed in service.speeds)


def max_worth(deployment: Deployment, offered: dict[str, int]) -> float:
    """Return an upper bound on the worth that the offered requests can earn.

    Bounded by the bottleneck's capacity, allocated in order of worth per slot-second.

    :param offered: number of requests by root kind.
    """
    remaining = capacity_of(deployment.bottleneck) * deployment.timing.traffic_seconds
    earned = 0.0
    cost = {kind.name: deployment.bottleneck_seconds(kind.name) for kind in deployment.roots()}
    by_gain = sorted(deployment.roots(), key=lambda kind: -kind.worth / max(cost[kind.name], 1e-9))
    for kind in by_gain:
        demand = offered[kind.name]
        request_cost = cost[kind.name]
        served = demand if request_cost <= 0 else min(demand, remaining / request_cost)
        remaining -= served * request_cost
        earned += served * kind.worth
    return earned


def generate(seed: int) -> Deployment:
    """Return the deployment generated from a seed."""
    random = Random(seed)
    depth = random.randint(2, MAX_DEPTH)
    services = [_service(random, f"s{level}", level == depth - 1) for level in range(depth)]
    kinds = _calls(random, depth)
    roots = _roots(random, depth)
    deployment = Deployment(
        seed,
        tuple(services),
        {kind.name: kind for kind in (*kinds, *roots)},
        load=random.uniform(0.6, 1.3),
        surge=random.uniform(1.2, 1.8),
        worker_faults=(random.choice(_DRAWN_FAULTS),),
    )
    return _with_rates(deployment, random)


def with_rates(deployment: Deployment, shares: dict[str, float]) -> Deployment:
    """Return a deployment with client request rates that add up to its load.

    :param shares: shares of the bottleneck's load by root kind.
    """
    budget = deployment.load * capacity_of(deployment.bottleneck)
    total = sum(shares.values())
    kinds = dict(deployment.kinds)
    for name, share in shares.items():
        rate = share / total * budget / deployment.bottleneck_seconds(name)
        kinds[name] = replace(kinds[name], rate=rate)
    return replace(deployment, kinds=kinds)


def _service(random: Random, name: str, bottleneck: bool) -> Service:
    workers = random.randint(2, 3)
    speeds = tuple(random.choice((0.7, 0.8, 1.0, 1.0, 1.4)) for _ in range(workers))
    return Service(name, random.randint(4, 6) if bottleneck else 60, speeds)


def _calls(random: Random, depth: int) -> list[Kind]:
    """Return a kind of downstream call for each service below the top."""
    kinds = []
    product = 1
    for level in range(1, depth):
        bottleneck = level == depth - 1
        work = random.uniform(0.03, 0.05) if bottleneck else random.uniform(0.01, 0.02)
        calls = None
        if not bottleneck:
            times = random.randint(1, 4)
            if product * times > MAX_BOTTLENECK_CALLS:
                times = 1
            product *= times
            calls = (f"call{level + 1}", times)
        kinds.append(Kind(f"call{level}", f"s{level}", work, calls))
    return kinds


def _roots(random: Random, depth: int) -> list[Kind]:
    """Return two root kinds that enter upstream and one that enters at the bottleneck."""
    levels = [0, random.randrange(depth - 1), depth - 1]
    kinds = []
    for number, level in enumerate(levels):
        below = (f"call{level + 1}", 1) if level < depth - 1 else None
        kinds.append(
            Kind(
                f"root{number}",
                f"s{level}",
                random.uniform(0.03, 0.1),
                below,
                priority=random.randint(0, 2),
                worth=float(random.randint(1, 3)),
            )
        )
    return kinds


def _with_rates(deployment: Deployment, random: Random) -> Deployment:
    """Set random request rates that add up to the load, objectives and deadlines."""
    weights = [random.uniform(0.5, 1.0), random.uniform(0.5, 1.0), random.uniform(0.05, 0.2)]
    names = ("root0", "root1", "root2")
    deployment = with_rates(deployment, dict(zip(names, weights, strict=True)))
    kinds = dict(deployment.kinds)
    for name in names:
        unloaded = deployment.unloaded_seconds(name)
        objective = unloaded * random.uniform(3.0, 6.0)
        kinds[name] = replace(
            kinds[name],
            objective=objective,
            deadline=objective * random.uniform(2.0, 4.0),
        )
    for name, kind in kinds.items():
        if kind.rate == 0:
            unloaded = deployment.unloaded_seconds(name)
            kinds[name] = replace(kind, objective=unloaded * 8.0, deadline=unloaded * 24.0)
    return replace(deployment, kinds=kinds)
