"""Machines that are suspended for seconds: what lapses meanwhile has lapsed when they wake up.

Each test breaks its promise with a steady clock that stands still during a suspension.
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
from cranklane.sidecar.admission.tenant_quota import UPDATE_SECONDS
from cranklane_lab.simulation.process import SimulatedProcess
from mesh_support import play, runs

AWAY_SECONDS = 8.0


@pytest.fixture
def clock_stands_still(monkeypatch):
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


def test_timers_of_a_suspended_machine_stand_still_and_what_it_gets_does_not():
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


def test_a_leader_that_was_suspended_leads_no_more():
    assert test_replication.play(suspended_leader_believes) is False


def test_with_a_clock_that_stands_still_it_would(clock_stands_still):
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


def test_a_key_taken_away_does_not_run_at_a_machine_that_was_suspended():
    status, ran = test_tenants.play(revoked_while_suspended)
    assert (status in (401, 503), ran) == (True, 0)


def test_with_a_clock_that_stands_still_it_would_run(clock_stands_still):
    assert test_tenants.play(revoked_while_suspended) == (200, 1)


# What a controller confirms of its table.


def confirmed_age(mesh):
    follower = next(item for item in mesh.controllers if item is not mesh.leader())
    follower.process.suspend(AWAY_SECONDS)
    gevent.sleep(AWAY_SECONDS)
    age = follower.controller._confirmation.age()
    return age is None or age >= AWAY_SECONDS - confirmation.ASK_SECONDS


def test_a_controller_that_was_suspended_confirms_nothing_as_new():
    assert play(confirmed_age)


def test_with_a_clock_that_stands_still_it_would_confirm(clock_stands_still):
    assert not play(confirmed_age)


# Shares of a tenant's limit.


def follows_old_shares(mesh):
    machine = mesh.machines[2]
    suspend(machine)
    gevent.sleep(AWAY_SECONDS)
    quota = machine.sidecar.quota
    return quota._clock() - quota._updated_at <= UPDATE_SECONDS


def test_a_sidecar_that_was_suspended_does_not_follow_old_shares():
    assert not play(follows_old_shares)


def test_with_a_clock_that_stands_still_it_would_follow_them(clock_stands_still):
    assert play(follows_old_shares)


# The ledger's lease on a run.


def late_runs(run):
    return test_ledger.late_runs(run, SimulatedProcess.suspend)


def test_a_node_that_was_suspended_does_not_run_after_its_lease():
    assert test_ledger.play(late_runs) == []


def test_with_a_clock_that_stands_still_it_would_run_late(clock_stands_still):
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


def test_a_request_that_waited_during_a_suspension_does_not_start_after_its_deadline():
    assert play(runs_begun) == 4


def test_with_a_clock_that_stands_still_it_would_start(clock_stands_still):
    assert play(runs_begun) == 8


# What a machine says of its own worker.


@pytest.mark.parametrize("phase", [0.0, 0.75])
def test_a_worker_that_was_suspended_with_its_sidecar_is_not_taken_for_lost(phase):
    def script(mesh):
        machine = mesh.add_machine("t", beats=False)
        gevent.sleep(phase)
        machine.worker_process.spawn(machine.worker.send_heartbeats)
        gevent.sleep(3.0 - phase)
        suspend(machine)
        gevent.sleep(AWAY_SECONDS + 0.05)
        statuses = set()
        for _ in range(30):
            statuses.add(mesh.request(machine, "/other/x").status)
            gevent.sleep(0.1)
        return statuses

    assert play(script, services=("s", "s")) == {200}
