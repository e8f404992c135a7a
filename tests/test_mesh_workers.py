"""Routing of requests around workers that drain, are lost, restart, or are slow or failing."""

from __future__ import annotations

import gevent
import pytest

from cranklane_lab.standins.routed_answers import NAMES
from mesh_support import play, runs


def test_a_refused_request_is_retried_at_another_worker():
    def script(mesh):
        mesh.machines[0].worker.state.refuse = 50
        answers = [mesh.request(mesh.machines[2], "/sign/x", "POST", b"b") for _ in range(3)]
        return [answer.status for answer in answers]

    assert play(script) == [200, 200, 200]


def test_a_draining_worker_gets_no_requests_after_the_acknowledgement():
    def script(mesh):
        leaving = mesh.machines[0]
        assert leaving.worker.drain() == 200
        before = leaving.worker.state.arrivals
        answers = [mesh.request(mesh.machines[2], "/sign/x", "POST", b"b") for _ in range(8)]
        worker = leaving.worker
        worker.phase, worker._sequence = "ready", 0
        worker.send_heartbeat()
        answers += [mesh.request(mesh.machines[0], "/sign/x", "POST", b"b") for _ in range(8)]
        return leaving.worker.state.arrivals - before, {answer.status for answer in answers}

    assert play(script) == (0, {200})


def restart_sidecar(mesh, number):
    mesh.restart_sidecar(mesh.machines[number])
    return mesh.machines[number]


def test_a_restarted_sidecar_serves_its_worker_before_the_next_heartbeat():
    def script(mesh):
        mesh.machines[2].worker.send_heartbeat = lambda: 0
        machine = restart_sidecar(mesh, 2)
        gevent.sleep(0.3)
        served = mesh.request(machine, "/other/x").status
        return served, machine.sidecar.slots.limit, len(machine.worker.state.runs)

    assert play(script) == (200, 4, 1)


@pytest.mark.parametrize("percent", [b"250", b"0", b"-5", b"often", b"100,7"])
def test_a_load_header_with_further_fields_still_identifies_the_worker(percent):
    def script(mesh):
        mesh.machines[2].worker.send_heartbeat = lambda: 0
        mesh.machines[2].worker.state.run_time_percent = percent
        machine = restart_sidecar(mesh, 2)
        gevent.sleep(0.3)
        return mesh.request(machine, "/other/x").status, machine.sidecar.slots.limit

    assert play(script) == (200, 4)


def test_a_restarted_sidecar_sends_nothing_to_a_draining_worker():
    def script(mesh):
        machine = mesh.machines[2]
        assert machine.worker.drain() == 200
        machine.worker.send_heartbeat = lambda: 0
        machine = restart_sidecar(mesh, 2)
        gevent.sleep(1.0)
        return mesh.request(machine, "/other/x").status, len(machine.worker.state.runs)

    assert play(script) == (503, 0)


def test_a_deregistered_worker_gets_nothing_and_its_successor_everything():
    def script(mesh):
        machine = mesh.machines[2]
        assert machine.worker.deregister() == 200
        refused = mesh.request(mesh.machines[0], "/other/x").status
        machine.worker.instance = "i-new"
        machine.worker._sequence = 0
        machine.worker.send_heartbeat()
        gevent.sleep(0.3)
        answer = mesh.request(mesh.machines[0], "/other/x")
        return refused, answer.status, runs(mesh)[-1].value(NAMES.instance)

    assert play(script) == (503, 200, b"i-new")


def test_a_silent_worker_gets_no_requests():
    def script(mesh):
        mesh.machines[0].worker_process.kill(power_lost=True)
        gevent.sleep(8.0)
        started_at = mesh.world.loop.now()
        answers = [mesh.request(mesh.machines[2], "/sign/x", "POST", b"b") for _ in range(6)]
        return {answer.status for answer in answers}, mesh.world.loop.now() - started_at < 1.0

    assert play(script) == ({200}, True)


