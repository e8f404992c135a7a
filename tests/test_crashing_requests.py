"""Guards against a request that crashes every worker of a service through retries and resends.

Sidecars must share what they know of it, without affecting other requests.
"""

from __future__ import annotations

import gevent
import pytest

from cranklane_lab.simulation.crashes import CrashingRequests
from mesh_support import play

FLEET = {"services": ("s",) * 5 + ("t",) * 2, "slots": 16}

CRASH = "/read/crash/7f"
CALLERS_PER_SECOND = 40
SECONDS = 12.0


class Callers:
    """Sends distinct requests to a service through all machines for ``seconds``."""

    def __init__(self, mesh, seconds=SECONDS, prefix="/read/"):
        self.mesh = mesh
        self.statuses = []
        self._stop_at = mesh.world.loop.now() + seconds
        self._prefix = prefix
        self._task = gevent.spawn(self._call_repeatedly)

    def _call_repeatedly(self):
        number = 0
        while self.mesh.world.loop.now() < self._stop_at:
            number += 1
            machine = self.mesh.machines[number % len(self.mesh.machines)]
            gevent.spawn(self._call, machine, f"{self._prefix}{number}")
            gevent.sleep(1 / CALLERS_PER_SECOND)

    def _call(self, machine, path):
        answer = self.mesh.request(machine, path)
        self.statuses.append(answer.status if answer is not None else 0)

    def join(self):
        """Wait for the last response; return the fraction of requests that were served."""
        self._task.join()
        gevent.sleep(5.0)
        return sum(status == 200 for status in self.statuses) / len(self.statuses)


def send_repeatedly(mesh, path=CRASH, times=20, pause=0.5):
    """Send the same request through one machine after another; return the statuses."""
    statuses = []
    for number in range(times):
        machine = mesh.machines[number % len(mesh.machines)]
        answer = mesh.request(machine, path)
        statuses.append(answer.status if answer is not None else 0)
        gevent.sleep(pause)
    return statuses


def test_a_request_crashes_at_most_three_workers():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        callers = Callers(mesh)
        send_repeatedly(mesh)
        served = callers.join()
        return len(crashing.crashes_caused_by(b"/crash")), served

    crash_count, served = play(script, **FLEET)
    assert crash_count <= 3
    assert served > 0.95


def has_quarantined(machine):
    """Return whether a machine's sidecar has quarantined a request."""
    return bool(machine.sidecar.quarantine.table.quarantined())


def seconds_until_quarantined(mesh, machines, start_time, seconds=2.0):
    """Wait until all given sidecars have quarantined a request.

    :param seconds: upper bound on the wait; exceeding it fails the test.
    :returns: seconds since ``start_time``.
    """
    while not all(has_quarantined(machine) for machine in machines):
        assert mesh.world.loop.now() - start_time < seconds
        gevent.sleep(0.0005)
    return mesh.world.loop.now() - start_time


def second_crash_time(mesh, crashing, seconds=5.0):
    """Send a crashing request, repeatedly if needed; return the time of its second crash."""
    deadline = mesh.world.loop.now() + seconds
    while len(crashing.crashes) < 2:
        assert mesh.world.loop.now() < deadline
        if not crashing.crashes or mesh.world.loop.now() > crashing.crashes[0].at + 0.5:
            gevent.spawn(mesh.request, mesh.machines[-1], CRASH)
            gevent.sleep(0.06)
        gevent.sleep(0.0005)
    return crashing.crashes[1].at


def partition_control(mesh):
    for controller in mesh.controllers:
        for machine in mesh.machines:
            mesh.world.network.cut(machine.process.name, controller.process.name)
            mesh.world.network.cut(controller.process.name, machine.process.name)


@pytest.mark.parametrize("other_workers", [2, 65])
def test_all_sidecars_quarantine_within_30_ms(other_workers):
    def script(mesh):
        crashing = CrashingRequests(mesh)
        return seconds_until_quarantined(mesh, mesh.machines, second_crash_time(mesh, crashing))

    assert play(script, services=("s",) * 5 + ("t",) * other_workers, slots=16) < 0.03


def kill_leader(mesh):
    mesh.leader().process.kill(power_lost=True)


@pytest.mark.parametrize("disrupt", [partition_control, kill_leader])
def test_at_most_three_crashes_while_control_is_disrupted(disrupt):
    def script(mesh):
        crashing = CrashingRequests(mesh)
        disrupt(mesh)
        gevent.sleep(2.0)
        callers = Callers(mesh, 10.0)
        send_repeatedly(mesh)
        return len(crashing.crashes), callers.join()

    crash_count, served = play(script, **FLEET)
    assert crash_count <= 3
    assert served > 0.95


def test_paused_or_partitioned_sidecar_catches_up():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        partitioned = mesh.machines[6]
        for machine in mesh.machines[:6]:
            mesh.world.network.cut(machine.process.name, partitioned.process.name)
            mesh.world.network.cut(partitioned.process.name, machine.process.name)
        paused = mesh.machines[5]
        paused.process.freeze(4.0)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        gevent.sleep(4.0)
        assert not has_quarantined(partitioned)
        mesh.world.network.heal_all()
        return seconds_until_quarantined(mesh, [partitioned, paused], mesh.world.loop.now(), 10.0)

    assert play(script, **FLEET) < 5.0


