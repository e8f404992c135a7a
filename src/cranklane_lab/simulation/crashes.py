"""Requests that end the worker that runs them, and workers that come back."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import gevent
from gevent.queue import Queue

from cranklane_lab.simulation.mesh import Mesh, MeshMachine
from cranklane_lab.standins.routed_worker import RoutedRun

CRASH_SECONDS = 0.05
"""A worker ends this long after it began to run such a request."""

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
        self._mark = mark
        self._ended: Queue[tuple[MeshMachine, bytes, int]] = Queue()
        self.crashes: list[Crash] = []
        for machine in mesh.machines:
            machine.worker.state.work = partial(self._work, machine, machine.worker.state.seconds)
        # Belongs to no process: it survives the ends that it brings about.
        gevent.spawn(self._end_workers)

    def end(self, *machines: MeshMachine) -> None:
        """End workers at one moment for a reason of their own."""
        for machine in machines:
            self._ended.put((machine, b"", machine.worker.state.running))

    def mend(self) -> None:
        """Let workers bear such requests from now on."""
        self._mark = b"\0"

    def runs_of(self, mark: bytes) -> list[RoutedRun]:
        """Return the runs of requests whose target holds a mark."""
        return [
            run
            for machine in self._mesh.machines
            for run in machine.worker.state.runs
            if mark in run.target
        ]

    def _work(self, machine: MeshMachine, seconds: float, run: RoutedRun) -> int:
        state = machine.worker.state
        state.running += 1
        try:
            if self._mark in run.target:
                gevent.sleep(CRASH_SECONDS)
                self._ended.put((machine, run.target, state.running - 1))
                gevent.sleep(BACK_SECONDS)
            gevent.sleep(seconds)
        finally:
            state.running -= 1
        return state.status

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
