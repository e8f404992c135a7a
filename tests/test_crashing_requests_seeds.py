"""Quarantine of crashing requests under random faults of sidecars, workers and the network.

Run a range of seeds with ``python tests/test_crashing_requests_seeds.py FIRST LAST``.
"""

from __future__ import annotations

import sys
from random import Random

import gevent
import pytest

from cranklane_lab.simulation.crashes import CrashingRequests
from mesh_support import play
from test_crashing_requests import Callers, send_repeatedly

CRASHING_REQUEST_COUNT = 2
SECONDS = 20.0
PROPAGATION_SECONDS = 3.0
"""Time after a request's third crash until it is quarantined at every reachable sidecar."""

MAX_LATE_RUNS = 3
FAULT_FREE_SECONDS = 8.0
"""Time without faults at the end of a run."""


class RandomFaults:
    """Injects random faults at random machines until the fault-free time."""

    def __init__(self, mesh, crashing, seed):
        self._mesh = mesh
        self._crashing = crashing
        self._random = Random(seed)
        self._stop_at = mesh.world.loop.now() + SECONDS - FAULT_FREE_SECONDS
        gevent.spawn(self._inject_faults)

    def _inject_faults(self):
        faults = (self._kill, self._freeze, self._suspend, self._partition, self._crash_worker)
        while self._mesh.world.loop.now() < self._stop_at:
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

    def _partition(self, machine):
        network = self._mesh.world.network
        peer_names = [peer.process.name for peer in self._mesh.machines if peer is not machine]
        peer_names += [peer.process.name for peer in self._mesh.controllers]
        for peer_name in peer_names:
            network.cut(machine.process.name, peer_name)
            network.cut(peer_name, machine.process.name)
        gevent.sleep(self._random.uniform(0.3, 3.0))
        network.heal_all()

    def _crash_worker(self, machine):
        self._crashing.end(machine)


def play_seed(seed):
    """Run a simulation with random faults.

    :returns: crashes and late runs per crashing request, quarantined requests, served fraction.
    """

    def script(mesh):
        crashing = CrashingRequests(mesh)
        callers = Callers(mesh, SECONDS)
        RandomFaults(mesh, crashing, seed)
        paths = [f"/read/crash/{index}" for index in range(CRASHING_REQUEST_COUNT)]
        gevent.joinall(
            [gevent.spawn(send_repeatedly, mesh, path, 40, SECONDS / 40) for path in paths]
        )
        served = callers.join()
        crash_counts, late_runs = [], []
        for path in paths:
            crash_times = [crash.at for crash in crashing.crashes_caused_by(path.encode())]
            crash_counts.append(len(crash_times))
            propagated_at = (
                crash_times[2] + PROPAGATION_SECONDS if len(crash_times) > 2 else float("inf")
            )
            runs = crashing.runs_of(path.encode())
            late_runs.append(sum(run.at > propagated_at for run in runs))
        quarantined = {
            entry.identity
            for machine in mesh.machines
            for entry in machine.sidecar.quarantine.table.quarantined()
        }
        return crash_counts, late_runs, len(quarantined), served

    return play(script, seed=seed, services=("s",) * 8 + ("t",) * 3, slots=16)


def check_invariants(results):
    crash_counts, late_runs, quarantined_count, _ = results
    assert max(late_runs) <= MAX_LATE_RUNS
    assert quarantined_count <= CRASHING_REQUEST_COUNT
    assert max(crash_counts) <= 3


@pytest.mark.parametrize("seed", range(1, 7))
def test_quarantine_under_random_faults(seed):
    check_invariants(play_seed(seed))


if __name__ == "__main__":
    from cranklane_lab.simulate import quiet

    quiet()
    for number in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        print(number, play_seed(number), flush=True)
