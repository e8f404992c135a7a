"""Worker exits are reported once and are not confused with lost connections."""

from __future__ import annotations

import gevent
import pytest

from cranklane.outcome import Reason
from mesh_support import play


def record_exits(machine):
    """Return a list that collects the exits of a machine's worker."""
    exits = []
    notify = machine.sidecar.gate._exits._on_exit

    def on_exit(worker_exit):
        exits.append(worker_exit)
        notify(worker_exit)

    machine.sidecar.gate._exits._on_exit = on_exit
    return exits


def record_attempt_reasons(machine):
    """Return a list that collects the reasons of a machine's attempts."""
    reasons = []
    notify = machine.sidecar.dispatcher._on_attempt

    def on_attempt(call, destination, reply, seconds):
        reasons.append(reply.reason)
        notify(call, destination, reply, seconds)

    machine.sidecar.dispatcher._on_attempt = on_attempt
    return reasons


def test_a_worker_exit_is_reported_once_with_all_interrupted_runs():
    def script(mesh):
        target = mesh.machines[2]
        exits = record_exits(target)
        target.worker.state.seconds = 1.0
        for name in ("a", "b", "c"):
            gevent.spawn(mesh.request, mesh.machines[0], f"/other/{name}", name=name)
        gevent.sleep(0.2)
        reasons = record_attempt_reasons(mesh.machines[0])
        target.worker_process.kill()
        gevent.sleep(0.2)
        assert len(exits) == 1
        assert len({run.identity for run in exits[0].runs}) == 3
        return sorted(run.request for run in exits[0].runs), exits[0].planned, set(reasons)

    assert play(script) == (["a", "b", "c"], False, {Reason.WORKER_ENDED})


@pytest.mark.parametrize("fault", ["lose_answers", "cut_answers", "garbage_answers"])
def test_a_lost_answer_is_not_a_worker_exit(fault):
    def script(mesh):
        target = mesh.machines[2]
        exits = record_exits(target)
        reasons = record_attempt_reasons(mesh.machines[0])
        setattr(target.worker.state, fault, 1)
        mesh.request(mesh.machines[0], "/other/x")
        return exits, Reason.WORKER_ENDED in reasons

    assert play(script) == ([], False)


def test_the_exit_of_a_draining_worker_is_planned():
    def script(mesh):
        target = mesh.machines[2]
        exits = record_exits(target)
        target.worker.state.seconds = 1.0
        gevent.spawn(mesh.request, mesh.machines[0], "/other/x")
        gevent.sleep(0.2)
        target.worker.drain()
        target.worker_process.kill()
        gevent.sleep(0.2)
        return [worker_exit.planned for worker_exit in exits]

    assert play(script) == [True]


def test_the_connection_of_an_exit_check_is_reused():
    def script(mesh):
        worker = mesh.machines[2].worker.state
        worker.lose_answers = 1
        mesh.request(mesh.machines[0], "/other/x")
        gevent.sleep(0.1)
        before = worker.connections
        status = mesh.request(mesh.machines[0], "/other/y").status
        return status, worker.connections - before

    assert play(script) == (200, 0)
