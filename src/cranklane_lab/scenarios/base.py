"""What every scenario has: a fleet, traffic, a recorder and checks."""

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

VERSION_LOOK_SECONDS = 0.1


@dataclass
class Run:
    """One run of a scenario in one world."""

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
        """Send one request and record what was told."""
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
        """Send requests at random times in a task of its own.

        :param rate: requests a second.
        :param client_retries: how often a client sends again at once after
            anything but a whole answer.
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
        chosen = kinds or list(self.fleet.deployment.requests)
        weights = [kind.weight for kind in chosen]
        until = self.world.loop.now() + seconds
        tasks = []
        while self.world.loop.now() < until:
            gevent.sleep(random.expovariate(rate))
            kind = random.choices(chosen, weights)[0]
            tasks.append(gevent.spawn(self._insist, client, kind, client_retries))
        gevent.joinall(tasks)

    def _insist(self, client: Client, kind: RequestKind, client_retries: int) -> None:
        self._numbers += 1
        key = f"key-{self._numbers}"
        # A resend under a key is the same request to the last byte.
        nonce = f"{kind.name}-{self._numbers}" if kind.once else ""
        for _ in range(1 + client_retries):
            if self.send(client, kind, nonce, key).good:
                return

    def watch_versions(self) -> None:
        """Look at every live node's version all the time."""
        while self.watching:
            for pair in self.fleet.pairs:
                if not pair.node_process.dead:
                    self.recorder.saw_version(pair.name, pair.node.configuration.version)
            gevent.sleep(VERSION_LOOK_SECONDS)


Script = Callable[[Run], None]


@dataclass(frozen=True)
class Scenario:
    """A named failure.

    :ivar mechanisms: names of what can be switched off, each of which must
        break the promise it is there for.
    :ivar controls: control processes.
    :ivar ledgers: replicas of the ledger group.
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
        """What happens in it, in a sentence."""
        return (self.script.__doc__ or "").strip()


@dataclass(frozen=True)
class Result:
    """What came of one seed."""

    scenario: str
    seed: int
    violations: list[Violation]
    outcomes: dict[str, int]
    seconds: float
    events: int
    digest: str

    @property
    def replay(self) -> str:
        """The command that runs this seed again."""
        return f"cranklane-lab simulate --scenario {self.scenario} --seeds {self.seed}-{self.seed}"


@contextmanager
def without(names: tuple[str, ...]) -> Iterator[None]:
    """Switch mechanisms of the product off."""
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
