"""What a deployment's slots could give at most."""

from __future__ import annotations

from cranklane_lab.deployments import Deployment, Work


def _find(deployment: Deployment, service: str, path: str) -> Work:
    return deployment.service(service).work[path.split("/")[1]]


def hold_seconds(deployment: Deployment, service: str, path: str) -> float:
    """Return how long a call holds a slot: its own work, and its child calls'."""
    work = _find(deployment, service, path)
    below = [hold_seconds(deployment, child, child_path) for child, child_path in work.children]
    return work.seconds + (max(below, default=0.0) if work.parallel else sum(below))


def _add_demand(deployment: Deployment, service: str, path: str, demand: dict[str, float]) -> None:
    demand[service] = demand.get(service, 0.0) + hold_seconds(deployment, service, path)
    for child, child_path in _find(deployment, service, path).children:
        _add_demand(deployment, child, child_path, demand)


def capacity(deployment: Deployment, slow_factor: float) -> float:
    """Return requests a second of the deployment's mix that fill its busiest service.

    :param slow_factor: how many times longer all work takes than planned.
    """
    weights = sum(kind.weight for kind in deployment.requests)
    demand: dict[str, float] = {}
    for kind in deployment.requests:
        one: dict[str, float] = {}
        _add_demand(deployment, kind.service, kind.path, one)
        for service, seconds in one.items():
            demand[service] = demand.get(service, 0.0) + seconds * kind.weight / weights
    return min(
        plan.workers * plan.slots / (demand[plan.name] * slow_factor)
        for plan in deployment.services
        if plan.name in demand
    )
