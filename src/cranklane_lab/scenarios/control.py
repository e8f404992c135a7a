"""Failures that concern control: its replicas, its operators, what nodes hear of it."""

from __future__ import annotations

import gevent

from cranklane_lab.scenarios.base import Run
from cranklane_lab.scenarios.edits import DocumentState, EditHistory
from cranklane_lab.simulation.fleet import SimulatedFleet
from cranklane_lab.standins.operator import SimulatedOperator

IN_FORCE_SECONDS = 9.0
"""An accepted configuration is in force on all live nodes within this time."""

NEW_LEADER_SECONDS = 6.0
"""Edits are accepted again this long after a leader was lost."""

_LOOK_SECONDS = 0.1


def text_of(fleet: SimulatedFleet, number: int) -> str:
    """Return the deployment's policy with a mark that tells edits apart."""
    return f"{fleet.deployment.policy()}\n# edit {number}\n"


def history_of(run: Run) -> EditHistory:
    """Return an empty history of the deployment's document."""
    fleet = run.fleet
    first = DocumentState(1, fleet.deployment.policy())
    return EditHistory(run.world, fleet.deployment.name, first)


def _control_names(run: Run) -> list[str]:
    return [process.name for process in run.fleet.control_processes]


def cut_from_others(run: Run, number: int) -> None:
    """Cut a control process from the other ones, silently, both ways."""
    name = run.fleet.control_processes[number].name
    for other in _control_names(run):
        if other != name:
            run.world.network.cut(name, other)
            run.world.network.cut(other, name)


def leader_number(run: Run) -> int:
    """Return the number of the control process that leads; waits for one."""
    while True:
        leader = run.fleet.leader()
        if leader is not None:
            return run.fleet.controls.index(leader)
        gevent.sleep(_LOOK_SECONDS)


def keep_editing(run: Run, history: EditHistory, name: str, seconds: float) -> None:
    """Read the document and edit it, again and again."""
    operator = run.fleet.operator(name)
    until = run.world.loop.now() + seconds
    number = 0
    while run.world.loop.now() < until:
        number += 1
        read = history.read(operator)
        if read.status == 200:
            text = f"{run.fleet.deployment.policy()}\n# edit {name} {number}\n"
            history.edit(operator, text, read.media["version"], f"{name}-{number}")
        gevent.sleep(run.world.random.uniform(0.05, 0.4))


def check_in_force(run: Run, version: int, seconds: float = IN_FORCE_SECONDS) -> None:
    """Check that a version comes in force on all live nodes in time."""
    until = run.world.loop.now() + seconds
    while run.world.loop.now() < until:
        if not _behind(run, version):
            return
        gevent.sleep(_LOOK_SECONDS)
    behind = ", ".join(_behind(run, version))
    run.recorder.violate("config-in-force", f"version {version} is not in force on {behind}")


def _behind(run: Run, version: int) -> list[str]:
    nodes = [(pair.name, pair.node_process, pair.node) for pair in run.fleet.pairs]
    nodes.append(("edge", run.fleet.edge_process, run.fleet.edge))
    return [
        name
        for name, process, node in nodes
        if not process.dead and node.configuration.version < version
    ]


def check_history(run: Run, history: EditHistory) -> None:
    """Check that all answers to operators fit one order of their edits and reads."""
    if not history.is_linearizable():
        run.recorder.violate("config-history", "answers to operators contradict each other")


def final_read(run: Run, history: EditHistory) -> None:
    """Read the document at the end: nothing accepted may be missing."""
    operator = run.fleet.operator("final")
    answer = history.read(operator)
    if answer.status != 200:
        run.recorder.violate("config-history", "the document cannot be read at the end")
    check_history(run, history)


# Scenarios.


def config_monotonic(run: Run) -> None:
    """Operators edit while control machines fail; then an old replica answers nodes."""
    history = history_of(run)
    editors = [
        gevent.spawn(keep_editing, run, history, f"editor-{number}", 6.0) for number in range(2)
    ]
    _disturb_control(run, 6.0)
    gevent.joinall(editors)
    check_in_force(run, history.newest)
    _let_an_old_replica_answer(run, history)
    check_in_force(run, history.newest)
    final_read(run, history)


