"""What tells the end of a worker from the loss of one connection, and what is told of it."""

from __future__ import annotations

import gevent
import pytest

from cranklane.outcome import Reason
from mesh_support import play


def ends_seen(machine):
    """Have the ends of a machine's worker noted; return the list of them."""
    seen = []
    tell = machine.sidecar.gate._exits._on_exit

    def on_end(end):
        seen.append(end)
        tell(end)

    machine.sidecar.gate._exits._on_exit = on_end
    return seen


def attempts_seen(machine):
    """Have the reasons of a machine's attempts noted; return the list of them."""
    seen = []
    tell = machine.sidecar.dispatcher._on_attempt

    def on_attempt(call, destination, reply, seconds):
        seen.append(reply.reason)
        tell(call, destination, reply, seconds)

    machine.sidecar.dispatcher._on_attempt = on_attempt
    return seen


def test_a_worker_crash_is_reported_once_with_all_its_runs():
    def script(mesh):
        target = mesh.machines[2]
        seen = ends_seen(target)
        target.worker.state.seconds = 1.0
        for name in ("a", "b", "c"):
            gevent.spawn(mesh.request, mesh.machines[0], f"/other/{name}", name=name)
        gevent.sleep(0.2)
        reasons = attempts_seen(mesh.machines[0])
        target.worker_process.kill()
        gevent.sleep(0.2)
        assert len(seen) == 1
        assert len({run.identity for run in seen[0].runs}) == 3
        return sorted(run.request for run in seen[0].runs), seen[0].planned, set(reasons)

    assert play(script) == (["a", "b", "c"], False, {Reason.WORKER_ENDED})


@pytest.mark.parametrize("fault", ["lose_answers", "cut_answers", "garbage_answers"])
def test_a_lost_answer_is_not_reported_as_a_worker_exit(fault):
    def script(mesh):
        target = mesh.machines[2]
        seen = ends_seen(target)
        reasons = attempts_seen(mesh.machines[0])
        setattr(target.worker.state, fault, 1)
        mesh.request(mesh.machines[0], "/other/x")
        return seen, Reason.WORKER_ENDED in reasons

    assert play(script) == ([], False)


def test_the_exit_of_a_draining_worker_is_planned():
    def script(mesh):
        target = mesh.machines[2]
        seen = ends_seen(target)
        target.worker.state.seconds = 1.0
        gevent.spawn(mesh.request, mesh.machines[0], "/other/x")
        gevent.sleep(0.2)
        target.worker.drain()
        target.worker_process.kill()
        gevent.sleep(0.2)
        return [end.planned for end in seen]

    assert play(script) == [True]


def test_exit_detection_keeps_the_connection_reusable():
    def script(mesh):
        worker = mesh.machines[2].worker.state
        worker.lose_answers = 1
        mesh.request(mesh.machines[0], "/other/x")
        gevent.sleep(0.1)
        before = worker.connections
        status = mesh.request(mesh.machines[0], "/other/y").status
        return status, worker.connections - before

    assert play(script) == (200, 0)
