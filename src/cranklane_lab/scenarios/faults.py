"""Faults to inject into a simulated fleet."""

from __future__ import annotations

import gevent

from cranklane_lab.scenarios.base import Run
from cranklane_lab.simulation.fleet import SimulatedPair


def slow_down(run: Run, service: str, factor: float) -> None:
    """Multiply the work time of a service's workers by ``factor``."""
    for pair in run.fleet.of(service):
        pair.worker.state.slow_factor = factor


def kill_worker(run: Run, pair: SimulatedPair) -> None:
    """Kill a worker."""
    run.world.log(f"kill {pair.name}-worker")
    pair.worker_process.kill()


def restart_worker(run: Run, pair: SimulatedPair) -> None:
    """Restart a worker on its machine with its slowdown and child retries."""
    state = pair.worker.state
    pair.worker_process = run.world.process(f"{pair.name}-worker", pair.zone, pair.host)
    pair.worker = run.fleet.start_worker(pair.worker_process, pair.plan, pair.name)
    pair.worker.state.slow_factor = state.slow_factor
    pair.worker.state.child_retries = state.child_retries


def restart_node(run: Run, pair: SimulatedPair, after: float) -> None:
    """Kill a node and restart it after ``after`` seconds."""
    run.world.log(f"kill {pair.name}-node")
    pair.node_process.kill()
    gevent.sleep(after)
    start_node(run, pair)


def start_node(run: Run, pair: SimulatedPair) -> None:
    """Start a node in place of the previous one."""
    pair.node_process, pair.node = run.fleet.start_node(pair.plan, pair.name, pair.zone, pair.host)


def fail_over_node(run: Run, pair: SimulatedPair) -> None:
    """Shut a node down gracefully while its replacement takes over the ports."""
    stopping, process = pair.node, pair.node_process
    run.world.log(f"stop {pair.name}-node")
    stop = process.spawn(stopping.stop)
    gevent.sleep(0.3)
    start_node(run, pair)
    stop.join()
    process.kill()


def fail_over_edge(run: Run) -> None:
    """Shut the edge down gracefully while its replacement takes over the port."""
    fleet = run.fleet
    stopping, process = fleet.edge, fleet.edge_process
    run.world.log("stop edge")
    fleet.start_edge()
    gevent.sleep(0.5)
    stop = process.spawn(stopping.stop)
    stop.join()
    process.kill()


def inject_ledger_faults(run: Run, seconds: float) -> None:
    """Kill, freeze or isolate random ledger replicas, one at a time, for ``seconds``."""
    random = run.world.random
    ends_at = run.world.loop.now() + seconds
    while run.world.loop.now() < ends_at:
        gevent.sleep(random.uniform(0.3, 1.0))
        number = random.randrange(len(run.fleet.ledgers))
        process = run.fleet.ledger_processes[number]
        kind = random.choice(("kill", "freeze", "cut"))
        run.world.log(f"ledger fault {kind} {number}")
        match kind:
            case "kill":
                process.kill(power_lost=random.random() < 0.5)
                gevent.sleep(random.uniform(0.1, 1.0))
                run.fleet.restart_ledger(number)
            case "freeze":
                process.freeze(random.uniform(0.5, 2.0))
            case "cut":
                _isolate_ledger(run, process.name)
        gevent.sleep(random.uniform(1.0, 2.0))


def _isolate_ledger(run: Run, name: str) -> None:
    peer_names = [process.name for process in run.fleet.ledger_processes if process.name != name]
    for peer_name in peer_names:
        run.world.network.cut(name, peer_name)
        run.world.network.cut(peer_name, name)
    gevent.sleep(run.world.random.uniform(0.5, 2.0))
    for peer_name in peer_names:
        run.world.network.heal(name, peer_name)
        run.world.network.heal(peer_name, name)


def inject_random_faults(run: Run, seconds: float) -> None:
    """Inject random, possibly overlapping faults for ``seconds``."""
    random = run.world.random
    ends_at = run.world.loop.now() + seconds
    while run.world.loop.now() < ends_at:
        gevent.sleep(random.uniform(0.2, 0.7))
        pair = random.choice(run.fleet.pairs)
        kind = random.choice(("worker", "node", "freeze", "cut", "slow", "control"))
        run.world.log(f"fault {kind} {pair.name}")
        gevent.spawn(_FAULTS[kind], run, pair)
    gevent.sleep(2.0)
    run.world.network.heal_all()


def _worker_fault(run: Run, pair: SimulatedPair) -> None:
    if pair.worker_process.dead:
        return
    kill_worker(run, pair)
    gevent.sleep(run.world.random.uniform(0.1, 1.0))
    restart_worker(run, pair)


def _node_fault(run: Run, pair: SimulatedPair) -> None:
    if pair.node_process.dead:
        return
    restart_node(run, pair, after=run.world.random.uniform(0.1, 1.0))


def _freeze_fault(run: Run, pair: SimulatedPair) -> None:
    pair.node_process.freeze(run.world.random.uniform(0.2, 5.0))


def _cut_fault(run: Run, pair: SimulatedPair) -> None:
    second_pair = run.world.random.choice(run.fleet.pairs)
    names = (pair.node_process.name, second_pair.node_process.name)
    one_way = run.world.random.random() < 0.5
    run.world.network.cut(*names)
    if not one_way:
        run.world.network.cut(names[1], names[0])
    gevent.sleep(run.world.random.uniform(0.5, 5.0))
    run.world.network.heal(*names)
    run.world.network.heal(names[1], names[0])


def _slow_fault(run: Run, pair: SimulatedPair) -> None:
    pair.worker.state.slow_factor = 20.0
    gevent.sleep(run.world.random.uniform(0.3, 2.0))
    pair.worker.state.slow_factor = 1.0


def _control_fault(run: Run, _pair: SimulatedPair) -> None:
    number = run.world.random.randrange(len(run.fleet.controls))
    process = run.fleet.control_processes[number]
    if process.dead:
        return
    process.kill(power_lost=run.world.random.random() < 0.5)
    gevent.sleep(run.world.random.uniform(0.2, 2.0))
    run.fleet.start_control(number, process.host)


_FAULTS = {
    "worker": _worker_fault,
    "node": _node_fault,
    "freeze": _freeze_fault,
    "cut": _cut_fault,
    "slow": _slow_fault,
    "control": _control_fault,
}
