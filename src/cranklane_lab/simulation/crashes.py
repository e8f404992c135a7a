"""Requests that crash the worker that runs them, and worker restarts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import gevent
from gevent.queue import Queue

from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.mesh_machines import MeshMachine
from cranklane_lab.standins.routed_worker_state import RoutedRun

RESTART_DELAY_SECONDS = 3.0
"""Delay between a worker's crash and its restart."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A worker crash.

    :ivar at: virtual second of the crash.
    :ivar target: target of the request that caused it; empty for a crash without one.
    :ivar in_flight: requests in flight on the worker, without the one that crashed it.
    """

    at: float
    machine: str
    target: bytes
    in_flight: int


class CrashingRequests:
    """Makes requests whose target contains a mark crash each worker that runs them.

    :ivar crashes: worker crashes in chronological order.
    """

    def __init__(self, mesh: Mesh, mark: bytes = b"/crash") -> None:
        self._mesh = mesh
        self._pending_crashes: Queue[tuple[MeshMachine, bytes, int]] = Queue()
        self.crashes: list[Crash] = []
        for machine in mesh.machines:
            machine.worker.state.crash_mark = mark
            machine.worker.state.on_crash = partial(self._crash, machine)
        # Spawned outside any simulated process, so that killing a worker doesn't kill it.
        gevent.spawn(self._crash_workers)

    def end(self, *machines: MeshMachine) -> None:
        """Crash workers at the same moment, without a request as the cause."""
        for machine in machines:
            self._pending_crashes.put((machine, b"", machine.worker.state.running))

    def stop_crashing(self) -> None:
        """Stop marked requests from crashing workers."""
        for machine in self._mesh.machines:
            machine.worker.state.crash_mark = b""

    def runs_of(self, mark: bytes) -> list[RoutedRun]:
        """Return the runs of requests whose target contains ``mark``."""
        return [
            run
            for machine in self._mesh.machines
            for run in machine.worker.state.runs
            if mark in run.target
        ]

    def _crash(self, machine: MeshMachine, run: RoutedRun) -> None:
        self._pending_crashes.put((machine, run.target, machine.worker.state.running))
        gevent.sleep(RESTART_DELAY_SECONDS)

    def _crash_workers(self) -> None:
        while True:
            machine, target, in_flight = self._pending_crashes.get()
            if machine.worker_process.dead:
                continue
            now = self._mesh.world.loop.now()
            self.crashes.append(Crash(now, machine.name, target, in_flight))
            machine.worker_process.kill()
            gevent.spawn_later(RESTART_DELAY_SECONDS, self._mesh.restart_worker, machine)

    def crashes_caused_by(self, mark: bytes) -> list[Crash]:
        """Return the crashes caused by requests whose target contains ``mark``."""
        return [crash for crash in self.crashes if mark in crash.target]
