"""Scenarios for the control group: its replicas, operators and subscribed nodes."""

from __future__ import annotations

import gevent

from cranklane_lab.scenarios.base import Run
from cranklane_lab.scenarios.edits import DocumentState, EditHistory
from cranklane_lab.simulation.fleet import SimulatedFleet
from cranklane_lab.standins.operator import SimulatedOperator

IN_FORCE_SECONDS = 9.0
"""Maximum time until an accepted configuration is in force on all live nodes."""

NEW_LEADER_SECONDS = 6.0
"""Maximum time from the loss of a leader until edits are accepted again."""

_POLL_SECONDS = 0.1


def policy_with_edit(fleet: SimulatedFleet, number: int) -> str:
    """Return the deployment's policy with a comment that makes edit ``number`` unique."""
    return f"{fleet.deployment.policy()}\n# edit {number}\n"


def new_history(run: Run) -> EditHistory:
    """Return an empty history of the deployment's policy document."""
    fleet = run.fleet
    first = DocumentState(1, fleet.deployment.policy())
    return EditHistory(run.world, fleet.deployment.name, first)


def _control_names(run: Run) -> list[str]:
    return [process.name for process in run.fleet.control_processes]


def cut_from_others(run: Run, number: int) -> None:
    """Cut the links between a control process and the others, in both directions."""
    name = run.fleet.control_processes[number].name
    for peer_name in _control_names(run):
        if peer_name != name:
            run.world.network.cut(name, peer_name)
            run.world.network.cut(peer_name, name)


def leader_number(run: Run) -> int:
    """Wait for a leader and return its number."""
    while True:
        leader = run.fleet.leader()
        if leader is not None:
            return run.fleet.controls.index(leader)
        gevent.sleep(_POLL_SECONDS)


def keep_editing(run: Run, history: EditHistory, name: str, seconds: float) -> None:
    """Read and edit the document repeatedly for ``seconds``."""
    operator = run.fleet.operator(name)
    ends_at = run.world.loop.now() + seconds
    number = 0
    while run.world.loop.now() < ends_at:
        number += 1
        read = history.read(operator)
        if read.status == 200:
            text = f"{run.fleet.deployment.policy()}\n# edit {name} {number}\n"
            history.edit(operator, text, read.media["version"], f"{name}-{number}")
        gevent.sleep(run.world.random.uniform(0.05, 0.4))


def check_in_force(run: Run, version: int, seconds: float = IN_FORCE_SECONDS) -> None:
    """Check that a version is in force on all live nodes within ``seconds``."""
    ends_at = run.world.loop.now() + seconds
    while run.world.loop.now() < ends_at:
        if not _nodes_behind(run, version):
            return
        gevent.sleep(_POLL_SECONDS)
    behind = ", ".join(_nodes_behind(run, version))
    run.recorder.violate("config-in-force", f"version {version} is not in force on {behind}")


def _nodes_behind(run: Run, version: int) -> list[str]:
    nodes = [(pair.name, pair.node_process, pair.node) for pair in run.fleet.pairs]
    nodes.append(("edge", run.fleet.edge_process, run.fleet.edge))
    return [
        name
        for name, process, node in nodes
        if not process.dead and node.configuration.version < version
    ]


def check_history(run: Run, history: EditHistory) -> None:
    """Check that the operators' edits and reads are linearizable."""
    if not history.is_linearizable():
        run.recorder.violate(
            "config-history", "the operators' edits and reads are not linearizable"
        )


def final_read(run: Run, history: EditHistory) -> None:
    """Read the document at the end, to detect the loss of an accepted edit."""
    operator = run.fleet.operator("final")
    answer = history.read(operator)
    if answer.status != 200:
        run.recorder.violate("config-history", "the final read of the document failed")
    check_history(run, history)


def config_monotonic(run: Run) -> None:
    """Operators edit while control machines fail; then a stale replica serves nodes."""
    history = new_history(run)
    editors = [
        gevent.spawn(keep_editing, run, history, f"editor-{number}", 6.0) for number in range(2)
    ]
    _inject_control_faults(run, 6.0)
    gevent.joinall(editors)
    check_in_force(run, history.newest)
    _serve_from_stale_replica(run, history)
    check_in_force(run, history.newest)
    final_read(run, history)


def _inject_control_faults(run: Run, seconds: float) -> None:
    random = run.world.random
    ends_at = run.world.loop.now() + seconds
    while run.world.loop.now() < ends_at:
        gevent.sleep(random.uniform(0.3, 1.2))
        number = random.randrange(len(run.fleet.controls))
        kind = random.choice(("kill", "power", "freeze", "cut", "one-way"))
        run.world.log(f"control fault {kind} {number}")
        _inject_control_fault(run, kind, number)
    run.world.network.heal_all()