def _disturb_control(run: Run, seconds: float) -> None:
    random = run.world.random
    until = run.world.loop.now() + seconds
    while run.world.loop.now() < until:
        gevent.sleep(random.uniform(0.3, 1.2))
        number = random.randrange(len(run.fleet.controls))
        kind = random.choice(("kill", "power", "freeze", "cut", "one-way"))
        run.world.log(f"control fault {kind} {number}")
        _disturb_one(run, kind, number)
    run.world.network.heal_all()


def _disturb_one(run: Run, kind: str, number: int) -> None:
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
            other = random.choice([n for n in _control_names(run) if n != process.name])
            run.world.network.cut(process.name, other)
            gevent.sleep(random.uniform(0.5, 3.0))
            run.world.network.heal_all()


def _let_an_old_replica_answer(run: Run, history: EditHistory) -> None:
    """Keep one replica from an edit, then leave it alone with the nodes."""
    leader = leader_number(run)
    old = (leader + 1) % len(run.fleet.controls)
    cut_from_others(run, old)
    operator = run.fleet.operator("late")
    read = history.read(operator)
    version = history.edit(operator, text_of(run.fleet, 999), read.media["version"], "late")
    check_in_force(run, version.media.get("version", 0))
    for number, process in enumerate(run.fleet.control_processes):
        if number != old:
            process.freeze(14.0)
    gevent.sleep(14.5)
    run.world.network.heal_all()


def control_cut(run: Run) -> None:
    """The leader is cut from the other control machines for long, with no word of it."""
    history = history_of(run)
    old = leader_number(run)
    operator, inside = run.fleet.operator("outside"), run.fleet.operator("inside")
    cut_from_others(run, old)
    name = run.fleet.control_processes[old].name
    run.world.network.cut("operator-outside", name)
    run.world.network.cut(name, "operator-outside")
    version = history.first.version
    for number in range(8):
        started = run.world.loop.now()
        answer = history.edit(operator, text_of(run.fleet, number), version, f"edit-{number}", 60)
        if not answer.accepted:
            run.recorder.violate("config-history", f"edit {number}: {answer.status}")
            continue
        version = answer.media["version"]
        if run.world.loop.now() - started > NEW_LEADER_SECONDS + IN_FORCE_SECONDS:
            run.recorder.violate("control-cut", f"edit {number} took too long")
        read_at = run.world.loop.now()
        address = (run.fleet.control_processes[old].host, 80)
        path = f"/v1/documents/{history.document}"
        history.record_read(read_at, inside.ask(address, "GET", path))
        check_in_force(run, version)
        gevent.sleep(1.0)
    run.world.network.heal_all()
    gevent.sleep(3.0)
    final_read(run, history)


def operator_race(run: Run) -> None:
    """Operators edit from the same version at once, lose their answers and resend."""
    history = history_of(run)
    operators = [run.fleet.operator(f"racer-{number}") for number in range(4)]
    version = history.first.version
    for round_ in range(4):
        tasks = [
            gevent.spawn(_race, run, history, operator, version, f"{round_}-{number}")
            for number, operator in enumerate(operators)
        ]
        gevent.sleep(run.world.random.uniform(0.0, 0.03))
        _lose_the_leader(run)
        gevent.joinall(tasks)
        accepted = [task.value for task in tasks if task.value.accepted]
        if len(accepted) != 1:
            run.recorder.violate("operator-race", f"{len(accepted)} of 4 edits were accepted")
        version = max([version, *(answer.media["version"] for answer in accepted)])
        _check_resends(run, history, operators, round_, [task.value for task in tasks])
    final_read(run, history)


def _race(
    run: Run, history: EditHistory, operator: SimulatedOperator, base: int, request: str
) -> object:
    text = f"{run.fleet.deployment.policy()}\n# race {request}\n"
    return history.edit(operator, text, base, request, 40)


def _lose_the_leader(run: Run) -> None:
    """Cut the answers off, end the leader, start it again."""
    number = leader_number(run)
    process = run.fleet.control_processes[number]
    process.kill(power_lost=run.world.random.random() < 0.5)
    gevent.sleep(run.world.random.uniform(0.2, 2.0))
    run.fleet.start_control(number, process.host)
    for control in run.fleet.controls:
        with control.replica.state_lock:
            control.replica.compact()


