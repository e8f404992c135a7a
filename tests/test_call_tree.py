"""A worker's call gets the priority, deadline and retry status of its root request."""

from __future__ import annotations

from random import Random

import gevent

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member
from cranklane.sidecar.routing.destination import SATURATED_SECONDS
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.worker_choice import WorkerChoice
from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table

ROUTES = {
    "pay": {"prefix": "/pay/", "service": "top", "priority": 0},
    "view": {"prefix": "/view/", "service": "top", "priority": 2},
    "look": {"prefix": "/look/", "service": "deep", "priority": 1},
}
ROOT_SECONDS = 3.0
DEEP_SECONDS = 0.1


def delay(_source, _target):
    return 0.0005


def run_order_at_a_full_worker(first, later, gap_seconds=0.0, separator=".", objective_ms=1000):
    """Return the order in which calls from two runs get the only slot of a worker.

    :param first: route, id and start order of the run that calls first; ``later`` likewise.
    """

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        top = mesh.add_machine("top")
        deep = mesh.add_machine("deep", 1)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        routes = {name: {**route, "objective_ms": objective_ms} for name, route in ROUTES.items()}
        table = route_table(1, 0, routes, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        top.worker.state.seconds = ROOT_SECONDS
        deep.worker.state.seconds = DEEP_SECONDS
        tasks = []

        def send(path, name):
            tasks.append(gevent.spawn(mesh.request, top, path, name=name))

        runs = sorted([first, later], key=lambda run: run[2])
        send(f"/{runs[0][0]}/", runs[0][1])
        gevent.sleep(gap_seconds + 0.01)
        send(f"/{runs[1][0]}/", runs[1][1])
        gevent.sleep(0.1)
        send("/look/", "holder")
        gevent.sleep(0.01)
        for _, name, _ in (first, later):
            send("/look/", f"{name}{separator}1")
            gevent.sleep(0.01)
        gevent.joinall(tasks)
        return [run.request for run in deep.worker.state.runs]

    return simulate(1, delay, scenario)


def test_the_call_of_the_root_with_higher_priority_runs_first():
    order = run_order_at_a_full_worker(("view", "v", 0), ("pay", "p", 1))
    assert order == ["holder", "p.1", "v.1"]


def test_the_call_of_the_older_root_runs_first():
    runs = (("view", "young", 1), ("view", "old", 0))
    order = run_order_at_a_full_worker(*runs, gap_seconds=1.0, objective_ms=3000)
    assert order == ["holder", "old.1", "young.1"]


def test_the_call_of_a_root_that_can_meet_its_objective_runs_before_a_late_one():
    runs = (("view", "late", 0), ("view", "young", 1))
    order = run_order_at_a_full_worker(*runs, gap_seconds=1.0, objective_ms=800)
    assert order == ["holder", "young.1", "late.1"]


def test_a_call_that_names_no_run_is_treated_as_a_root_request():
    order = run_order_at_a_full_worker(("view", "v", 0), ("pay", "p", 1), separator="-")
    assert order == ["holder", "v-1", "p-1"]


class Clock:
    def __init__(self):
        self.now = 5.0

    def __call__(self):
        return self.now


def test_a_refusal_of_low_priority_does_not_saturate_higher_priorities():
    clock = Clock()
    destinations = Destinations(clock, "own")
    choice = WorkerChoice(destinations, clock, Random(1), "own", "a")
    destinations.set_local_member(
        Member(1, 1, MemberState.LIVE, "n", service="s", zone="a", address="127.0.0.1:1", slots=4)
    )
    destination = choice.choose("s", set(), 0)
    destination.record_capacity_refusal(clock.now, 1)
    assert choice.choose("s", set(), 0) is destination
    assert choice.choose("s", set(), 1) is None
    assert choice.all_saturated("s", 2)
    assert not choice.all_saturated("s", 0)
    clock.now += SATURATED_SECONDS + 0.001
    assert choice.choose("s", set(), 2) is destination


def early_refusals_after(deep_slots, count=250):
    """Return the early refusals among the last 20 requests, after runs that all failed.

    Each run, also of the last ones, makes one call, which is admitted only if the called worker
    has slots.
    """

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        top = mesh.add_machine("top", 8)
        deep = mesh.add_machine("deep", deep_slots)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        table = route_table(1, 0, ROUTES, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        top.worker.state.seconds = 0.05
        top.worker.state.status = 500

        def one(number):
            client_at = (top, deep)[number % 2]
            run = gevent.spawn(mesh.request, client_at, "/view/", name=f"run{number}")
            gevent.sleep(0.02)
            mesh.request(top, "/look/", name=f"run{number}.1")
            return run.get().status

        statuses = [one(number) for number in range(count + 20)]
        return statuses[-20:].count(503)

    return simulate(1, delay, scenario)


def test_failed_runs_whose_calls_found_capacity_keep_the_admitted_fraction():
    assert early_refusals_after(deep_slots=4) == 0


def test_failed_runs_whose_calls_found_no_capacity_lower_the_admitted_fraction():
    assert early_refusals_after(deep_slots=0) > 10


def status_and_attempts_of_a_failing_call(run_is_retried):
    """Return the status of a call whose first attempt fails, and its number of attempts.

    :param run_is_retried: whether the run that makes the call is itself a retry.
    """

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        first, second = mesh.add_machine("top"), mesh.add_machine("top")
        deep = [mesh.add_machine("deep") for _ in range(2)]
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        table = route_table(1, 0, ROUTES, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        first.worker.state.fail = int(run_is_retried)
        second.worker.state.seconds = 1.0
        first.worker.state.seconds = 0.05 if run_is_retried else 1.0
        root = gevent.spawn(mesh.request, first, "/view/", name="run")
        gevent.sleep(0.2)
        for machine in deep:
            machine.worker.state.fail = 1
        running = second if run_is_retried else first
        status = mesh.request(running, "/look/", name="run.1").status
        assert root.get().status == 200
        return status, sum(machine.worker.state.arrivals for machine in deep)

    return simulate(1, delay, scenario)


def test_calls_made_by_a_retried_run_are_not_retried():
    assert status_and_attempts_of_a_failing_call(run_is_retried=True) == (500, 1)
    assert status_and_attempts_of_a_failing_call(run_is_retried=False) == (500, 2)


def test_a_run_that_failed_for_lack_of_downstream_capacity_is_not_retried():
    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        tops = [mesh.add_machine("top") for _ in range(2)]
        mesh.add_machine("deep", 0)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        table = route_table(1, 0, ROUTES, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        for top in tops:
            top.worker.state.seconds = 1.0
            top.worker.state.status = 500
        root = gevent.spawn(mesh.request, tops[0], "/view/", name="run")
        gevent.sleep(0.1)
        for top in tops:
            mesh.request(top, "/look/", name="run.1")
        assert root.get().status == 500
        return sum(top.worker.state.arrivals for top in tops)

    assert simulate(1, delay, scenario) == 1


WAIT_SECONDS = 0.5
"""Exceeds the wait limit by the call's own objective of 0.3 s, but not that by its root."""


def status_of_a_waiting_call(root_objective_ms):
    """Return the status of a call that finds the only slot busy for ``WAIT_SECONDS``.

    :param root_objective_ms: objective and timeout of the root request.
    """

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        top = mesh.add_machine("top")
        deep = mesh.add_machine("deep", 1)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        view = {
            **ROUTES["view"],
            "objective_ms": root_objective_ms,
            "timeout_ms": root_objective_ms,
        }
        look = {**ROUTES["look"], "objective_ms": 300}
        table = route_table(1, 0, {**ROUTES, "view": view, "look": look}, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        top.worker.state.seconds = ROOT_SECONDS
        deep.worker.state.seconds = WAIT_SECONDS
        gevent.spawn(mesh.request, top, "/view/", name="run")
        gevent.sleep(0.05)
        gevent.spawn(mesh.request, top, "/look/", name="run.1")
        gevent.sleep(0.05)
        return mesh.request(top, "/look/", name="run.2").status

    return simulate(1, delay, scenario)


def test_a_call_waits_for_the_spare_time_of_its_root():
    assert status_of_a_waiting_call(root_objective_ms=3000) == 200


def test_a_call_of_a_root_with_little_time_left_is_refused():
    assert status_of_a_waiting_call(root_objective_ms=400) == 503