def _inject_control_fault(run: Run, kind: str, number: int) -> None:
    random = run.world.random
    process = run.fleet.control_processes[number]
    match kind:
        case "kill" | "power":
            process.kill(power_lost=kind == "power")
            gevent.sleep(random.uniform(0.1, 1.0))
            run.fleet.start_control(number, process.host)
        case "freeze":
            process.freeze(random.uniform(0.5, 3.0))
        case "cut":
            cut_from_others(run, number)
            gevent.sleep(random.uniform(0.5, 3.0))
            run.world.network.heal_all()
        case "one-way":
            peer_name = random.choice([n for n in _control_names(run) if n != process.name])
            run.world.network.cut(process.name, peer_name)
            gevent.sleep(random.uniform(0.5, 3.0))
            run.world.network.heal_all()


def _serve_from_stale_replica(run: Run, history: EditHistory) -> None:
    """Isolate one replica from an edit, then freeze all the others."""
    leader = leader_number(run)
    stale = (leader + 1) % len(run.fleet.controls)
    cut_from_others(run, stale)
    operator = run.fleet.operator("late")
    read = history.read(operator)
    version = history.edit(
        operator, policy_with_edit(run.fleet, 999), read.media["version"], "late"
    )
    check_in_force(run, version.media.get("version", 0))
    for number, process in enumerate(run.fleet.control_processes):
        if number != stale:
            process.freeze(14.0)
    gevent.sleep(14.5)
    run.world.network.heal_all()


def control_cut(run: Run) -> None:
    """A long partition separates the leader from the other control machines."""
    history = new_history(run)
    old_leader = leader_number(run)
    operator, inside = run.fleet.operator("outside"), run.fleet.operator("inside")
    cut_from_others(run, old_leader)
    name = run.fleet.control_processes[old_leader].name
    run.world.network.cut("operator-outside", name)
    run.world.network.cut(name, "operator-outside")
    version = history.first.version
    for number in range(8):
        started = run.world.loop.now()
        answer = history.edit(
            operator, policy_with_edit(run.fleet, number), version, f"edit-{number}", 60
        )
        if not answer.accepted:
            run.recorder.violate("config-history", f"edit {number}: {answer.status}")
            continue
        version = answer.media["version"]
        if run.world.loop.now() - started > NEW_LEADER_SECONDS + IN_FORCE_SECONDS:
            run.recorder.violate(
                "control-cut",
                f"edit {number} exceeded the time limit for a new leader",
            )
        read_at = run.world.loop.now()
        address = (run.fleet.control_processes[old_leader].host, 80)
        path = f"/v1/documents/{history.document}"
        history.record_read(read_at, inside.ask(address, "GET", path))
        check_in_force(run, version)
        gevent.sleep(1.0)
    run.world.network.heal_all()
    gevent.sleep(3.0)
    final_read(run, history)


def operator_race(run: Run) -> None:
    """Concurrent edits of the same version lose their responses and are retried."""
    history = new_history(run)
    operators = [run.fleet.operator(f"racer-{number}") for number in range(4)]
    version = history.first.version
    for round_ in range(4):
        tasks = [
            gevent.spawn(_race, run, history, operator, version, f"{round_}-{number}")
            for number, operator in enumerate(operators)
        ]
        gevent.sleep(run.world.random.uniform(0.0, 0.03))
        _restart_leader(run)
        gevent.joinall(tasks)
        accepted = [task.value for task in tasks if task.value.accepted]
        if len(accepted) != 1:
            run.recorder.violate("operator-race", f"{len(accepted)} of 4 edits were accepted")
        version = max([version, *(answer.media["version"] for answer in accepted)])
        _check_retries(run, history, operators, round_, [task.value for task in tasks])
    final_read(run, history)


def _race(
    run: Run, history: EditHistory, operator: SimulatedOperator, base: int, request: str
) -> object:
    text = f"{run.fleet.deployment.policy()}\n# race {request}\n"
    return history.edit(operator, text, base, request, 40)


def _restart_leader(run: Run) -> None:
    """Kill and restart the leader, then compact all control logs."""
    number = leader_number(run)
    process = run.fleet.control_processes[number]
    process.kill(power_lost=run.world.random.random() < 0.5)
    gevent.sleep(run.world.random.uniform(0.2, 2.0))
    run.fleet.start_control(number, process.host)
    for control in run.fleet.controls:
        with control.replica.state_lock:
            control.replica.compact()


