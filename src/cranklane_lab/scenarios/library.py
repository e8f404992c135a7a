"""The built-in scenarios."""

from __future__ import annotations

from dataclasses import replace

import gevent

from cranklane_lab.deployments import SONGHAN, Deployment, RequestKind, chain
from cranklane_lab.scenarios.base import Run, Scenario
from cranklane_lab.scenarios.control import (
    config_monotonic,
    control_cut,
    operator_race,
    restart_after_changes,
    second_loss,
)
from cranklane_lab.scenarios.faults import (
    fail_over_edge,
    fail_over_node,
    inject_ledger_faults,
    inject_random_faults,
    kill_worker,
    restart_node,
    restart_worker,
    slow_down,
)


def _with_workers(deployment: Deployment, workers: int) -> Deployment:
    services = tuple(replace(plan, workers=workers) for plan in deployment.services)
    return replace(deployment, services=services)


SMALL = _with_workers(SONGHAN, 2)
TINY = chain(2, workers=2)
DEEP = chain(14, workers=2)


def _kind(run: Run, name: str) -> RequestKind:
    return next(kind for kind in run.fleet.deployment.requests if kind.name == name)


def _retry_bound(run: Run) -> None:
    """Leaf workers fail, every worker retries failed child calls, a node crashes."""
    fleet = run.fleet
    for pair in fleet.pairs:
        pair.worker.state.child_retries = 3
    leaves = fleet.of(f"s{len(fleet.deployment.services) - 1}")
    for pair in leaves:
        pair.worker.state.fail_fraction = 0.9
    traffic = run.traffic(fleet.client(), rate=8, seconds=1.0)
    gevent.sleep(0.3)
    middle = fleet.of("s7")[0]
    restart_node(run, middle, after=0.2)
    traffic.join()


def _criticality_order(run: Run) -> None:
    """Demand is twice the archive's capacity, most of it background work."""
    fleet = run.fleet
    slow_down(run, "archive", 10.0)
    client = fleet.client()
    critical = run.traffic(client, 50, 2.0, [_kind(run, "read-minutes")])
    background = run.traffic(client, 150, 2.0, [_kind(run, "reindex")])
    gevent.joinall([critical, background])
    refused = [sent.result for sent in run.recorder.sent if sent.result.outcome == "not_run"]
    critical_refused = [result for result in refused if result.kind == "read-minutes"]
    if not any(result.kind == "reindex" for result in refused):
        run.recorder.violate(
            "criticality-order", "no background request was refused: the archive was not overloaded"
        )
    if critical_refused:
        run.recorder.violate(
            "criticality-order",
            f"{len(critical_refused)} archive reads were refused while background work ran, "
            f"first: {critical_refused[0].reason}",
        )


def _answer_integrity(run: Run) -> None:
    """Workers crash during downloads, and responses arrive after their deadline."""
    fleet = run.fleet
    slow_down(run, "archive", 4.0)
    client = fleet.client()
    downloads = run.traffic(client, 10, 1.5, [_kind(run, "recording")])
    reads = gevent.spawn(_impatient_reads, run)
    gevent.spawn(_delay_answers, run)
    for pair in fleet.of("audio"):
        gevent.sleep(0.3 + 0.2 * run.world.random.random())
        kill_worker(run, pair)
        gevent.sleep(0.2)
        restart_worker(run, pair)
    gevent.joinall([downloads, reads])


def _delay_answers(run: Run) -> None:
    """Delay responses of the archive's nodes until their callers time out."""
    network = run.world.network
    for _ in range(6):
        for pair in run.fleet.of("archive"):
            network.cut(pair.node_process.name, "edge")
        gevent.sleep(0.15)
        for pair in run.fleet.of("archive"):
            network.heal(pair.node_process.name, "edge")
        gevent.sleep(0.1)


def _impatient_reads(run: Run) -> None:
    client = run.fleet.client("impatient")
    kind = _kind(run, "read-minutes")
    tasks = []
    for _ in range(120):
        deadline_ms = run.world.random.choice((40, 55, 70, 2000))
        tasks.append(gevent.spawn(run.send, client, kind, "", "", deadline_ms))
        gevent.sleep(0.01)
    gevent.joinall(tasks)


def _not_run(run: Run) -> None:
    """Workers crash while they run calls, and the other nodes refuse."""
    fleet = run.fleet
    slow_down(run, "archive", 10.0)
    client = fleet.client()
    traffic = run.traffic(client, 60, 2.0, [_kind(run, "read-minutes"), _kind(run, "reindex")])
    pairs = fleet.of("archive")
    for _ in range(3):
        gevent.sleep(0.3 + 0.2 * run.world.random.random())
        kill_worker(run, pairs[0])
        pairs[1].node.admission.draining = True
        gevent.sleep(0.2)
        pairs[1].node.admission.draining = False
        restart_worker(run, pairs[0])
    traffic.join()


