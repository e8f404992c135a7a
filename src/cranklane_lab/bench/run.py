"""``cranklane-lab bench``: one disturbance, the product and its baselines side by side."""

from __future__ import annotations

import hashlib
import json
import multiprocessing
import os
from collections import Counter
from dataclasses import asdict, dataclass, replace
from typing import Any

import gevent
from gevent import Greenlet

from cranklane.node.configuration import NodeConfiguration
from cranklane.policy.compiler import compile_policy
from cranklane.policy.syntax import parse
from cranklane.records.messages import ConfigDelta, ConfigRow
from cranklane_lab.bench.capacity import capacity
from cranklane_lab.bench.measure import (
    Measurement,
    Wanted,
    phase_of,
    quantile,
    recovery_of,
    repeats,
    wasted_part,
)
from cranklane_lab.bench.scenarios import BENCH_SCENARIOS, NORMAL_PART, BenchScenario
from cranklane_lab.bench.variants import VARIANTS, Variant
from cranklane_lab.deployments import CLIENT_ZONE, DEPLOYMENTS, Deployment, RequestKind
from cranklane_lab.scenarios.base import Run, without
from cranklane_lab.simulate import quiet
from cranklane_lab.simulation.fleet import SimulatedFleet
from cranklane_lab.simulation.world import World, simulate
from cranklane_lab.standins.client import Client

SLOW_FACTOR = 20.0
"""All work takes this many times longer than planned, so that a run's requests
are few enough to simulate; capacity falls by the same factor."""

WARM_UP_SECONDS = 2.0
BEFORE_SECONDS = 3.0
DISTURBED_SECONDS = 5.0
AFTER_SECONDS = 10.0
DEADLINE_MS = 3000
_PAUSE_SECONDS = 0.02
OTHER_TENANT = "other"


@dataclass
class _Times:
    """When the parts of a run began and ended, in virtual seconds."""

    start: float
    disturbed: float = 0.0
    ended: float = 0.0
    last: float = 0.0


class BenchRun:
    """One variant in one scenario."""

    def __init__(self, deployment: Deployment, scenario: BenchScenario, variant: Variant) -> None:
        self._deployment = _with_other_tenant(deployment)
        self._scenario = scenario
        self._variant = variant
        self._criticality = _criticalities(self._deployment)
        self._wanted: list[Wanted] = []
        self._numbers = 0

    def play(self, world: World) -> Measurement:
        """Run it in a world."""
        fleet = SimulatedFleet(world, self._deployment, workers_shed=self._variant.workers_shed)
        run = Run(world, fleet)
        fleet.on_run = run.recorder.ran
        fleet.start(1, 1)
        for pair in fleet.pairs:
            pair.worker.state.slow_factor = SLOW_FACTOR
        return self._measure(run)

    def _measure(self, run: Run) -> Measurement:
        now = run.world.loop.now
        total = WARM_UP_SECONDS + BEFORE_SECONDS + DISTURBED_SECONDS + AFTER_SECONDS
        rate = NORMAL_PART * capacity(self._deployment, SLOW_FACTOR)
        client = run.fleet.client()
        times = _Times(start=now())
        load = [gevent.spawn(self._load, run, client, self._deployment.name, rate, total)]
        gevent.sleep(WARM_UP_SECONDS + BEFORE_SECONDS)
        times.disturbed = now()
        load += self._surge(run, client, rate)
        if self._scenario.disturb is not None:
            gevent.spawn(self._scenario.disturb, run, DISTURBED_SECONDS, SLOW_FACTOR)
        gevent.sleep(DISTURBED_SECONDS)
        times.ended = now()
        gevent.joinall(load)
        times.last = times.start + total
        return self._result(run, times)

    def _surge(self, run: Run, client: Client, rate: float) -> list[Greenlet]:
        """Start what is wanted beyond the normal rate, by the tenant that surges."""
        extra = rate * (self._scenario.surge - 1)
        if extra <= 0:
            return []
        tenant = self._deployment.name
        if self._scenario.surging_tenant:
            tenant = OTHER_TENANT
            process = run.world.process("other-client", CLIENT_ZONE)
            address = run.fleet.edge_address
            client = Client(process, address, self._deployment.name, f"{OTHER_TENANT}-demo")
        return [gevent.spawn(self._load, run, client, tenant, extra, DISTURBED_SECONDS)]

    def _result(self, run: Run, times: _Times) -> Measurement:
        recorder, wanted = run.recorder, self._wanted
        refused = Counter(
            f"{sent.told.outcome}: {sent.told.reason}"
            for sent in recorder.sent
            if not sent.told.good
        )
        before = [
            sent.told.seconds * 1000
            for sent in recorder.sent
            if sent.told.good and sent.at < times.disturbed
        ]
        return Measurement(
            variant=self._variant.name,
            before=phase_of(wanted, times.start + WARM_UP_SECONDS, times.disturbed),
            during=phase_of(wanted, times.disturbed, times.ended),
            after=phase_of(wanted, times.ended, times.last),
            recovery_seconds=recovery_of(wanted, times.ended, times.last),
            wasted=wasted_part(recorder, wanted, _seconds_of(self._deployment)),
            repeats_per_request=repeats(recorder, wanted),
            refused=dict(sorted(refused.items())),
            p50_ms=quantile(before, 0.5),
            p99_ms=quantile(before, 0.99),
        )

    def _load(self, run: Run, client: Client, tenant: str, rate: float, seconds: float) -> None:
        random = run.world.random
        kinds = list(self._deployment.requests)
        weights = [kind.weight for kind in kinds]
        until = run.world.loop.now() + seconds
        tasks = []
        while run.world.loop.now() < until:
            gevent.sleep(random.expovariate(rate))
            kind = random.choices(kinds, weights)[0]
            tasks.append(gevent.spawn(self._want, run, client, tenant, kind))
        gevent.joinall(tasks)

    def _want(self, run: Run, client: Client, tenant: str, kind: RequestKind) -> None:
        """Send one request as an impatient client does: again, and at once."""
        self._numbers += 1
        number = self._numbers
        at = run.world.loop.now()
        nonces: list[str] = []
        good = False
        while not good and len(nonces) <= self._scenario.client_retries:
            nonces.append(f"{tenant}-{number}" if kind.once else f"{tenant}-{number}-{len(nonces)}")
            told = run.send(client, kind, nonces[-1], f"key-{tenant}-{number}", DEADLINE_MS)
            good = told.good
            gevent.sleep(_PAUSE_SECONDS)
        ended = run.world.loop.now()
        criticality = self._criticality[kind.name]
        self._wanted.append(Wanted(at, ended, kind.name, tenant, criticality, tuple(nonces), good))