def _check_retries(
    run: Run,
    history: EditHistory,
    operators: list[SimulatedOperator],
    round_: int,
    first_answers: list,
) -> None:
    """Check that a retry of each edit gets the same response as its first attempt."""
    for number, operator in enumerate(operators):
        request = f"{round_}-{number}"
        text = f"{run.fleet.deployment.policy()}\n# race {request}\n"
        retried = operator.edit(history.document, text, 0, request, 40)
        first_answer = first_answers[number]
        if first_answer.is_final and (retried.status, retried.media.get("version")) != (
            first_answer.status,
            first_answer.media.get("version"),
        ):
            run.recorder.violate(
                "operator-race",
                f"{request} got status {first_answer.status}, then {retried.status} on its retry",
            )


def second_loss(run: Run) -> None:
    """Machines lose their disks one after another, each after the previous repair."""
    history = new_history(run)
    operator = run.fleet.operator("keeper")
    version = history.first.version
    for round_ in range(4):
        answer = history.edit(
            operator, policy_with_edit(run.fleet, round_), version, f"k-{round_}", 60
        )
        if not answer.accepted:
            run.recorder.violate("config-history", f"edit {round_}: {answer.status}")
            return
        version = answer.media["version"]
        _replace_with_empty_disk(run, _random_control(run))
        if round_ % 2:
            _wait_for_voters(run)
    _isolate_then_wipe(run, history, operator, version)
    _wait_for_voters(run)
    final_read(run, history)
    check_in_force(run, history.newest)


def _random_control(run: Run) -> int:
    return run.world.random.randrange(len(run.fleet.controls))


def _replace_with_empty_disk(run: Run, number: int) -> None:
    """Wait until all replicas vote, then replace a machine by one with an empty disk."""
    _wait_for_voters(run)
    run.world.log(f"disk lost {number}")
    _power_cycle(run, number, run.world.random.uniform(0.0, 0.5), wiped=True)


def _wait_for_voters(run: Run) -> None:
    """Wait until every control process is a voter under its current identity."""
    ends_at = run.world.loop.now() + 60.0
    while run.world.loop.now() < ends_at:
        leader = run.fleet.leader()
        if leader is not None and _are_all_voters(run, leader.replica.members.voters()):
            return
        gevent.sleep(_POLL_SECONDS)
    run.recorder.violate("second-loss", "the group was not repaired within 60 s")


def _are_all_voters(run: Run, voters: list) -> bool:
    identities = {member.identity for member in voters}
    return identities == {control.replica.identity for control in run.fleet.controls}


def _isolate_then_wipe(
    run: Run, history: EditHistory, operator: SimulatedOperator, version: int
) -> None:
    """Isolate one replica from an edit, wipe the second and freeze the leader.

    The stale and the wiped replica form a majority by number, but must not elect a
    leader: neither holds the edit.
    """
    leader = leader_number(run)
    isolated, wiped = (leader + 1) % 3, (leader + 2) % 3
    cut_from_others(run, isolated)
    history.edit(operator, policy_with_edit(run.fleet, 100), version, "left-out", 30)
    run.fleet.control_processes[leader].freeze(8.0)
    _power_cycle(run, wiped, wiped=True)
    run.world.network.heal_all()
    gevent.sleep(7.0)
    history.read(operator, 6.0)
    gevent.sleep(2.0)


def restart_after_changes(run: Run) -> None:
    """Hundreds of edits with restarts in between, then a restart of all processes at once."""
    history = new_history(run)
    operator = run.fleet.operator("busy")
    version = history.first.version
    for number in range(200):
        answer = history.edit(
            operator, policy_with_edit(run.fleet, number), version, f"c-{number}", 60
        )
        if not answer.accepted:
            run.recorder.violate("config-history", f"edit {number}: {answer.status}")
            return
        version = answer.media["version"]
        if run.world.random.random() < 0.03:
            _power_cycle(run, run.world.random.randrange(len(run.fleet.controls)))
    for process in run.fleet.control_processes:
        process.kill(power_lost=True)
    run.watching = False
    for pair in run.fleet.pairs:
        pair.node_process.kill(power_lost=True)
    gevent.sleep(1.0)
    for number, process in enumerate(run.fleet.control_processes):
        run.fleet.start_control(number, process.host)
    for pair in run.fleet.pairs:
        pair.node_process, pair.node = run.fleet.start_node(
            pair.plan, pair.name, pair.zone, pair.host
        )
        run.recorder.record_version(pair.name, pair.node.configuration.version)
    final_read(run, history)
    check_in_force(run, version)


def _power_cycle(run: Run, number: int, after: float = 0.0, wiped: bool = False) -> None:
    """Power-cycle a control machine, optionally with an empty disk.

    :param after: seconds without power.
    """
    process = run.fleet.control_processes[number]
    process.kill(power_lost=True)
    if wiped:
        process.disk.wipe()
    gevent.sleep(after)
    run.fleet.start_control(number, process.host)