def _at_most_once(run: Run) -> None:
    """Clients send and retry signing requests while workers, nodes and ledgers fail."""
    fleet = run.fleet
    client = fleet.client()
    kinds = [_kind(run, "sign")]
    traffic = [run.traffic(client, 15, 6.0, kinds, client_retries=4) for _ in range(2)]
    ledger_faults = gevent.spawn(inject_ledger_faults, run, 6.0)
    random = run.world.random
    for _ in range(6):
        gevent.sleep(random.uniform(0.3, 1.2))
        pair = random.choice(fleet.of("signing"))
        match random.choice(("worker", "node", "freeze", "cut")):
            case "worker" if not pair.worker_process.dead:
                kill_worker(run, pair)
                gevent.sleep(0.2)
                restart_worker(run, pair)
            case "node" if not pair.node_process.dead:
                restart_node(run, pair, after=0.3)
            case "freeze":
                pair.node_process.freeze(random.uniform(0.5, 5.0))
            case "cut":
                run.world.network.cut(pair.node_process.name, "edge")
                gevent.sleep(random.uniform(0.2, 1.0))
                run.world.network.heal(pair.node_process.name, "edge")
    gevent.joinall([*traffic, ledger_faults])
    signed = [sent for sent in run.recorder.sent if sent.result.good]
    if len(signed) < 20:
        run.recorder.violate(
            "at-most-once", f"only {len(signed)} signing requests succeeded, expected at least 20"
        )


def _leaving(run: Run) -> None:
    """A node drains while its worker's load endpoint still reports healthy."""
    fleet = run.fleet
    traffic = run.traffic(fleet.client(), 60, 7.0, [_kind(run, "read-minutes")])
    gevent.sleep(1.0)
    pair = fleet.of("archive")[0]
    run.recorder.drained[pair.name] = run.world.loop.now()
    pair.node.drain()
    traffic.join()
    for sent in run.recorder.sent:
        if not sent.result.good:
            run.recorder.violate(
                "leaving", f"{sent.result.nonce}: {sent.result.outcome} {sent.result.reason}"
            )


def _planned_stop(run: Run) -> None:
    """Nodes of every service and the edge are replaced during downloads."""
    fleet = run.fleet
    slow_down(run, "audio", 20.0)
    client = fleet.client()
    kinds = [_kind(run, name) for name in ("recording", "read-minutes", "reindex")]
    traffic = run.traffic(client, 40, 4.0, kinds)
    gevent.sleep(1.0)
    stops = []
    for service in ("audio", "archive", "transcripts"):
        stops.append(gevent.spawn(fail_over_node, run, fleet.of(service)[0]))
        gevent.sleep(0.3)
    stops.append(gevent.spawn(fail_over_edge, run))
    gevent.joinall(stops)
    traffic.join()
    for sent in run.recorder.sent:
        result = sent.result
        if not result.good:
            run.recorder.violate(
                "planned-stop",
                f"{result.nonce}: {result.outcome} {result.status} {result.reason}",
            )


def _deep_slowdown(run: Run) -> None:
    """A deep service slows down while demand surges and clients retry immediately."""
    fleet = run.fleet
    client = fleet.client()
    kinds = [_kind(run, "search"), _kind(run, "read-minutes")]
    calm = run.traffic(client, 40, 6.0, kinds, client_retries=3)
    gevent.sleep(1.0)
    slow_down(run, "audio", 60.0)
    surge = run.traffic(client, 120, 2.0, kinds, client_retries=3)
    gevent.sleep(2.0)
    slow_down(run, "audio", 1.0)
    ended = run.world.loop.now()
    gevent.joinall([calm, surge])
    late = [sent for sent in run.recorder.sent if sent.at > ended + 2.0]
    good = sum(sent.result.good for sent in late)
    if not late or good < 0.95 * len(late):
        run.recorder.violate(
            "recovery",
            f"{good} of {len(late)} requests succeeded 2 s or more after the slowdown ended",
        )


def _all_at_once(run: Run) -> None:
    """Kills, restarts, freezes, cuts and slowdowns at random times."""
    client = run.fleet.client()
    traffic = run.traffic(client, 40, 6.0, client_retries=1)
    inject_random_faults(run, seconds=5.0)
    traffic.join()


_SCENARIOS = (
    Scenario(
        "retry-bound",
        DEEP,
        _retry_bound,
        ledgers=0,
        mechanisms=("allowance",),
    ),
    Scenario(
        "criticality-order",
        SMALL,
        _criticality_order,
        mechanisms=("priority",),
    ),
    Scenario(
        "answer-integrity",
        SMALL,
        _answer_integrity,
        mechanisms=("answer-end", "call-numbers"),
    ),
    Scenario("not-run", SMALL, _not_run, mechanisms=("unknown-memory",)),
    Scenario(
        "at-most-once",
        SMALL,
        _at_most_once,
        mechanisms=("ledger",),
        ledgers=3,
    ),
    Scenario("leaving", SMALL, _leaving, mechanisms=("drain",)),
    Scenario(
        "planned-stop",
        SMALL,
        _planned_stop,
        mechanisms=("planned-stop",),
    ),
    Scenario("deep-slowdown", SMALL, _deep_slowdown),
    Scenario(
        "config-monotonic",
        TINY,
        config_monotonic,
        mechanisms=("version-order",),
        controls=3,
        ledgers=0,
    ),
    Scenario(
        "control-cut",
        TINY,
        control_cut,
        mechanisms=("leader-lease", "send-away"),
        controls=3,
        ledgers=0,
    ),
    Scenario(
        "operator-race",
        TINY,
        operator_race,
        mechanisms=("request-memory",),
        controls=3,
        ledgers=0,
    ),
    Scenario(
        "second-loss",
        TINY,
        second_loss,
        mechanisms=("replica-identity",),
        controls=3,
        ledgers=0,
    ),
    Scenario(
        "restart-after-changes",
        TINY,
        restart_after_changes,
        mechanisms=("log-sync",),
        controls=3,
        ledgers=0,
    ),
    Scenario("all-at-once", SMALL, _all_at_once, controls=3, ledgers=3),
)

SCENARIOS = {scenario.name: scenario for scenario in _SCENARIOS}
