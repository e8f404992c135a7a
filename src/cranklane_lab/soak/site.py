"""The processes of a soak: controllers, sidecars with workers, proxies between them."""

from __future__ import annotations

import shutil
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import gevent

from cranklane.runtime.real import RealRuntime
from cranklane_lab.fleet.mesh_flags import MeshPorts, as_arguments
from cranklane_lab.fleet.processes import FleetProcess, start
from cranklane_lab.soak.proxy import Proxy
from cranklane_lab.standins.routed_worker import RoutedRun, RoutedWorker

CONTROLLERS = 3
TOLERATED = 1
SERVICES = ("s", "s", "s", "t", "t")
SLOTS = 16
WORK_SECONDS = 0.01

CRASH_MARK = b"/read/crash"
"""Requests whose target holds this end the worker that runs them."""

BACK_SECONDS = 1.5
"""A worker that has ended is back after this long."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A worker that ended under a request."""

    at: float
    target: bytes


class SoakSite:
    """Addresses are of the loopback range; those told to others are the proxies'.

    :ivar controllers: running controllers by number.
    :ivar sidecars: running sidecars by number.
    :ivar proxies: by the name of the process behind each.
    :ivar crashes: the workers that have ended, in their order.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._ports = MeshPorts()
        self._runtime = RealRuntime()
        self.controllers: dict[int, FleetProcess] = {}
        self.sidecars: dict[int, FleetProcess] = {}
        self.workers: list[RoutedWorker] = []
        self.proxies: dict[str, Proxy] = {}
        self.crashes: list[Crash] = []

    def start(self) -> None:
        """Start everything for the first time."""
        for number in range(CONTROLLERS):
            self._proxy(f"controller-{number}", f"127.0.3.{number + 1}", f"127.0.1.{number + 1}")
        for number in range(CONTROLLERS):
            self.start_controller(number, first=True)
        for number in range(len(SERVICES)):
            self._proxy(f"sidecar-{number}", f"127.0.4.{number + 1}", f"127.0.2.{number + 1}")
            self.start_sidecar(number)
            self.workers.append(self._new_worker(number, f"i-{number}"))

    def _proxy(self, name: str, near: str, far: str) -> None:
        self.proxies[name] = Proxy((near, self._ports.peer), (far, self._ports.peer))

    def _seeds(self) -> str:
        # Operators are reached without a proxy, so the seeds' ports differ from theirs;
        # only their hosts count, with the peer port.
        return ",".join(f"127.0.3.{number + 1}:{self._ports.http}" for number in range(CONTROLLERS))

    def start_controller(self, number: int, first: bool = False, empty: bool = False) -> None:
        """Start a controller, with its disk or an empty one."""
        name = f"controller-{number}"
        data = self._folder / name
        if empty:
            shutil.rmtree(data, ignore_errors=True)
        host = f"127.0.1.{number + 1}"
        flags = {
            **self._ports.controller(name, host, str(data), self._seeds()),
            "advertise": f"127.0.3.{number + 1}:{self._ports.peer}",
            "first-start": "yes" if first else "no",
            "tolerated-losses": str(TOLERATED),
        }
        self.controllers[number] = self._start(name, "controller", flags)

    def start_sidecar(self, number: int) -> None:
        """Start a sidecar."""
        name = f"sidecar-{number}"
        host = f"127.0.2.{number + 1}"
        flags = {
            **self._ports.sidecar(name, host, SERVICES[number], self._seeds()),
            "advertise": f"127.0.4.{number + 1}:{self._ports.peer}",
            "heartbeat-seconds": "0.5",
        }
        self.sidecars[number] = self._start(name, "sidecar", flags)

    def _start(self, name: str, daemon: str, flags: dict[str, str]) -> FleetProcess:
        arguments = as_arguments(daemon, flags)
        return start(name, "cranklane.cli.entry", arguments, self._folder)

    def _new_worker(self, number: int, instance: str) -> RoutedWorker:
        host = f"127.0.2.{number + 1}"
        worker = RoutedWorker(
            self._runtime,
            SERVICES[number],
            instance,
            (host, self._ports.worker),
            (host, self._ports.registry),
            SLOTS,
            heartbeat_seconds=0.5,
        )
        worker.state.seconds = WORK_SECONDS
        worker.state.echoes = True
        worker.state.crash_mark = CRASH_MARK
        worker.state.on_crash = partial(self._crashed, number)
        self._runtime.spawn(worker.send_heartbeats)
        return worker

    def _crashed(self, number: int, run: RoutedRun) -> None:
        """End a worker under a request, and start it again a while later."""
        worker = self.workers[number]
        if worker.ended:
            return
        self.crashes.append(Crash(self._runtime.monotonic(), run.target))
        worker.end()
        gevent.spawn_later(BACK_SECONDS, self._restart_worker, number)

    def _restart_worker(self, number: int) -> None:
        former = self.workers[number]
        worker = self._new_worker(number, f"i-{number}+{len(self.crashes)}")
        worker.state.runs = former.state.runs
        self.workers[number] = worker

    def callers_address(self, number: int) -> tuple[str, int]:
        """Return where a sidecar's machine sends its requests."""
        return f"127.0.2.{number + 1}", self._ports.callers

    def operators_address(self, number: int) -> tuple[str, int]:
        """Return where operators ask a controller."""
        return f"127.0.1.{number + 1}", self._ports.http

    def processes(self) -> Iterable[FleetProcess]:
        """Return every process that was started and not replaced."""
        return [*self.controllers.values(), *self.sidecars.values()]

    def stop(self) -> None:
        """End the processes that this site started, by their numbers."""
        for process in self.processes():
            if process.alive:
                process.thaw()
                process.kill()
        for proxy in self.proxies.values():
            proxy.close()
