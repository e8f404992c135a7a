"""A mesh of sidecars and controllers to try requests on, shared by test modules."""

from __future__ import annotations

import gevent

from cranklane_lab.simulation.mesh import Mesh, route_table
from cranklane_lab.simulation.world import simulate

ROUTES = {
    "read": {"prefix": "/read/", "service": "s"},
    "sign": {"prefix": "/sign/", "service": "s", "repeat": "unsafe"},
    "other": {"prefix": "/other/", "service": "t", "timeout_ms": 700},
}


def delay(_source, _target):
    return 0.0005


def start(world, services=("s", "s", "t"), routes=ROUTES, slots=4):
    mesh = Mesh(world)
    mesh.start_controllers(3)
    for service in services:
        mesh.add_machine(service, slots)
    assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
    first = route_table(1, 0, routes, ("s", "t"))
    assert mesh.wait_for(lambda: mesh.apply_route_table(first).status == 200, 5)
    gevent.sleep(2.0)
    return mesh


def play(script, seed=1, **options):
    def scenario(world):
        result = script(start(world, **options))
        assert not world.loop.task_errors
        return result

    return simulate(seed, delay, scenario)


def runs(mesh):
    return [run for machine in mesh.machines for run in machine.worker.state.runs]


def each_worker(mesh, **faults):
    for machine in mesh.machines:
        for name, value in faults.items():
            setattr(machine.worker.state, name, value)
