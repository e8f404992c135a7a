"""What disturbs a deployment in the bench."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from cranklane_lab.scenarios.base import Run
from cranklane_lab.scenarios.faults import fail_over_node, restart_worker, start_node

NORMAL_PART = 0.6
"""Demand on a normal day, as a part of capacity."""

Disturb = Callable[[Run, float, float], None]
"""Disturbs a run: given the run, the seconds it lasts, and the usual slow factor."""


@dataclass(frozen=True)
class BenchScenario:
    """One disturbance.

    :ivar surge: demand during it, as a multiple of the normal one.
    :ivar client_retries: how often a client sends again at once.
    :ivar disturb: what else happens.
    :ivar surging_tenant: whether a second tenant alone makes the surge.
    """

    name: str
    purpose: str
    surge: float = 1.0
    client_retries: int = 3
    disturb: Disturb | None = None
    surging_tenant: bool = False


def _slow_deep_service(run: Run, seconds: float, usual: float) -> None:
    deepest = run.fleet.deployment.services[-1].name
    for pair in run.fleet.of(deepest):
        pair.worker.state.slow_factor = usual * 12
    gevent.sleep(seconds)
    for pair in run.fleet.of(deepest):
        pair.worker.state.slow_factor = usual


def _lose_zone(run: Run, seconds: float, _usual: float) -> None:
    zone = run.fleet.deployment.zones[-1]
    lost = [pair for pair in run.fleet.pairs if pair.zone == zone]
    for pair in lost:
        pair.worker_process.kill(power_lost=True)
        pair.node_process.kill(power_lost=True)
    gevent.sleep(seconds)
    for pair in lost:
        restart_worker(run, pair)
        start_node(run, pair)


def _restart_all(run: Run, seconds: float, _usual: float) -> None:
    pause = seconds / len(run.fleet.pairs)
    tasks = []
    for pair in run.fleet.pairs:
        tasks.append(gevent.spawn(fail_over_node, run, pair))
        gevent.sleep(pause)
    gevent.joinall(tasks)


_ALL = (
    BenchScenario("normal", "a normal day: what the mechanisms cost when nothing is wrong"),
    BenchScenario("surge-2x", "twice the capacity is wanted, clients retry hard", 2 / NORMAL_PART),
    BenchScenario("surge-5x", "five times the capacity is wanted", 5 / NORMAL_PART),
    BenchScenario(
        "deep-slowdown",
        "a deep service slows down while demand doubles and clients retry hard",
        2.0,
        disturb=_slow_deep_service,
    ),
    BenchScenario("lost-zone", "a zone loses power and comes back", disturb=_lose_zone),
    BenchScenario("rolling-restart", "every node is replaced in turn", disturb=_restart_all),
    BenchScenario(
        "tenant-surge", "another tenant wants five times the capacity", 5.0, surging_tenant=True
    ),
)

BENCH_SCENARIOS = {scenario.name: scenario for scenario in _ALL}
