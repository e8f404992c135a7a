"""Simulated mesh of controllers, sidecars and workers, shared by test modules."""

from __future__ import annotations

import gevent

from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table

ROUTES = {
    "read": {"prefix": "/read/", "service": "s"},
    "sign": {"prefix": "/sign/", "service": "s", "repeat": "unsafe"},
    "other": {"prefix": "/other/", "service": "t", "timeout_ms": 700},
}


MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limit on the size of a body in tables for uploads."""


def delay(_source, _target):
    """Return the network delay between two hosts, in seconds."""
    return 0.0005


def start_mesh(world, services=("s", "s", "t"), routes=ROUTES, slots=4):
    """Return a mesh of three controllers and one machine per service, with a route table."""
    mesh = Mesh(world)
    mesh.start_controllers(3)
    for service in services:
        mesh.add_machine(service, slots)
    assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
    initial_table = route_table(1, 0, routes, ("s", "t"))
    assert mesh.wait_for(lambda: mesh.apply_route_table(initial_table).status == 200, 5)
    gevent.sleep(2.0)
    return mesh


def play(script, seed=1, network_delay=delay, **options):
    """Return the result of ``script(mesh)`` on a new mesh; fail if a task of it raised.

    :param network_delay: returns the delay between two hosts, in seconds.
    :param options: arguments of ``start_mesh``.
    """

    def scenario(world):
        result = script(start_mesh(world, **options))
        assert not world.loop.task_errors
        return result

    return simulate(seed, network_delay, scenario)


def upload_table(version, base, routes):
    """Return a route table that allows bodies of up to ``MAX_BODY_BYTES``."""
    document = route_table(version, base, routes, ("s", "t"))
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    return document


def play_uploads(script, routes, **options):
    """Like :func:`play`, with a route table that allows large bodies."""

    def with_table(mesh):
        assert mesh.apply_route_table(upload_table(2, 1, routes)).status == 200
        gevent.sleep(1.0)
        return script(mesh)

    return play(with_table, routes=routes, **options)


def runs(mesh):
    """Return the runs of all workers, grouped by machine."""
    return [run for machine in mesh.machines for run in machine.worker.state.runs]


def configure_workers(mesh, **attributes):
    """Set attributes of the state of every worker, such as faults and the service time."""
    for machine in mesh.machines:
        for name, value in attributes.items():
            setattr(machine.worker.state, name, value)
