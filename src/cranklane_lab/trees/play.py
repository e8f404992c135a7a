"""Plays a drawn deployment in the simulated world with the product's own processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from random import Random

import gevent

from cranklane_lab.simulation.mesh import HOST, Mesh, MeshMachine, route_table
from cranklane_lab.simulation.world import World, simulate
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.routed_worker import NAMES, RoutedRun
from cranklane_lab.trees.drawn import (
    LATE_WORTH,
    SURGE_FROM,
    SURGE_TO,
    TRAFFIC_SECONDS,
    Deployment,
    Kind,
    Trouble,
    draw,
    most_worth,
)

ZONE_SECONDS = 0.0009
"""One way between zones, as on the smaller deployments of the users."""

SLOW_FACTOR = 4.0
SHED_FRACTION = 0.45
SETTLE_SECONDS = 2.0
_OK = 200
_SERVER_ERROR = 500
_REFUSED = 503


@dataclass
class Played:
    """What clients got of one deployment.

    :ivar offered: requests by kind.
    :ivar in_time: those answered within their objective.
    :ivar late: those answered later.
    :ivar refused_again: those refused at their second try too.
    :ivar narrow_runs: runs at the narrow service.
    """

    seed: int
    offered: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused_again: Counter[str] = field(default_factory=Counter)
    narrow_runs: int = 0
    worth: float = 0.0
    bound: float = 0.0

    @property
    def earned_fraction(self) -> float:
        """Earned worth as a fraction of the most that could be earned."""
        return self.worth / self.bound if self.bound else 1.0


class _Play:
    def __init__(self, deployment: Deployment, world: World) -> None:
        self._deployment = deployment
        self._world = world
        self._random = Random(world.random.getrandbits(64))
        self._mesh = Mesh(world)
        self._tasks: list[gevent.Greenlet] = []
        self.played = Played(deployment.seed)

    def run(self) -> Played:
        """Start everything, send the traffic and count."""
        self._start()
        for kind in self._deployment.roots():
            self._tasks.append(gevent.spawn(self._traffic, kind))
        self._tasks.append(gevent.spawn(self._trouble))
        gevent.joinall(list(self._tasks))
        gevent.joinall(self._tasks)
        self._count()
        return self.played

    def _start(self) -> None:
        mesh, deployment = self._mesh, self._deployment
        mesh.start_controllers(3)
        for service in deployment.services:
            for speed in service.speeds:
                machine = mesh.add_machine(service.name, service.slots)
                machine.worker.state.work = partial(self._work, machine, speed)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        routes = {
            kind.name: {
                "prefix": f"/{kind.name}/",
                "service": kind.service,
                "priority": kind.priority,
                "objective_ms": int(kind.objective * 1000),
                "timeout_ms": int(kind.deadline * 1000),
            }
            for kind in deployment.kinds.values()
        }
        names = tuple(service.name for service in deployment.services)
        table = route_table(1, 0, routes, names)
        assert mesh.wait_for(lambda: mesh.operate(table).status == _OK, 5)  # type: ignore[union-attr]
        gevent.sleep(SETTLE_SECONDS)
        self._began_at = self._world.loop.now()

    # Workers.

    def _work(self, machine: MeshMachine, speed: float, run: RoutedRun) -> int:
        """Do a run's own work and make its calls; return the status of its answer."""
        kind = self._deployment.kinds[run.target.decode().split("/")[1]]
        until = self._world.loop.now() + int(run.value(NAMES.deadline)) / 1000
        work_time_factor = machine.worker.state.work_time_factor
        gevent.sleep(kind.work_seconds * speed * work_time_factor * self._random.uniform(0.5, 1.5))
        if kind.calls is None:
            return _OK
        called, times = kind.calls
        for number in range(times):
            left = until - self._world.loop.now()
            if left <= 0 or not self._call(machine, called, f"{run.request}.{number}", left):
                return _SERVER_ERROR
        return _OK

    def _call(self, machine: MeshMachine, kind: str, name: str, left: float) -> bool:
        headers = self._headers(name, min(left, self._deployment.kinds[kind].deadline))
        process = machine.worker_process
        answer = exchange(process, machine.callers, "GET", f"/{kind}/", headers)
        return answer is not None and answer.status == _OK

    @staticmethod
    def _headers(name: str, seconds: float) -> dict[str, str]:
        return {
            "Host": HOST,
            NAMES.request.decode(): name,
            NAMES.deadline.decode(): str(max(1, int(seconds * 1000))),
        }

    def _trouble(self) -> None:
        deployment = self._deployment
        machine = next(m for m in self._mesh.machines if m.service == deployment.narrow.name)
        gevent.sleep(SURGE_FROM)
        if deployment.trouble is Trouble.SLOW:
            machine.worker.state.work_time_factor = SLOW_FACTOR
        if deployment.trouble is Trouble.SHEDS:
            machine.worker.state.shed_fraction = SHED_FRACTION
        gevent.sleep(SURGE_TO - SURGE_FROM)
        machine.worker.state.work_time_factor = 1.0
        machine.worker.state.shed_fraction = 0.0

    # Clients.

    def _traffic(self, kind: Kind) -> None:
        number = 0
        while True:
            elapsed = self._world.loop.now() - self._began_at
            if elapsed >= TRAFFIC_SECONDS:
                return
            surge = self._deployment.surge if SURGE_FROM <= elapsed < SURGE_TO else 1.0
            gevent.sleep(self._random.expovariate(kind.rate * surge))
            number += 1
            self._tasks.append(gevent.spawn(self._client, kind, f"{kind.name}-{number}"))

    def _client(self, kind: Kind, name: str) -> None:
        """Send one request, and once more when it is refused, as it is told to."""
        self.played.offered[kind.name] += 1
        machine = self._random.choice(self._mesh.machines)
        process = self._mesh.client_process(f"client-{name}", machine.host)
        began_at = self._world.loop.now()
        for attempt in range(2):
            left = kind.deadline - (self._world.loop.now() - began_at)
            headers = self._headers(f"{name}-{attempt}", left)
            answer = exchange(process, machine.callers, "GET", f"/{kind.name}/", headers)
            if answer is not None and answer.status == _OK:
                taken = self._world.loop.now() - began_at
                counted = self.played.in_time if taken <= kind.objective else self.played.late
                counted[kind.name] += 1
                return
            if answer is None or answer.status != _REFUSED:
                return
            if attempt == 0:
                gevent.sleep(min(left / 3, float(answer.headers["retry-after"])))
        self.played.refused_again[kind.name] += 1

    def _count(self) -> None:
        played, deployment = self.played, self._deployment
        for kind in deployment.roots():
            played.worth += kind.worth * played.in_time[kind.name]
            played.worth += kind.worth * LATE_WORTH * played.late[kind.name]
        played.bound = most_worth(deployment, dict(played.offered))
        played.narrow_runs = sum(
            len(machine.worker.state.runs)
            for machine in self._mesh.machines
            if machine.service == deployment.narrow.name
        )


def play(seed: int) -> Played:
    """Play the deployment of a seed; the same seed gives the same result."""
    deployment = draw(seed)
    return simulate(
        seed,
        lambda source, target: ZONE_SECONDS,
        lambda world: _Play(deployment, world).run(),
    )
