"""Draws a deployment: services, call trees, requests, and the trouble that it meets."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random

MOST_DEPTH = 5
MOST_CALLS = 8
"""Calls at the narrow service for one request from the top, at most."""

TRAFFIC_SECONDS = 10.0
SURGE_FROM, SURGE_TO = 3.0, 7.0
LATE_WORTH = 0.3
"""Part of a request's worth that an answer after its objective earns."""


class Trouble(Enum):
    """What befalls one worker of the narrow service during the surge."""

    NONE = "none"
    SLOW = "slow"
    SHEDS = "sheds"


@dataclass(frozen=True)
class Kind:
    """One kind of request or call.

    :ivar work_seconds: mean time of the worker's own work.
    :ivar calls: kind called and how often, each after the other; empty at the bottom.
    :ivar rate: clients' requests a second before the surge; 0 for calls.
    :ivar worth: what a request answered in time earns.
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
    """Workers of one service; ``speeds`` are factors on the time of their work."""

    name: str
    slots: int
    speeds: tuple[float, ...]


@dataclass(frozen=True)
class Deployment:
    """Everything that is drawn by one seed.

    :ivar load: mean demand at the narrow service before the surge, as a part of what it
        can serve.
    :ivar surge: factor on the rates during the surge.
    """

    seed: int
    services: tuple[Service, ...]
    kinds: dict[str, Kind]
    load: float
    surge: float
    trouble: Trouble

    @property
    def narrow(self) -> Service:
        """The service at the bottom."""
        return self.services[-1]

    def narrow_seconds(self, kind: str) -> float:
        """Return the slot-seconds of the narrow service that one request costs."""
        own = self.kinds[kind]
        spent = own.work_seconds if own.service == self.narrow.name else 0.0
        if own.calls is not None:
            called, times = own.calls
            spent += times * self.narrow_seconds(called)
        return spent

    def unloaded_seconds(self, kind: str) -> float:
        """Return the time of a request that waits nowhere."""
        own = self.kinds[kind]
        called, times = own.calls or ("", 0)
        return own.work_seconds + (times * self.unloaded_seconds(called) if times else 0.0)

    def roots(self) -> list[Kind]:
        """Return the kinds that clients send."""
        return [kind for kind in self.kinds.values() if kind.rate > 0]


def capacity_of(service: Service) -> float:
    """Return the slot-seconds of work at speed 1 that a service does in a second."""
    return sum(service.slots / speed for speed in service.speeds)


def most_worth(deployment: Deployment, offered: dict[str, int]) -> float:
    """Return an upper bound on the worth that can be earned of some requests.

    Only the narrow service binds; its slots go to what earns most for each second.
    """
    left = capacity_of(deployment.narrow) * TRAFFIC_SECONDS
    earned = 0.0
    cost = {kind.name: deployment.narrow_seconds(kind.name) for kind in deployment.roots()}
    by_gain = sorted(deployment.roots(), key=lambda kind: -kind.worth / max(cost[kind.name], 1e-9))
    for kind in by_gain:
        wanted = offered[kind.name]
        each = cost[kind.name]
        served = wanted if each <= 0 else min(wanted, left / each)
        left -= served * each
        earned += served * kind.worth
    return earned


def draw(seed: int) -> Deployment:
    """Return the deployment of a seed."""
    random = Random(seed)
    depth = random.randint(2, MOST_DEPTH)
    services = [_service(random, f"s{level}", level == depth - 1) for level in range(depth)]
    kinds = _calls(random, depth)
    roots = _roots(random, depth)
    deployment = Deployment(
        seed,
        tuple(services),
        {kind.name: kind for kind in (*kinds, *roots)},
        load=random.uniform(0.6, 1.3),
        surge=random.uniform(1.2, 1.8),
        trouble=random.choice(list(Trouble)),
    )
    return _with_rates(deployment, random)


def _service(random: Random, name: str, narrow: bool) -> Service:
    workers = random.randint(2, 3)
    speeds = tuple(random.choice((0.7, 0.8, 1.0, 1.0, 1.4)) for _ in range(workers))
    return Service(name, random.randint(4, 6) if narrow else 60, speeds)


def _calls(random: Random, depth: int) -> list[Kind]:
    """Return one kind of call for each service below the top."""
    kinds = []
    product = 1
    for level in range(1, depth):
        narrow = level == depth - 1
        work = random.uniform(0.03, 0.05) if narrow else random.uniform(0.01, 0.02)
        calls = None
        if not narrow:
            times = random.randint(1, 4)
            if product * times > MOST_CALLS:
                times = 1
            product *= times
            calls = (f"call{level + 1}", times)
        kinds.append(Kind(f"call{level}", f"s{level}", work, calls))
    return kinds


def _roots(random: Random, depth: int) -> list[Kind]:
    """Return two kinds from above and one that clients send to the narrow service."""
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
    """Draw rates that make up the load, and times that requests may take."""
    budget = deployment.load * capacity_of(deployment.narrow)
    weights = [random.uniform(0.5, 1.0), random.uniform(0.5, 1.0), random.uniform(0.05, 0.2)]
    kinds = dict(deployment.kinds)
    for weight, name in zip(weights, ("root0", "root1", "root2"), strict=True):
        cost = deployment.narrow_seconds(name)
        unloaded = deployment.unloaded_seconds(name)
        objective = unloaded * random.uniform(3.0, 6.0)
        kinds[name] = replace(
            kinds[name],
            rate=weight / sum(weights) * budget / cost,
            objective=objective,
            deadline=objective * random.uniform(2.0, 4.0),
        )
    for name, kind in kinds.items():
        if kind.rate == 0:
            unloaded = deployment.unloaded_seconds(name)
            kinds[name] = replace(kind, objective=unloaded * 8.0, deadline=unloaded * 24.0)
    return replace(deployment, kinds=kinds)
