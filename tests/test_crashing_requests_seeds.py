"""Requests that end workers under drawn faults: kills, pauses, suspensions, cuts, ends of workers.

Seeds 1 to 50 are played by hand (``python tests/test_crashing_requests_seeds.py``), a few here.
"""

from __future__ import annotations

import sys
from random import Random

import gevent
import pytest

from cranklane_lab.simulation.crashes import CrashingRequests
from mesh_support import play
from test_crashing_requests import Callers, repeat

KINDS = 2
SECONDS = 20.0
KNOWN_SECONDS = 3.0
"""After its third end, a request is known at every sidecar in touch this much later."""

MOST_RUNS_AFTER = 3
CALM_SECONDS = 8.0
"""Faults end this long before the repeats do."""


class DrawnFaults:
    """Strikes one machine after the other until its time is over."""

    def __init__(self, mesh, crashing, seed):
        self._mesh = mesh
        self._crashing = crashing
        self._random = Random(seed)
        self._until = mesh.world.loop.now() + SECONDS - CALM_SECONDS
        gevent.spawn(self._strike_on)

    def _strike_on(self):
        faults = (self._kill, self._freeze, self._suspend, self._cut, self._end_worker)
        while self._mesh.world.loop.now() < self._until:
            gevent.sleep(self._random.uniform(0.3, 2.0))
            self._random.choice(faults)(self._random.choice(self._mesh.machines))

    def _kill(self, machine):
        machine.process.kill()
        gevent.sleep(self._random.uniform(0.0, 1.0))
        machine.process, machine.sidecar = self._mesh.start_sidecar(
            machine.name, machine.service, machine.zone, machine.host
        )

    def _freeze(self, machine):
        machine.process.freeze(self._random.uniform(0.2, 3.0))

    def _suspend(self, machine):
        seconds = self._random.uniform(0.5, 5.0)
        machine.process.suspend(seconds)
        machine.worker_process.suspend(seconds)

    def _cut(self, machine):
        network = self._mesh.world.network
        others = [item.process.name for item in self._mesh.machines if item is not machine]
        others += [item.process.name for item in self._mesh.controllers]
        for other in others:
            network.cut(machine.process.name, other)
            network.cut(other, machine.process.name)
        gevent.sleep(self._random.uniform(0.3, 3.0))
        network.heal_all()

    def _end_worker(self, machine):
        self._crashing.end(machine)


def drawn(seed):
    """Play a seed; return ends and late runs of each request, held requests, part served."""

    def script(mesh):
        crashing = CrashingRequests(mesh)
        callers = Callers(mesh, SECONDS)
        DrawnFaults(mesh, crashing, seed)
        paths = [f"/read/crash/{kind}" for kind in range(KINDS)]
        gevent.joinall([gevent.spawn(repeat, mesh, path, 40, SECONDS / 40) for path in paths])
        served = callers.join()
        ends, late = [], []
        for path in paths:
            moments = [crash.at for crash in crashing.crashes_caused_by(path.encode())]
            ends.append(len(moments))
            known = moments[2] + KNOWN_SECONDS if len(moments) > 2 else float("inf")
            runs = crashing.runs_of(path.encode())
            late.append(sum(run.at > known for run in runs))
        held = {
            entry.identity
            for machine in mesh.machines
            for entry in machine.sidecar.quarantine.table.quarantined()
        }
        return ends, late, len(held), served

    return play(script, seed=seed, services=("s",) * 8 + ("t",) * 3, slots=16)


def assert_good(played):
    ends, late, held, _ = played
    assert max(late) <= MOST_RUNS_AFTER
    assert held <= KINDS
    assert max(ends) <= 3


@pytest.mark.parametrize("seed", range(1, 7))
def test_under_drawn_faults_the_request_is_known_and_no_other_is_held(seed):
    assert_good(drawn(seed))


if __name__ == "__main__":
    from cranklane_lab.simulate import quiet

    quiet()
    for number in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        print(number, drawn(number), flush=True)
