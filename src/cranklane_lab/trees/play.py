"""Runs a random deployment in simulation with the production processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from random import Random

import gevent

from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.mesh_machines import MeshMachine
from cranklane_lab.simulation.world import World, simulate
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.route_tables import HOST, route_table
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker import RoutedWorker
from cranklane_lab.standins.routed_worker_state import RoutedRun
from cranklane_lab.trees.generator import (
    LATE_WORTH_FRACTION,
    Deployment,
    Kind,
    WorkerFault,
    generate,
    max_worth,
)

INTER_ZONE_DELAY_SECONDS = 0.0009
"""One-way delay between zones."""

SLOW_FACTOR = 4.0
SHED_FRACTION = 0.45
DRAIN_SECONDS = 2.5
"""Time from a worker's announcement that it leaves to its exit; longer than a run."""

SETTLE_SECONDS = 2.0
_OK = 200
_SERVER_ERROR = 500
_REFUSED = 503


@dataclass
class DeploymentResult:
    """The results of one deployment, counted by root kind.

    :ivar offered: requests sent, without retries.
    :ivar in_time: requests with a successful response within the objective.
    :ivar late: requests with a successful response after the objective.
    :ivar retry_refused: requests whose retry was refused too.
    :ivar bottleneck_runs: number of runs at the bottleneck.
    :ivar worth: total worth earned.
    :ivar bound: upper bound on ``worth``.
    """

    seed: int
    offered: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    retry_refused: Counter[str] = field(default_factory=Counter)
    bottleneck_runs: int = 0
    worth: float = 0.0
    bound: float = 0.0

    @property
    def earned_fraction(self) -> float:
        """Earned worth as a fraction of its upper bound."""
        return self.worth / self.bound if self.bound else 1.0


class _DeploymentRun:
    def __init__(self, deployment: Deployment, world: World) -> None:
        self._deployment = deployment
        self._world = world
        self._random = Random(world.random.getrandbits(64))
        self._mesh = Mesh(world)
        self._tasks: list[gevent.Greenlet] = []
        self.result = DeploymentResult(deployment.seed)

    def run(self) -> DeploymentResult:
        """Start the mesh, send the traffic and return the results."""
        self._start()
        for kind in self._deployment.roots():
            self._tasks.append(gevent.spawn(self._traffic, kind))
        self._tasks.append(gevent.spawn(self._inject_worker_faults))
        gevent.joinall(list(self._tasks))
        gevent.joinall(self._tasks)
        self._count()
        return self.result

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
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == _OK, 5)  # type: ignore[union-attr]
        gevent.sleep(SETTLE_SECONDS)
        self._began_at = self._world.loop.now()

    def _work(self, machine: MeshMachine, speed: float, run: RoutedRun) -> int:
        """Spend a run's work time, make its downstream calls and return the HTTP status."""
        kind = self._deployment.kinds[run.target.decode().split("/")[1]]
        deadline = self._world.loop.now() + int(run.value(NAMES.deadline)) / 1000
        work_time_factor = machine.worker.state.work_time_factor
        gevent.sleep(kind.work_seconds * speed * work_time_factor * self._random.uniform(0.5, 1.5))
        if kind.calls is None:
            return _OK
        callee, times = kind.calls
        for number in range(times):
            remaining = deadline - self._world.loop.now()
            if remaining <= 0 or not self._call(
                machine, callee, f"{run.request}.{number}", remaining
            ):
                return _SERVER_ERROR
        return _OK

    def _call(self, machine: MeshMachine, kind: str, name: str, remaining: float) -> bool:
        headers = self._headers(name, min(remaining, self._deployment.kinds[kind].deadline))
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

    def _inject_worker_faults(self) -> None:
        deployment = self._deployment
        workers = [
            machine.worker
            for machine in self._mesh.machines
            if machine.service == deployment.bottleneck.name
        ]
        timing = deployment.timing
        gevent.sleep(timing.surge_start)
        for worker, fault in zip(workers, deployment.worker_faults, strict=False):
            if fault is WorkerFault.SLOW:
                worker.state.work_time_factor = SLOW_FACTOR
            if fault is WorkerFault.SHEDS:
                worker.state.shed_fraction = SHED_FRACTION
            if fault is WorkerFault.LEAVES:
                self._tasks.append(gevent.spawn(_leave, worker))
        gevent.sleep(timing.surge_end - timing.surge_start)
        for worker in workers:
            worker.state.work_time_factor = 1.0
            worker.state.shed_fraction = 0.0

    def _traffic(self, kind: Kind) -> None:
        number = 0
        while True:
            elapsed = self._world.loop.now() - self._began_at
            timing = self._deployment.timing
            if elapsed >= timing.traffic_seconds:
                return
            in_surge = timing.surge_start <= elapsed < timing.surge_end
            surge = self._deployment.surge if in_surge else 1.0
            gevent.sleep(self._random.expovariate(kind.rate * surge))
            number += 1
            self._tasks.append(gevent.spawn(self._client, kind, f"{kind.name}-{number}"))

    def _client(self, kind: Kind, name: str) -> None:
        """Send one request, and retry once after ``Retry-After`` if it is refused."""
        self.result.offered[kind.name] += 1
        machine = self._random.choice(self._mesh.machines)
        process = self._mesh.client_process(f"client-{name}", machine.host)
        began_at = self._world.loop.now()
        for attempt in range(2):
            remaining = kind.deadline - (self._world.loop.now() - began_at)
            headers = self._headers(f"{name}-{attempt}", remaining)
            answer = exchange(process, machine.callers, "GET", f"/{kind.name}/", headers)
            if answer is not None and answer.status == _OK:
                latency = self._world.loop.now() - began_at
                counted = self.result.in_time if latency <= kind.objective else self.result.late
                counted[kind.name] += 1
                return
            if answer is None or answer.status != _REFUSED:
                return
            if attempt == 0:
                gevent.sleep(min(remaining / 3, float(answer.headers["retry-after"])))
        self.result.retry_refused[kind.name] += 1

    def _count(self) -> None:
        result, deployment = self.result, self._deployment
        for kind in deployment.roots():
            result.worth += kind.worth * result.in_time[kind.name]
            result.worth += kind.worth * LATE_WORTH_FRACTION * result.late[kind.name]
        result.bound = max_worth(deployment, dict(result.offered))
        result.bottleneck_runs = sum(
            len(machine.worker.state.runs)
            for machine in self._mesh.machines
            if machine.service == deployment.bottleneck.name
        )


def _leave(worker: RoutedWorker) -> None:
    worker.drain()
    gevent.sleep(DRAIN_SECONDS)
    worker.deregister()
    worker.end()


def play(seed: int) -> DeploymentResult:
    """Run the deployment of a seed; the result is deterministic."""
    return play_deployment(generate(seed))


def play_deployment(deployment: Deployment) -> DeploymentResult:
    """Run a deployment; the result is deterministic."""
    return simulate(
        deployment.seed,
        lambda source, target: INTER_ZONE_DELAY_SECONDS,
        lambda world: _DeploymentRun(deployment, world).run(),
    )
