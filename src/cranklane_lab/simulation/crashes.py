"""Requests that end the worker that runs them, and workers that come back."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import gevent
from gevent.queue import Queue

from cranklane_lab.simulation.mesh import Mesh, MeshMachine
from cranklane_lab.standins.routed_worker import RoutedRun

BACK_SECONDS = 3.0
"""A worker that has ended is back after this long."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A worker that ended under a request.

    :ivar target: of the request that ended it.
    :ivar beside: requests that ran there besides.
    """

    at: float
    machine: str
    target: bytes
    beside: int


class CrashingRequests:
    """Lets requests whose target holds a mark end each worker that runs them.

    :ivar crashes: the ends of workers, in their order.
    """

    def __init__(self, mesh: Mesh, mark: bytes = b"/crash") -> None:
        self._mesh = mesh
        self._ended: Queue[tuple[MeshMachine, bytes, int]] = Queue()
        self.crashes: list[Crash] = []
        for machine in mesh.machines:
            machine.worker.state.crash_mark = mark
            machine.worker.state.on_crash = partial(self._crash, machine)
        # Belongs to no process: it survives the ends that it brings about.
        gevent.spawn(self._end_workers)

    def end(self, *machines: MeshMachine) -> None:
        """End workers at one moment for a reason of their own."""
        for machine in machines:
            self._ended.put((machine, b"", machine.worker.state.running))

    def mend(self) -> None:
        """Let workers bear such requests from now on."""
        for machine in self._mesh.machines:
            machine.worker.state.crash_mark = b""

    def runs_of(self, mark: bytes) -> list[RoutedRun]:
        """Return the runs of requests whose target holds a mark."""
        return [
            run
            for machine in self._mesh.machines
            for run in machine.worker.state.runs
            if mark in run.target
        ]

    def _crash(self, machine: MeshMachine, run: RoutedRun) -> None:
        self._ended.put((machine, run.target, machine.worker.state.running))
        gevent.sleep(BACK_SECONDS)

    def _end_workers(self) -> None:
        while True:
            machine, target, beside = self._ended.get()
            if machine.worker_process.dead:
                continue
            now = self._mesh.world.loop.now()
            self.crashes.append(Crash(now, machine.name, target, beside))
            machine.worker_process.kill()
            gevent.spawn_later(BACK_SECONDS, self._mesh.restart_worker, machine)

    def ends_under(self, mark: bytes) -> list[Crash]:
        """Return the ends of workers under requests whose target holds a mark."""
        return [crash for crash in self.crashes if mark in crash.target]