def _with_other_tenant(deployment: Deployment) -> Deployment:
    """Let a second tenant's clients call the deployment's services too."""
    digest = hashlib.sha256(f"{OTHER_TENANT}-demo".encode()).hexdigest()
    own = f"{deployment.name}.edge"
    text = deployment.policy().replace(own, f"{own}, {OTHER_TENANT}.edge")
    text += f"\ntenant {OTHER_TENANT} {{\n  share 100\n  token sha256:{digest}\n}}\n"
    return replace(deployment, policy_text=text)


def _criticalities(deployment: Deployment) -> dict[str, str]:
    """Return the criticality of each kind of request, by name."""
    rows = [
        ConfigRow(1, key, row) for key, row in compile_policy(parse(deployment.policy())).items()
    ]
    configuration = NodeConfiguration()
    configuration.adopt(ConfigDelta(0, 1, True, rows))
    found = {}
    for kind in deployment.requests:
        service = configuration.service(deployment.name, kind.service)
        route = service.route(kind.method, kind.path.format(n="1")) if service else None
        found[kind.name] = route.criticality.name.lower() if route else "unknown"
    return found


def _seconds_of(deployment: Deployment) -> dict[str, float]:
    return {
        f"{plan.name} {name}": work.seconds
        for plan in deployment.services
        for name, work in plan.work.items()
    }


def _run_one(arguments: tuple[str, str, str, int]) -> Measurement:
    quiet()
    deployment, scenario, variant, seed = arguments
    chosen = VARIANTS[variant]
    plan = DEPLOYMENTS[deployment]
    run = BenchRun(plan, BENCH_SCENARIOS[scenario], chosen)
    with without(chosen.without):
        result: Measurement = simulate(seed, plan.between_zones, run.play)
    return result


def run_bench(deployment: str, scenario: str, seed: int, variants: list[str], as_json: bool) -> int:
    """Run the variants, several at once, and print them side by side."""
    work = [(deployment, scenario, variant, seed) for variant in variants]
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(len(work), os.cpu_count() or 1)) as pool:
        results = pool.map(_run_one, work, chunksize=1)
    if as_json:
        print(json.dumps([asdict(result) for result in results]))
    else:
        _print(deployment, scenario, seed, results)
    return 0


def _print(deployment: str, scenario: str, seed: int, results: list[Measurement]) -> None:
    limit = capacity(_with_other_tenant(DEPLOYMENTS[deployment]), SLOW_FACTOR)
    print(f"{deployment} {scenario} seed {seed}: capacity {limit:.0f} requests/s of the usual mix")
    print(
        f"{'variant':<14}{'phase':<8}{'offered/s':>10}{'good/s':>8}  "
        f"{'recovery s':>10}{'wasted':>8}{'repeats':>9}  good part by criticality and tenant"
    )
    for result in results:
        phases: list[tuple[str, Any]] = [
            ("before", result.before),
            ("during", result.during),
            ("after", result.after),
        ]
        for name, phase in phases:
            last = name == "after"
            recovery = f"{result.recovery_seconds:>10.1f}" if last else " " * 10
            wasted = f"{result.wasted:>8.1%}" if last else " " * 8
            repeated = f"{result.repeats_per_request:>9.3f}" if last else " " * 9
            parts = ", ".join(f"{key} {part:.1%}" for key, part in phase.good_part.items())
            print(
                f"{result.variant:<14}{name:<8}{phase.offered:>10.0f}{phase.goodput:>8.0f}  "
                f"{recovery}{wasted}{repeated}  {parts}"
            )
        most = sorted(result.refused.items(), key=lambda item: -item[1])[:4]
        print(f"{'':<14}p50 {result.p50_ms:.0f} ms, p99 {result.p99_ms:.0f} ms before; ", end="")
        print("not whole: " + (", ".join(f"{key} {count}" for key, count in most) or "none"))