def _check_resends(
    run: Run,
    history: EditHistory,
    operators: list[SimulatedOperator],
    round_: int,
    first: list,
) -> None:
    """Every operator asks again; each must get the first answer again."""
    for number, operator in enumerate(operators):
        request = f"{round_}-{number}"
        text = f"{run.fleet.deployment.policy()}\n# race {request}\n"
        again = operator.edit(history.document, text, 0, request, 40)
        before = first[number]
        if before.settled and (again.status, again.media.get("version")) != (
            before.status,
            before.media.get("version"),
        ):
            run.recorder.violate(
                "operator-race",
                f"{request} was told {before.status}, then {again.status} on its resend",
            )


def second_loss(run: Run) -> None:
    """A machine is lost right after another was repaired, each with its disk."""
    history = history_of(run)
    operator = run.fleet.operator("keeper")
    version = history.first.version
    for round_ in range(4):
        answer = history.edit(operator, text_of(run.fleet, round_), version, f"k-{round_}", 60)
        if not answer.accepted:
            run.recorder.violate("config-history", f"edit {round_}: {answer.status}")
            return
        version = answer.media["version"]
        _lose_disk(run, _next_loss(run))
        if round_ % 2:
            _wait_for_voters(run)
    _leave_out_then_wipe(run, history, operator, version)
    _wait_for_voters(run)
    final_read(run, history)
    check_in_force(run, history.newest)


def _next_loss(run: Run) -> int:
    return run.world.random.randrange(len(run.fleet.controls))


def _lose_disk(run: Run, number: int) -> None:
    """Lose a machine with its disk; its replacement starts empty. Waits for a quorum."""
    _wait_for_voters(run)
    run.world.log(f"disk lost {number}")
    _restart_one(run, number, run.world.random.uniform(0.0, 0.5), wiped=True)


def _wait_for_voters(run: Run) -> None:
    """Wait until every control process votes again under its own identity."""
    until = run.world.loop.now() + 60.0
    while run.world.loop.now() < until:
        leader = run.fleet.leader()
        if leader is not None and _all_vote(run, leader.replica.members.voters()):
            return
        gevent.sleep(_LOOK_SECONDS)
    run.recorder.violate("second-loss", "the group was not repaired within 60 s")


def _all_vote(run: Run, voters: list) -> bool:
    identities = {member.identity for member in voters}
    return identities == {control.replica.identity for control in run.fleet.controls}


def _leave_out_then_wipe(
    run: Run, history: EditHistory, operator: SimulatedOperator, version: int
) -> None:
    """One replica misses an edit, the second loses its disk, the third is frozen.

    The one that missed the edit and the one with the empty disk are a quorum by
    number; together they must not lead.
    """
    leader = leader_number(run)
    missing, wiped = (leader + 1) % 3, (leader + 2) % 3
    cut_from_others(run, missing)
    history.edit(operator, text_of(run.fleet, 100), version, "left-out", 30)
    run.fleet.control_processes[leader].freeze(8.0)
    _restart_one(run, wiped, wiped=True)
    run.world.network.heal_all()
    gevent.sleep(7.0)
    history.read(operator, 6.0)
    gevent.sleep(2.0)


def restart_after_changes(run: Run) -> None:
    """Hundreds of changes, restarts in between, at last of everything at once."""
    history = history_of(run)
    operator = run.fleet.operator("busy")
    version = history.first.version
    for number in range(200):
        answer = history.edit(operator, text_of(run.fleet, number), version, f"c-{number}", 60)
        if not answer.accepted:
            run.recorder.violate("config-history", f"edit {number}: {answer.status}")
            return
        version = answer.media["version"]
        if run.world.random.random() < 0.03:
            _restart_one(run, run.world.random.randrange(len(run.fleet.controls)))
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
        run.recorder.saw_version(pair.name, pair.node.configuration.version)
    final_read(run, history)
    check_in_force(run, version)


def _restart_one(run: Run, number: int, after: float = 0.0, wiped: bool = False) -> None:
    """Let a control machine lose power and come back, or be replaced by an empty one."""
    process = run.fleet.control_processes[number]
    process.kill(power_lost=True)
    if wiped:
        process.disk.wipe()
    gevent.sleep(after)
    run.fleet.start_control(number, process.host)
