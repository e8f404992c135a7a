"""A worker whose departure was acknowledged gets no requests, whatever ends or arrives later."""

from __future__ import annotations

import gevent

from mesh_support import play
from test_stated_limits import FOUR_OF_ONE_SERVICE, arrivals, send_load, statuses

DRAIN_SECONDS = 2.0
"""Time after the acknowledgement of a departure from which no request may reach the worker."""


def play_mesh(script, seed=1):
    return play(script, seed=seed, services=FOUR_OF_ONE_SERVICE, slots=20)


def requests_after_departure(mesh, restart, deliver):
    """Return the requests that reach a worker after its departure, and the share answered.

    :param restart: called half a second after the acknowledgement.
    :param deliver: called with the worker and a heartbeat from before the departure, once requests
        may no longer reach it.
    """
    worker = mesh.machines[0].worker
    send_load(mesh, 1.0, [])
    held_up = worker.next_heartbeat()
    # No machine has a request refused by the worker's sidecar, which would tell it.
    gevent.sleep(0.5)
    assert worker.depart() == 200
    gevent.sleep(0.5)
    restart()
    gevent.sleep(DRAIN_SECONDS)
    before = arrivals(mesh)
    deliver(worker, held_up)
    answers = []
    send_load(mesh, 6.0, answers)
    gevent.sleep(1.0)
    return arrivals(mesh) - before, statuses(answers)


SEEDS = (1, 2, 3)


def test_a_late_heartbeat_after_a_restart_of_its_sidecar_does_not_revive_a_worker():
    def script(mesh):
        return requests_after_departure(
            mesh,
            restart=lambda: mesh.restart_sidecar(mesh.machines[0]),
            deliver=lambda worker, held_up: worker.deliver_heartbeat(held_up),
        )

    assert [play_mesh(script, seed) for seed in SEEDS] == [(0, 1.0)] * len(SEEDS)
