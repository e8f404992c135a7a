"""Common parts of scenarios: fleet, traffic, recorder and checks."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import Greenlet

from cranklane_lab.deployments import Deployment, RequestKind
from cranklane_lab.scenarios.mechanisms import MECHANISMS
from cranklane_lab.scenarios.promises import check_all
from cranklane_lab.scenarios.recorder import Recorder, Violation
from cranklane_lab.simulation.fleet import SimulatedFleet
from cranklane_lab.simulation.world import World, simulate
from cranklane_lab.standins.client import Client, ClientResult

VERSION_POLL_SECONDS = 0.1


@dataclass
class Run:
    """One run of a scenario in a simulated world.

    :ivar allowance: retries that a root request may cause.
    :ivar edge_lost: whether the scenario killed an edge, so that requests may get no response.
    :ivar watching: whether :meth:`watch_versions` keeps running.
    """

    world: World
    fleet: SimulatedFleet
    recorder: Recorder = field(default_factory=Recorder)
    allowance: int = 3
    edge_lost: bool = False
    watching: bool = True
    _numbers: int = 0

    def send(
        self,
        client: Client,
        kind: RequestKind,
        nonce: str = "",
        key: str = "",
        deadline_ms: int = 0,
    ) -> ClientResult:
        """Send one request and record its result.

        :param nonce: identifies the request in worker runs; generated when empty.
        :param key: idempotency key; derived from the nonce when empty.
        :param deadline_ms: a deadline shorter than the route's; 0 for none.
        """
        self._numbers += 1
        nonce = nonce or f"{kind.name}-{self._numbers}"
        at = self.world.loop.now()
        result = client.send(kind, nonce, key or f"key-{nonce}", deadline_ms)
        self.recorder.record(at, result)
        self.world.log(f"told {nonce} {result.outcome} {result.status} {result.reason}")
        return result

    def traffic(
        self,
        client: Client,
        rate: float,
        seconds: float,
        kinds: list[RequestKind] | None = None,
        client_retries: int = 0,
    ) -> Greenlet:
        """Start a task that sends requests at random intervals.

        :param rate: mean requests per second.
        :param kinds: kinds of requests to send; None for all of the deployment.
        :param client_retries: immediate retries after an incomplete or unsuccessful response.
        """
        return gevent.spawn(self._traffic, client, rate, seconds, kinds, client_retries)

    def _traffic(
        self,
        client: Client,
        rate: float,
        seconds: float,
        kinds: list[RequestKind] | None,
        client_retries: int,
    ) -> None:
        random = self.world.random
        candidates = kinds or list(self.fleet.deployment.requests)
        weights = [kind.weight for kind in candidates]
        ends_at = self.world.loop.now() + seconds
        tasks = []
        while self.world.loop.now() < ends_at:
            gevent.sleep(random.expovariate(rate))
            kind = random.choices(candidates, weights)[0]
            tasks.append(gevent.spawn(self._send_with_retries, client, kind, client_retries))
        gevent.joinall(tasks)

    def _send_with_retries(self, client: Client, kind: RequestKind, client_retries: int) -> None:
        self._numbers += 1
        key = f"key-{self._numbers}"
        # A retry under the same idempotency key must be byte-identical.
        nonce = f"{kind.name}-{self._numbers}" if kind.once else ""
        for _ in range(1 + client_retries):
            if self.send(client, kind, nonce, key).good:
                return

    def watch_versions(self) -> None:
        """Record the configuration version of every live node, periodically."""
        while self.watching:
            for pair in self.fleet.pairs:
                if not pair.node_process.dead:
                    self.recorder.record_version(pair.name, pair.node.configuration.version)
            gevent.sleep(VERSION_POLL_SECONDS)


Script = Callable[[Run], None]


@dataclass(frozen=True)
class Scenario:
    """A named fault-injection script and the deployment it runs on.

    :ivar mechanisms: names of mechanisms that the scenario tests: with any of them
        switched off, a promise must break.
    :ivar controls: number of control processes.
    :ivar ledgers: number of replicas in the ledger group.
    :ivar allowance: retries that a root request may cause.
    """

    name: str
    deployment: Deployment
    script: Script
    mechanisms: tuple[str, ...] = ()
    controls: int = 1
    ledgers: int = 1
    allowance: int = 3

    @property
    def purpose(self) -> str:
        """A one-sentence description of the scenario."""
        return (self.script.__doc__ or "").strip()


@dataclass(frozen=True)
class Result:
    """The result of one seed.

    :ivar seconds: virtual duration of the run.
    :ivar events: number of lines in the event log.
    :ivar digest: SHA-256 digest of the event log.
    """

    scenario: str
    seed: int
    violations: list[Violation]
    outcomes: dict[str, int]
    seconds: float
    events: int
    digest: str

    @property
    def replay(self) -> str:
        """The command that reproduces this run."""
        return f"cranklane-lab simulate --scenario {self.scenario} --seeds {self.seed}-{self.seed}"


@contextmanager
def without(names: tuple[str, ...]) -> Iterator[None]:
    """Switch off mechanisms of the product for the duration of the context."""
    with ExitStack() as stack:
        for name in names:
            stack.enter_context(MECHANISMS[name].switched_off())
        yield


def run_seed(scenario: Scenario, seed: int, switched_off: tuple[str, ...] = ()) -> Result:
    """Run one seed of a scenario and check all promises."""

    def play(world: World) -> Result:
        fleet = SimulatedFleet(world, scenario.deployment)
        run = Run(world, fleet, allowance=scenario.allowance)
        fleet.on_run = run.recorder.ran
        fleet.start(scenario.controls, scenario.ledgers)
        gevent.spawn(run.watch_versions)
        scenario.script(run)
        run.watching = False
        check_all(run.recorder, run.allowance, run.edge_lost)
        for error in world.loop.task_errors:
            run.recorder.violate("no-task-fails", error)
        return Result(
            scenario=scenario.name,
            seed=seed,
            violations=run.recorder.violations,
            outcomes=dict(sorted(run.recorder.outcomes().items())),
            seconds=world.loop.now(),
            events=world.events,
            digest=world.digest(),
        )

    result: Any
    with without(switched_off):
        result = simulate(seed, scenario.deployment.between_zones, play)
    return result
