"""Leases, deadlines and ages keep expiring while a machine is suspended.

Control tests with a clock that stops during a suspension show that each fault would be detected.
"""

from __future__ import annotations

import time

import gevent
import pytest

import test_ledger
import test_replication
import test_tenants
from cranklane.controller import confirmation
from cranklane.runtime.real import RealRuntime
from cranklane.sidecar.admission.tenant_quota import UPDATE_TTL_SECONDS
from cranklane_lab.simulation.process import SimulatedProcess
from mesh_support import play, runs

SUSPENSION_SECONDS = 8.0


@pytest.fixture
def clock_stops_during_suspension(monkeypatch):
    """Give processes a clock that stops during a suspension, as CLOCK_MONOTONIC does."""
    monkeypatch.setattr(SimulatedProcess, "counts_suspension", False)


def suspend(machine, seconds=SUSPENSION_SECONDS):
    """Suspend a machine with its sidecar and its worker."""
    machine.process.suspend(seconds)
    machine.worker_process.suspend(seconds)


def test_the_production_clock_counts_suspensions(monkeypatch):
    clocks = {time.CLOCK_BOOTTIME: 1234.5, time.CLOCK_MONOTONIC: 34.5}
    monkeypatch.setattr(time, "clock_gettime", clocks.__getitem__)
    assert RealRuntime().monotonic() == 1234.5


def test_timers_of_a_suspended_machine_stop_but_its_clock_does_not():
    def script(mesh):
        process = mesh.machines[0].process
        started_at = mesh.world.loop.now()
        woken = []

        def sleep():
            gevent.sleep(3.0)
            woken.append(mesh.world.loop.now() - started_at)

        process.spawn(sleep)
        gevent.sleep(1.0)
        process.suspend(5.0)
        gevent.sleep(9.0)
        return woken, process.monotonic() - started_at

    woken, elapsed = play(script)
    assert woken == [pytest.approx(8.0)]
    assert elapsed == pytest.approx(10.0)


# Lease of a leader.


def suspended_leader_has_lease(run):
    former_leader = test_replication.leader_number(run)
    wakes_at = run.world.loop.now() + 20.0
    run.fleet.control_processes[former_leader].suspend(20.0)
    gevent.sleep(10.0)
    test_replication.edit(run, 1, 1)
    gevent.sleep(wakes_at - run.world.loop.now())
    return test_replication.replica(run, former_leader).may_read


def test_a_suspended_leader_loses_its_lease():
    assert test_replication.play(suspended_leader_has_lease) is False


def test_with_a_stopped_clock_a_suspended_leader_would_keep_its_lease(
    clock_stops_during_suspension,
):
    assert test_replication.play(suspended_leader_has_lease) is True


# Lease on the route table, which enforces the revocation of keys.


def use_key_revoked_during_suspension(mesh):
    machine = mesh.machines[2]
    test_tenants.cut_off(mesh, machine)
    suspend(machine)
    test_tenants.remove_tenant_shop(mesh)
    gevent.sleep(SUSPENSION_SECONDS)
    ran = len(runs(mesh))
    status = test_tenants.ask(mesh, "key-of-shop", path="/look/x").status
    return status, len(runs(mesh)) - ran


def test_a_revoked_key_is_rejected_after_a_suspension():
    status, ran = test_tenants.play(use_key_revoked_during_suspension)
    assert (status in (401, 503), ran) == (True, 0)


def test_with_a_stopped_clock_a_revoked_key_would_be_accepted(clock_stops_during_suspension):
    assert test_tenants.play(use_key_revoked_during_suspension) == (200, 1)


# Confirmation of the route table by a controller.


def age_includes_suspension(mesh):
    follower = next(candidate for candidate in mesh.controllers if candidate is not mesh.leader())
    follower.process.suspend(SUSPENSION_SECONDS)
    gevent.sleep(SUSPENSION_SECONDS)
    age = follower.controller._freshness.age()
    return age is None or age >= SUSPENSION_SECONDS - confirmation.CONFIRM_INTERVAL_SECONDS


def test_a_suspended_controller_does_not_confirm_an_old_table():
    assert play(age_includes_suspension)


def test_with_a_stopped_clock_it_would_confirm_an_old_table(clock_stops_during_suspension):
    assert not play(age_includes_suspension)


# Shares of a tenant's quota.


def uses_expired_shares(mesh):
    machine = mesh.machines[2]
    suspend(machine)
    gevent.sleep(SUSPENSION_SECONDS)
    quota = machine.sidecar.quota
    return quota._clock() - quota._updated_at <= UPDATE_TTL_SECONDS


def test_a_suspended_sidecar_does_not_use_expired_shares():
    assert not play(uses_expired_shares)


def test_with_a_stopped_clock_it_would_use_expired_shares(clock_stops_during_suspension):
    assert play(uses_expired_shares)


# Lease of the ledger on a run.


def late_runs(run):
    return test_ledger.late_runs(run, SimulatedProcess.suspend)


def test_a_suspended_node_does_not_run_after_its_lease():
    assert test_ledger.play(late_runs) == []


def test_with_a_stopped_clock_it_would_run_after_its_lease(clock_stops_during_suspension):
    assert test_ledger.play(late_runs)


# Deadline of a queued request.


def runs_after_suspension(mesh):
    """Suspend a machine while four of eight requests wait for a slot; return the number of runs."""
    machine = mesh.machines[2]
    machine.worker.state.seconds = 0.25
    tasks = [gevent.spawn(mesh.request, machine, f"/other/{n}") for n in range(8)]
    gevent.sleep(0.1)
    suspend(machine, 3.0)
    gevent.joinall(tasks)
    gevent.sleep(4.0)
    return len(runs(mesh))


def test_a_request_queued_during_a_suspension_does_not_start_after_its_deadline():
    assert play(runs_after_suspension) == 4


def test_with_a_stopped_clock_it_would_start_after_its_deadline(clock_stops_during_suspension):
    assert play(runs_after_suspension) == 8


# Heartbeats of the worker.


@pytest.mark.parametrize("phase", [0.0, 0.75])
def test_a_worker_suspended_with_its_sidecar_does_not_count_as_lost(phase):
    def script(mesh):
        machine = mesh.add_machine("t", beats=False)
        gevent.sleep(phase)
        machine.worker_process.spawn(machine.worker.send_heartbeats)
        gevent.sleep(3.0 - phase)
        suspend(machine)
        gevent.sleep(SUSPENSION_SECONDS + 0.05)
        statuses = set()
        for _ in range(30):
            statuses.add(mesh.request(machine, "/other/x").status)
            gevent.sleep(0.1)
        return statuses

    assert play(script, services=("s", "s")) == {200}
