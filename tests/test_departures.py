"""A worker whose departure was acknowledged gets no requests, whatever ends or arrives later."""

from __future__ import annotations

import gevent
import pytest

from cranklane.sidecar.control_link import MAX_DEPARTURE_WAIT_SECONDS
from cranklane.sidecar.worker.worker_state import WorkerState
from cranklane_lab.standins.routed_worker import HEARTBEAT_SECONDS
from mesh_support import play
from test_stated_limits import FOUR_OF_ONE_SERVICE, arrivals, send_load, statuses

DRAIN_SECONDS = 2.0
"""Time after the acknowledgement of a departure from which no request may reach the worker."""

NEXT_START_SECONDS = 0.3
"""Time from the start of a worker, whose first heartbeat is at once, to its use by others."""


def play_mesh(script, seed=1):
    return play(script, seed=seed, services=FOUR_OF_ONE_SERVICE, slots=20)


def requests_after_departure(mesh, disturb, deliver):
    """Return the requests that reach a worker after its departure, and the share answered.

    :param disturb: called half a second after the acknowledgement.
    :param deliver: called with the worker and a heartbeat from before the departure, once requests
        may no longer reach it.
    """
    worker = mesh.machines[0].worker
    send_load(mesh, 1.0, [])
    delayed = worker.next_heartbeat()
    # No machine learns of the departure from a reply of the worker's sidecar.
    gevent.sleep(0.5)
    assert worker.depart() == 200
    gevent.sleep(0.5)
    disturb()
    gevent.sleep(DRAIN_SECONDS)
    before = arrivals(mesh)
    deliver(worker, delayed)
    answers = []
    send_load(mesh, 6.0, answers)
    gevent.sleep(1.0)
    return arrivals(mesh) - before, statuses(answers)


SEEDS = (1, 2, 3)


def deliver_late(worker, delayed):
    worker.deliver_heartbeat(delayed)


def test_a_late_heartbeat_after_a_restart_of_its_sidecar_does_not_revive_a_worker():
    def script(mesh):
        def restart():
            mesh.restart_sidecar(mesh.machines[0])

        return requests_after_departure(mesh, restart, deliver_late)

    assert [play_mesh(script, seed) for seed in SEEDS] == [(0, 1.0)] * len(SEEDS)


def kill_all(mesh, sidecars_first):
    """Kill all controllers and sidecars at the same moment, and start them again."""
    for machine in (*mesh.controllers, *mesh.machines):
        machine.process.kill()
    gevent.sleep(0.3)

    def start_controllers():
        for number in range(len(mesh.controllers)):
            mesh.restart_controller(number)

    def start_sidecars():
        for machine in mesh.machines:
            mesh.restart_sidecar(machine)

    order = (start_sidecars, start_controllers)
    for start in order if sidecars_first else reversed(order):
        start()
        gevent.sleep(0.3)


@pytest.mark.parametrize("sidecars_first", [False, True])
def test_an_acknowledged_departure_survives_a_kill_of_all_processes(sidecars_first):
    def script(mesh):
        def disturb():
            kill_all(mesh, sidecars_first)
            gevent.sleep(2.0)

        return requests_after_departure(mesh, disturb, deliver_late)

    assert play_mesh(script)[0] == 0


def test_a_controller_that_has_no_leader_yet_does_not_state_that_there_are_no_departures():
    def script(mesh):
        machine = mesh.machines[0]
        delayed = machine.worker.next_heartbeat()
        assert machine.worker.depart() == 200
        for process in (*mesh.controllers, machine):
            process.process.kill()
        gevent.sleep(0.5)
        mesh.restart_controller(0)
        gevent.sleep(2.0)
        mesh.restart_sidecar(machine)
        gevent.sleep(0.8 * MAX_DEPARTURE_WAIT_SECONDS)
        machine.worker.deliver_heartbeat(delayed)
        before_election = machine.sidecar.worker.state
        for number in (1, 2):
            mesh.restart_controller(number)
        gevent.sleep(5.0)
        return before_election, machine.sidecar.worker.state

    for seed in SEEDS:
        states = play_mesh(script, seed)
        assert WorkerState.READY not in states, states


def test_a_wrong_health_check_does_not_revive_a_worker_after_a_restart_of_its_sidecar():
    def script(mesh):
        mesh.machines[0].worker.state.health_is_wrong = True

        def restart():
            mesh.restart_sidecar(mesh.machines[0])

        return requests_after_departure(mesh, restart, lambda _worker, _delayed: None)

    assert play_mesh(script) == (0, 1.0)


def test_a_departure_stated_by_an_answer_survives_a_restart_of_the_sidecar():
    def script(mesh):
        machine = mesh.machines[0]
        machine.worker.state.leaving = True
        mesh.request(machine, "/read/x")
        send_load(mesh, 1.0, [])
        # The next answers do not state it: only control knows.
        machine.worker.state.leaving = False
        for other in mesh.machines[1:]:
            other.sidecar.destinations._notices.clear()
        mesh.restart_sidecar(machine)
        gevent.sleep(1.0)
        before = arrivals(mesh)
        send_load(mesh, 4.0, [])
        return arrivals(mesh) - before

    assert play_mesh(script) == 0


