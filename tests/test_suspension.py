"""Guards against leases, deadlines and quota shares that outlive a machine's suspension.

Their counterparts show the failure with a clock that pauses during a suspension.
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

AWAY_SECONDS = 8.0


@pytest.fixture
def clock_pauses_during_suspension(monkeypatch):
    """Give processes the kernel's usual steady clock."""
    monkeypatch.setattr(SimulatedProcess, "counts_suspension", False)


def suspend(machine, seconds=AWAY_SECONDS):
    """Suspend a machine with its sidecar and its worker."""
    machine.process.suspend(seconds)
    machine.worker_process.suspend(seconds)


def test_the_production_clock_counts_suspensions(monkeypatch):
    clocks = {time.CLOCK_BOOTTIME: 1234.5, time.CLOCK_MONOTONIC: 34.5}
    monkeypatch.setattr(time, "clock_gettime", clocks.__getitem__)
    assert RealRuntime().monotonic() == 1234.5


def test_a_suspension_pauses_timers_but_not_the_clock():
    def script(mesh):
        process = mesh.machines[0].process
        begun = mesh.world.loop.now()
        woken = []

        def sleep():
            gevent.sleep(3.0)
            woken.append(mesh.world.loop.now() - begun)

        process.spawn(sleep)
        gevent.sleep(1.0)
        process.suspend(5.0)
        gevent.sleep(9.0)
        return woken, process.monotonic() - begun

    woken, passed = play(script)
    assert woken == [pytest.approx(8.0)]
    assert passed == pytest.approx(10.0)


# A leader's lease.


def suspended_leader_believes(run):
    old = test_replication.leader_number(run)
    wakes_at = run.world.loop.now() + 20.0
    run.fleet.control_processes[old].suspend(20.0)
    gevent.sleep(10.0)
    test_replication.edit(run, 1, 1)
    gevent.sleep(wakes_at - run.world.loop.now())
    return test_replication.replica(run, old).may_read


def test_a_suspended_leader_loses_its_lease():
    assert test_replication.play(suspended_leader_believes) is False


def test_a_suspended_leader_keeps_its_lease_with_a_paused_clock(clock_pauses_during_suspension):
    assert test_replication.play(suspended_leader_believes) is True


# The freshness of the route table, which keeps revoked keys from running.


def revoked_while_suspended(mesh):
    machine = mesh.machines[2]
    test_tenants.cut_off(mesh, machine)
    suspend(machine)
    test_tenants.take_shop_away(mesh)
    gevent.sleep(AWAY_SECONDS)
    ran = len(runs(mesh))
    status = test_tenants.ask(mesh, "key-of-shop", path="/look/x").status
    return status, len(runs(mesh)) - ran


def test_a_revoked_key_does_not_run_after_a_suspension():
    status, ran = test_tenants.play(revoked_while_suspended)
    assert (status in (401, 503), ran) == (True, 0)


def test_a_revoked_key_runs_after_a_suspension_with_a_paused_clock(clock_pauses_during_suspension):
    assert test_tenants.play(revoked_while_suspended) == (200, 1)


# What a controller confirms of its table.


def confirmed_age(mesh):
    follower = next(item for item in mesh.controllers if item is not mesh.leader())
    follower.process.suspend(AWAY_SECONDS)
    gevent.sleep(AWAY_SECONDS)
    age = follower.controller._confirmation.age()
    return age is None or age >= AWAY_SECONDS - confirmation.ASK_SECONDS


def test_a_suspended_controller_has_no_recent_confirmation():
    assert play(confirmed_age)


def test_a_suspended_controller_has_a_recent_confirmation_with_a_paused_clock(
    clock_pauses_during_suspension,
):
    assert not play(confirmed_age)


# Shares of a tenant's limit.


def follows_old_shares(mesh):
    machine = mesh.machines[2]
    suspend(machine)
    gevent.sleep(AWAY_SECONDS)
    quota = machine.sidecar.quota
    return quota._clock() - quota._updated_at <= UPDATE_TTL_SECONDS


def test_a_suspended_sidecar_does_not_use_expired_shares():
    assert not play(follows_old_shares)


def test_a_suspended_sidecar_uses_expired_shares_with_a_paused_clock(
    clock_pauses_during_suspension,
):
    assert play(follows_old_shares)


# The ledger's lease on a run.


def late_runs(run):
    return test_ledger.late_runs(run, SimulatedProcess.suspend)


def test_a_suspended_node_does_not_run_after_its_lease():
    assert test_ledger.play(late_runs) == []


def test_a_suspended_node_runs_after_its_lease_with_a_paused_clock(clock_pauses_during_suspension):
    assert test_ledger.play(late_runs)


# The deadline of a request that waits.


def runs_begun(mesh):
    """Suspend a machine while half of eight requests wait for a slot; return what has run."""
    machine = mesh.machines[2]
    machine.worker.state.seconds = 0.25
    tasks = [gevent.spawn(mesh.request, machine, f"/other/{n}") for n in range(8)]
    gevent.sleep(0.1)
    suspend(machine, 3.0)
    gevent.joinall(tasks)
    gevent.sleep(4.0)
    return len(runs(mesh))


def test_a_request_queued_during_a_suspension_does_not_start_after_its_deadline():
    assert play(runs_begun) == 4


def test_a_request_queued_during_a_suspension_starts_late_with_a_paused_clock(
    clock_pauses_during_suspension,
):
    assert play(runs_begun) == 8


# What a machine says of its own worker.


@pytest.mark.parametrize("phase", [0.0, 0.75])
def test_a_worker_suspended_with_its_sidecar_is_not_lost(phase):
    def script(mesh):
        machine = mesh.add_machine("t", beats=False)
        gevent.sleep(phase)
        machine.worker_process.spawn(machine.worker.beat_on)
        gevent.sleep(3.0 - phase)
        suspend(machine)
        gevent.sleep(AWAY_SECONDS + 0.05)
        statuses = set()
        for _ in range(30):
            statuses.add(mesh.request(machine, "/other/x").status)
            gevent.sleep(0.1)
        return statuses

    assert play(script, services=("s", "s")) == {200}