def test_restarted_sidecar_catches_up_before_its_first_request():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        machine = mesh.machines[4]
        machine.process.kill()
        machine.process, machine.sidecar = mesh.start_sidecar(
            machine.name, machine.service, machine.zone, machine.host
        )
        assert mesh.wait_for(machine.sidecar.is_ready, 2.0)
        status = mesh.request(machine, CRASH).status
        return status, has_quarantined(machine), len(crashing.crashes)

    assert play(script, **FLEET) == (503, True, 2)


def test_sidecar_catches_up_after_a_controller_restart():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        machine = mesh.machines[4]
        machine.process.kill()
        for number in range(3):
            mesh.controllers[number].process.kill()
        gevent.sleep(0.2)
        for number in range(3):
            mesh.restart_controller(number)
        machine.process, machine.sidecar = mesh.start_sidecar(
            machine.name, machine.service, machine.zone, machine.host
        )
        assert mesh.wait_for(lambda: len(machine.sidecar.directory.list_peers()) > 0, 10.0)
        gevent.sleep(0.2)
        return has_quarantined(machine), len(crashing.crashes)

    assert play(script, **FLEET) == (True, 2)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sidecars_restarted_together_catch_up(seed):
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        gevent.sleep(0.05)
        for machine in mesh.machines[:5]:
            machine.process.kill()
        gevent.sleep(0.2)
        for machine in mesh.machines[:5]:
            machine.process, machine.sidecar = mesh.start_sidecar(
                machine.name, machine.service, machine.zone, machine.host
            )
        gevent.sleep(1.5)
        return [has_quarantined(machine) for machine in mesh.machines]

    assert play(script, seed=seed, **FLEET) == [True] * 7


def test_concurrent_requests_crash_at_most_three_workers_each():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        callers = Callers(mesh)
        tasks = [
            gevent.spawn(send_repeatedly, mesh, f"/read/crash/{number}", 12, 0.9)
            for number in range(4)
        ]
        gevent.joinall(tasks)
        callers.join()
        crash_counts = [
            len(crashing.crashes_caused_by(b"/crash/%d" % number)) for number in range(4)
        ]
        return max(crash_counts)

    assert play(script, services=("s",) * 12 + ("t",) * 2, slots=16) <= 3


def test_refusal_is_immediate_with_retry_after():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        gevent.sleep(0.05)
        sent_at = mesh.world.loop.now()
        answer = mesh.request(mesh.machines[6], CRASH, name="refused")
        seconds = mesh.world.loop.now() - sent_at
        retry_after = float(answer.headers["retry-after"])
        return (
            answer.status,
            4.0 < retry_after <= 5.0,
            seconds < 0.005,
            mesh.instances_that_ran("refused"),
        )

    assert play(script, **FLEET) == (503, True, True, [])


def test_request_is_served_after_the_workers_are_repaired():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        crashing.stop_crashing()
        gevent.sleep(6.0)
        first = mesh.request(mesh.machines[6], CRASH).status
        gevent.sleep(0.1)
        quarantining = [machine for machine in mesh.machines if has_quarantined(machine)]
        return first, quarantining, mesh.request(mesh.machines[1], CRASH).status

    assert play(script, **FLEET) == (200, [], 200)


def test_quarantine_ends_the_retries_of_a_request():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        status = mesh.request(mesh.machines[6], CRASH).status
        return status, len(crashing.crashes)

    routes = {"read": {"prefix": "/read/", "service": "s", "max_attempts": 4}}
    assert play(script, routes=routes, **FLEET) == (502, 2)


def test_requests_without_retries_are_quarantined():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        for number in range(12):
            mesh.request(mesh.machines[number % 7], "/sign/crash", "POST", b"body")
            gevent.sleep(1.0)
        return len(crashing.crashes)

    assert play(script, **FLEET) <= 3


class UnrelatedCallers:
    """Callers of a service whose workers crash independently of the requests."""

    def __init__(self, mesh, path):
        self._mesh = mesh
        self._path = path
        self._stop_at = mesh.world.loop.now() + 10.0
        self.statuses = []
        self._task = gevent.spawn(self._call_repeatedly)

    def _call_repeatedly(self):
        number = 0
        while self._mesh.world.loop.now() < self._stop_at:
            number += 1
            machine = self._mesh.machines[number % len(self._mesh.machines)]
            gevent.spawn(self._call, machine, self._path.format(number))
            gevent.sleep(0.005)

    def _call(self, machine, path):
        self.statuses.append(self._mesh.request(machine, path).status)

    def join_and_count_failures(self):
        """Wait for the last response; return the number of requests that were not served."""
        self._task.join()
        gevent.sleep(4.0)
        return sum(status != 200 for status in self.statuses)


@pytest.mark.parametrize("path", ["/read/{}", "/read/popular"])
@pytest.mark.parametrize("simultaneous", [1, 2])
def test_unrelated_crashes_do_not_affect_other_requests(path, simultaneous):
    def script(mesh):
        for machine in mesh.machines:
            machine.worker.state.seconds = 0.16
        crashing = CrashingRequests(mesh)
        callers = UnrelatedCallers(mesh, path)
        gevent.sleep(1.0)
        for first in range(0, 4, simultaneous):
            crashing.end(*mesh.machines[first : first + simultaneous])
            gevent.sleep(3.5)
        failed = callers.join_and_count_failures()
        return failed, [machine.name for machine in mesh.machines if has_quarantined(machine)]

    assert play(script, **FLEET) == (0, [])
