"""Plays a trace in simulation and checks promises and expected outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import gevent

from cranklane_lab.deployments import Deployment, find_deployment
from cranklane_lab.replay.trace import Event, Trace
from cranklane_lab.scenarios.base import Run, without
from cranklane_lab.scenarios.faults import restart_worker, start_node
from cranklane_lab.scenarios.promises import check_all
from cranklane_lab.scenarios.recorder import Violation
from cranklane_lab.simulation.fleet import SimulatedFleet, SimulatedPair
from cranklane_lab.simulation.process import SimulatedProcess
from cranklane_lab.simulation.world import World, simulate
from cranklane_lab.standins.client import Client

SETTLE_SECONDS = 3.0
"""Delay between the last event and the checks."""


@dataclass(frozen=True)
class ReplayResult:
    """The result of a trace.

    :ivar differences: descriptions of unexpected outcomes.
    :ivar outcomes: number of requests by outcome.
    :ivar digest: SHA-256 digest of the event log.
    """

    violations: list[Violation]
    differences: list[str]
    outcomes: dict[str, int]
    digest: str


def deployment_of(trace: Trace) -> Deployment:
    """Return the trace's deployment with its number of workers."""
    deployment = find_deployment(trace.deployment)
    services = tuple(replace(plan, workers=trace.workers) for plan in deployment.services)
    return replace(deployment, services=services)


class Player:
    """Executes the events of a trace."""

    def __init__(self, run: Run, trace: Trace, client: Client) -> None:
        self._run = run
        self._trace = trace
        self._client = client
        self.differences: list[str] = []

    def play(self) -> None:
        """Execute all events at their times, then wait for them and settle."""
        started = self._run.world.loop.now()
        tasks = []
        for event in sorted(self._trace.events, key=lambda event: event.at):
            gevent.sleep(max(0.0, started + event.at - self._run.world.loop.now()))
            tasks.append(gevent.spawn(self._execute, event))
        gevent.joinall(tasks)
        gevent.sleep(SETTLE_SECONDS)

    def _execute(self, event: Event) -> None:
        actions: dict[str, Callable[[Event], None]] = {
            "request": self._request,
            "kill": lambda event: self._kill(event, power_lost=False),
            "power": lambda event: self._kill(event, power_lost=True),
            "restart": self._restart,
            "freeze": self._freeze,
            "cut": lambda event: self._run.world.network.cut(event.source, event.target),
            "heal": lambda event: self._run.world.network.heal(event.source, event.target),
            "slow": self._slow,
            "drain": lambda event: self._pair(event).node.drain(),
        }
        actions[event.do](event)

    def _request(self, event: Event) -> None:
        kinds = {kind.name: kind for kind in self._run.fleet.deployment.requests}
        result = self._run.send(self._client, kinds[event.kind], event.nonce, event.key)
        if event.expect and result.outcome not in event.expect:
            expected = " or ".join(event.expect)
            self.differences.append(f"{event.nonce}: expected {expected}, got {result.outcome}")

    def _pair(self, event: Event) -> SimulatedPair:
        name = event.process.rpartition("-")[0]
        return next(pair for pair in self._run.fleet.pairs if pair.name == name)

    def _process(self, event: Event) -> SimulatedProcess:
        fleet = self._run.fleet
        kind, _, number = event.process.rpartition("-")
        if kind == "control":
            return fleet.control_processes[int(number)]
        if kind == "ledger":
            return fleet.ledger_processes[int(number)]
        pair = self._pair(event)
        return pair.worker_process if number == "worker" else pair.node_process

    def _kill(self, event: Event, power_lost: bool) -> None:
        process = self._process(event)
        if not process.dead:
            process.kill(power_lost=power_lost)

    def _restart(self, event: Event) -> None:
        process = self._process(event)
        if not process.dead:
            return
        kind, _, number = event.process.rpartition("-")
        if kind == "control":
            self._run.fleet.start_control(int(number), process.host)
        elif kind == "ledger":
            self._run.fleet.restart_ledger(int(number))
        elif number == "worker":
            restart_worker(self._run, self._pair(event))
        else:
            start_node(self._run, self._pair(event))

    def _freeze(self, event: Event) -> None:
        process = self._process(event)
        if not process.dead:
            process.freeze(event.seconds)

    def _slow(self, event: Event) -> None:
        for pair in self._run.fleet.of(event.service):
            pair.worker.state.slow_factor = event.factor


def play(trace: Trace, switched_off: tuple[str, ...] = ()) -> ReplayResult:
    """Play a trace in a new simulated world.

    :param switched_off: names of mechanisms to switch off.
    """
    deployment = deployment_of(trace)

    def scenario(world: World) -> ReplayResult:
        fleet = SimulatedFleet(world, deployment)
        run = Run(world, fleet, allowance=trace.allowance)
        fleet.on_run = run.recorder.ran
        fleet.start(trace.controls, trace.ledgers)
        gevent.spawn(run.watch_versions)
        player = Player(run, trace, fleet.client())
        player.play()
        run.watching = False
        check_all(run.recorder, run.allowance)
        for error in world.loop.task_errors:
            run.recorder.violate("no-task-fails", error)
        outcomes = dict(sorted(run.recorder.outcomes().items()))
        return ReplayResult(run.recorder.violations, player.differences, outcomes, world.digest())

    played: ReplayResult
    with without(switched_off):
        played = simulate(trace.seed, deployment.between_zones, scenario)
    return played