def test_a_partitioned_machine_delays_only_one_request():
    def script(mesh):
        for machine in mesh.machines[1:]:
            mesh.world.network.cut(mesh.machines[0].name, machine.name)
            mesh.world.network.cut(machine.name, mesh.machines[0].name)
        mesh.machines[2].sidecar.peers.forget((mesh.machines[0].host, 7000))
        slow = 0
        for _ in range(60):
            started_at = mesh.world.loop.now()
            assert mesh.request(mesh.machines[2], "/sign/x", "POST", b"b").status == 200
            slow += mesh.world.loop.now() - started_at > 0.3
            gevent.sleep(0.1)
        for machine in mesh.machines[1:]:
            mesh.world.network.heal(mesh.machines[0].name, machine.name)
            mesh.world.network.heal(machine.name, mesh.machines[0].name)
        gevent.sleep(2.0)
        before = mesh.machines[0].worker.state.arrivals
        for _ in range(20):
            mesh.request(mesh.machines[2], "/sign/x", "POST", b"b")
        return slow <= 1, mesh.machines[0].worker.state.arrivals > before

    assert play(script) == (True, True)


def cut_from_controllers(mesh, machine):
    for controller in mesh.controllers:
        mesh.world.network.cut(machine.process.name, controller.process.name)
        mesh.world.network.cut(controller.process.name, machine.process.name)


def test_a_machine_that_only_control_cannot_reach_stays_in_use():
    def script(mesh):
        cut_from_controllers(mesh, mesh.machines[2])
        statuses = []
        for _ in range(60):
            statuses.append(mesh.request(mesh.machines[0], "/other/x").status)
            gevent.sleep(0.5)
        return statuses

    assert play(script) == [200] * 60


def test_an_unreachable_machine_is_removed():
    def script(mesh):
        mesh.machines[2].process.kill(power_lost=True)
        mesh.request(mesh.machines[0], "/other/x")
        destinations = mesh.machines[0].sidecar.destinations
        before = destinations.count("t")
        gevent.sleep(30.0)
        return before, destinations.count("t")

    assert play(script) == (1, 0)


@pytest.mark.parametrize(("fault", "max_runs"), [("slow", 15), ("failing", 60)])
def test_a_slow_or_failing_worker_gets_few_requests(fault, max_runs):
    def script(mesh):
        slow_or_failing = mesh.machines[0].worker.state
        if fault == "slow":
            slow_or_failing.seconds = 0.4
        else:
            slow_or_failing.fail = 10_000
        for number in range(300):
            gevent.spawn(mesh.request, mesh.machines[0], "/sign/x", "POST", b"b", name=f"n{number}")
            gevent.sleep(0.02)
        gevent.sleep(2.0)
        return len(slow_or_failing.runs) < max_runs, len(mesh.machines[1].worker.state.runs) > 200

    assert play(script, slots=40) == (True, True)


def test_a_worker_that_refuses_with_free_slots_gets_few_requests():
    def script(mesh):
        mesh.machines[0].worker.state.refuse = 10_000
        for number in range(300):
            gevent.spawn(mesh.request, mesh.machines[0], "/sign/x", "POST", b"b", name=f"n{number}")
            gevent.sleep(0.02)
        gevent.sleep(2.0)
        return mesh.machines[0].worker.state.arrivals

    assert play(script, slots=40) < 60


def test_a_request_waits_briefly_for_the_first_worker_of_its_service():
    def script(mesh):
        machine = mesh.machines[0]
        destinations = machine.sidecar.destinations
        destinations._remove(mesh.machines[2].name)
        pending_request = gevent.spawn(mesh.request, machine, "/other/x")
        gevent.sleep(0.1)
        mesh.machines[2].sidecar.control.subscription._records.close()
        started_at = mesh.world.loop.now()
        status = pending_request.get().status
        return status, mesh.world.loop.now() - started_at < 0.2

    assert play(script) == (200, True)


def test_attempts_at_draining_workers_do_not_use_up_the_retries():
    def script(mesh):
        for machine in mesh.machines[:5]:
            assert machine.worker.drain() == 200
        answers = [mesh.request(mesh.machines[6], "/sign/x", "POST", b"b") for _ in range(6)]
        return {answer.status for answer in answers}

    assert play(script, services=("s",) * 6 + ("t",)) == {200}