def test_a_departure_is_not_acknowledged_while_control_cannot_store_it():
    def script(mesh):
        machine = mesh.machines[0]
        for controller in mesh.controllers[:2]:
            controller.process.kill()
        gevent.sleep(2.0)
        refused = machine.worker.depart()
        before = arrivals(mesh)
        send_load(mesh, 2.0, [])
        later = arrivals(mesh) - before
        for number in (0, 1):
            mesh.restart_controller(number)
        gevent.sleep(4.0)
        return refused, later, machine.worker.depart()

    assert play_mesh(script) == (503, 0, 200)


@pytest.mark.parametrize("same_id", [False, True])
def test_the_next_start_is_used_at_once_after_a_departure_and_a_restart_of_the_sidecar(same_id):
    def script(mesh):
        machine = mesh.machines[4]
        assert machine.worker.depart() == 200
        machine.worker.end()
        machine.worker_process.kill()
        mesh.restart_sidecar(machine)
        gevent.sleep(1.0)
        mesh.restart_worker(machine, same_id=same_id)
        gevent.sleep(NEXT_START_SECONDS)
        return [mesh.request(mesh.machines[0], "/other/x").status for _ in range(5)]

    assert play_mesh(script) == [200] * 5


def test_a_worker_that_runs_is_used_although_its_restarted_sidecar_finds_no_control():
    def script(mesh):
        for controller in mesh.controllers:
            controller.process.kill()
        machine = mesh.machines[0]
        mesh.restart_sidecar(machine)
        gevent.sleep(MAX_DEPARTURE_WAIT_SECONDS + HEARTBEAT_SECONDS)
        return machine.sidecar.worker.state

    assert play_mesh(script) is WorkerState.READY


def test_a_request_that_waited_for_a_connection_is_not_sent_after_the_departure(monkeypatch):
    def script(mesh):
        machine = mesh.machines[0]
        pool = machine.sidecar.worker.pool
        take = pool.take

        def take_late(always_check):
            connection = take(always_check)
            gevent.sleep(1.0)
            return connection

        monkeypatch.setattr(pool, "take", take_late)
        answers = []
        load = gevent.spawn(send_load, mesh, 0.5, answers)
        gevent.sleep(0.4)
        departure = machine.worker.depart()
        before = arrivals(mesh)
        load.join()
        gevent.sleep(2.0)
        return departure, arrivals(mesh) - before, statuses(answers)

    assert play_mesh(script) == (200, 0, 1.0)


def cut_off(mesh, controller):
    """Cut a controller off from the others; it goes on serving sidecars for a while."""
    network = mesh.world.network
    name = controller.process.name
    for other in mesh.controllers:
        if other is not controller:
            network.cut(name, other.process.name)
            network.cut(other.process.name, name)


def stall_disk(mesh, controller):
    mesh.world.disk(controller.host).stalled = True


def follower_of(mesh):
    return next(item for item in mesh.controllers if item is not mesh.leader())


def states_of_worker(machine, seconds):
    """Return the states of a machine's worker in the next seconds."""
    states = []
    for _ in range(int(seconds / 0.05)):
        gevent.sleep(0.05)
        states.append(machine.sidecar.worker.state)
    return states


@pytest.mark.parametrize("disturb", [cut_off, stall_disk])
def test_a_controller_that_lags_does_not_hide_a_departure_from_a_sidecar_that_starts(disturb):
    def script(mesh):
        machine = mesh.machines[0]
        delayed = machine.worker.next_heartbeat()
        disturb(mesh, follower_of(mesh))
        assert mesh.wait_for(lambda: machine.worker.depart() == 200, 5.0)
        gevent.sleep(0.3)
        mesh.restart_sidecar(machine)
        gevent.sleep(0.3)
        machine.worker.deliver_heartbeat(delayed)
        return states_of_worker(machine, 0.8 * MAX_DEPARTURE_WAIT_SECONDS)

    # The seed draws the controller that the sidecar finds first.
    ready_on = [seed for seed in range(1, 9) if WorkerState.READY in play_mesh(script, seed)]
    assert ready_on == []


def test_a_late_departure_confirmed_by_a_controller_that_lags_does_not_revive_a_later_start():
    def script(mesh):
        machine = mesh.machines[0]
        first = machine.worker
        assert first.depart() == 200
        gevent.sleep(0.5)
        first.end()
        machine.worker_process.kill()
        mesh.restart_worker(machine)
        gevent.sleep(1.0)
        second = machine.worker
        delayed = second.next_heartbeat()
        cut_off(mesh, follower_of(mesh))
        assert mesh.wait_for(lambda: second.depart() == 200, 5.0)
        mesh.restart_sidecar(machine)
        gevent.spawn(first.deregister)
        gevent.sleep(0.3)
        second.deliver_heartbeat(delayed)
        return states_of_worker(machine, 0.8 * MAX_DEPARTURE_WAIT_SECONDS)

    ready_on = [seed for seed in range(1, 9) if WorkerState.READY in play_mesh(script, seed)]
    assert ready_on == []
