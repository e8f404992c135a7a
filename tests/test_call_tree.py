"""A call that a worker makes counts as much as the request it is made for."""

from __future__ import annotations

from random import Random

import gevent

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member
from cranklane.sidecar.routing.destination import SATURATED_SECONDS
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.worker_choice import WorkerChoice
from cranklane_lab.simulation.mesh import Mesh, route_table
from cranklane_lab.simulation.world import simulate

ROUTES = {
    "pay": {"prefix": "/pay/", "service": "top", "priority": 0},
    "view": {"prefix": "/view/", "service": "top", "priority": 2},
    "look": {"prefix": "/look/", "service": "deep", "priority": 1},
}
ROOT_SECONDS = 3.0
DEEP_SECONDS = 0.1


def delay(_source, _target):
    return 0.0005


def order_at_a_full_worker(first, later, gap=0.0, separator=".", objective_ms=1000):
    """Make two calls, each from a run of its own, wait for one slot; return their order.

    :param first: route and id of the run that calls first.
    :param gap: seconds between the starts of the two runs.
    :param objective_ms: of the requests that these runs answer.
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

        runs = sorted([first, later], key=lambda item: item[2])
        send(f"/{runs[0][0]}/", runs[0][1])
        gevent.sleep(gap + 0.01)
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


def test_the_call_for_the_more_important_request_goes_first():
    order = order_at_a_full_worker(("view", "v", 0), ("pay", "p", 1))
    assert order == ["holder", "p.1", "v.1"]


def test_the_call_for_the_older_request_goes_first():
    runs = (("view", "young", 1), ("view", "old", 0))
    order = order_at_a_full_worker(*runs, gap=1.0, objective_ms=3000)
    assert order == ["holder", "old.1", "young.1"]


def test_the_call_for_a_request_that_can_still_be_in_time_goes_before_a_late_one():
    runs = (("view", "late", 0), ("view", "young", 1))
    order = order_at_a_full_worker(*runs, gap=1.0, objective_ms=800)
    assert order == ["holder", "young.1", "late.1"]


def test_a_call_that_names_no_run_counts_for_itself():
    order = order_at_a_full_worker(("view", "v", 0), ("pay", "p", 1), separator="-")
    assert order == ["holder", "v-1", "p-1"]


class Clock:
    def __init__(self):
        self.now = 5.0

    def __call__(self):
        return self.now


def test_no_room_for_the_less_important_says_nothing_of_the_more_important():
    clock = Clock()
    known = Destinations(clock, "own")
    choice = WorkerChoice(known, clock, Random(1), "own", "a")
    known.set_own(
        Member(1, 1, MemberState.LIVE, "n", service="s", zone="a", address="127.0.0.1:1", slots=4)
    )
    destination = choice.choose("s", set(), 0)
    destination.refused_at_capacity(clock.now, 1)
    assert choice.choose("s", set(), 0) is destination
    assert choice.choose("s", set(), 1) is None
    assert choice.all_saturated("s", 2)
    assert not choice.all_saturated("s", 0)
    clock.now += SATURATED_SECONDS + 0.001
    assert choice.choose("s", set(), 2) is destination


def refused_early_after(deep_slots, count=250):
    """Return how many of some requests are refused early after runs that all failed.

    Each run makes one call, which finds room only if the worker called has slots.
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

        for number in range(count):
            one(number)
        return sum(mesh.request(top, "/view/").status == 503 for _ in range(20))

    return simulate(1, delay, scenario)


def test_failed_runs_whose_calls_found_room_lower_nothing():
    assert refused_early_after(deep_slots=4) == 0


def test_failed_runs_whose_calls_found_no_capacity_lower_the_admitted_fraction():
    assert refused_early_after(deep_slots=0) > 10


def arrivals_of_a_failing_call(run_is_repeated):
    """Return the arrivals at the workers below of one call, whose first run fails.

    :param run_is_repeated: whether the run that makes it is itself a second one.
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
        first.worker.state.fail = int(run_is_repeated)
        second.worker.state.seconds = 1.0
        first.worker.state.seconds = 0.05 if run_is_repeated else 1.0
        root = gevent.spawn(mesh.request, first, "/view/", name="run")
        gevent.sleep(0.2)
        for machine in deep:
            machine.worker.state.fail = 1
        running = second if run_is_repeated else first
        status = mesh.request(running, "/look/", name="run.1").status
        assert root.get().status == 200
        return status, sum(machine.worker.state.arrivals for machine in deep)

    return simulate(1, delay, scenario)


def test_what_a_repeated_run_calls_is_not_repeated_again():
    assert arrivals_of_a_failing_call(run_is_repeated=True) == (500, 1)
    assert arrivals_of_a_failing_call(run_is_repeated=False) == (500, 2)


def test_a_run_that_failed_for_want_of_room_is_not_repeated():
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


WAITED_SECONDS = 0.5
"""Longer than a call may wait by its own objective of 0.3 s, shorter than its root can spare."""


def end_of_a_call_that_waits(root_objective_ms):
    """Return the status of a call that finds the only slot taken for a while.

    :param root_objective_ms: of the request for whose sake it is made.
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
        deep.worker.state.seconds = WAITED_SECONDS
        gevent.spawn(mesh.request, top, "/view/", name="run")
        gevent.sleep(0.05)
        gevent.spawn(mesh.request, top, "/look/", name="run.1")
        gevent.sleep(0.05)
        return mesh.request(top, "/look/", name="run.2").status

    return simulate(1, delay, scenario)


def test_a_call_waits_as_long_as_its_root_can_spare():
    assert end_of_a_call_that_waits(root_objective_ms=3000) == 200


def test_a_call_whose_root_is_in_a_hurry_is_refused_at_once():
    assert end_of_a_call_that_waits(root_objective_ms=400) == 503
