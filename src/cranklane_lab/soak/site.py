"""Deployment under a soak test: controllers, sidecars, workers and the proxies between them."""

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
TOLERATED_LOSSES = 1
SERVICES = ("s", "s", "s", "t", "t")
SLOTS = 16
WORK_SECONDS = 0.01

CRASH_MARK = b"/read/crash"
"""A request whose target contains this crashes the worker that runs it."""

WORKER_RESTART_SECONDS = 1.5
"""Time between the crash of a worker and its restart."""


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a worker while it ran a request."""

    at: float
    target: bytes


class SoakSite:
    """Processes on loopback addresses, which advertise the addresses of their proxies.

    :ivar controllers: controller processes by number.
    :ivar sidecars: sidecar processes by number.
    :ivar proxies: proxies by the name of the target process.
    :ivar crashes: worker crashes in order of time.
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
        """Start all proxies, processes and workers."""
        for number in range(CONTROLLERS):
            self._proxy(f"controller-{number}", f"127.0.3.{number + 1}", f"127.0.1.{number + 1}")
        for number in range(CONTROLLERS):
            self.start_controller(number, first_start=True)
        for number in range(len(SERVICES)):
            self._proxy(f"sidecar-{number}", f"127.0.4.{number + 1}", f"127.0.2.{number + 1}")
            self.start_sidecar(number)
            self.workers.append(self._new_worker(number, f"i-{number}"))

    def _proxy(self, name: str, listen_host: str, target_host: str) -> None:
        self.proxies[name] = Proxy((listen_host, self._ports.peer), (target_host, self._ports.peer))

    def _seeds(self) -> str:
        # The HTTP port is not proxied. Only the host of a seed is used, with the peer port.
        return ",".join(f"127.0.3.{number + 1}:{self._ports.http}" for number in range(CONTROLLERS))

    def start_controller(self, number: int, first_start: bool = False, empty: bool = False) -> None:
        """Start or restart a controller.

        :param first_start: whether the group starts for the first time.
        :param empty: whether to delete its data first.
        """
        name = f"controller-{number}"
        data = self._folder / name
        if empty:
            shutil.rmtree(data, ignore_errors=True)
        host = f"127.0.1.{number + 1}"
        flags = {
            **self._ports.controller(name, host, str(data), self._seeds()),
            "advertise": f"127.0.3.{number + 1}:{self._ports.peer}",
            "first-start": "yes" if first_start else "no",
            "tolerated-losses": str(TOLERATED_LOSSES),
        }
        self.controllers[number] = self._start(name, "controller", flags)

    def start_sidecar(self, number: int) -> None:
        """Start or restart a sidecar."""
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
        worker.state.on_crash = partial(self._crash_worker, number)
        self._runtime.spawn(worker.send_heartbeats)
        return worker

    def _crash_worker(self, number: int, run: RoutedRun) -> None:
        """Crash a worker and schedule its restart."""
        worker = self.workers[number]
        if worker.ended:
            return
        self.crashes.append(Crash(self._runtime.monotonic(), run.target))
        worker.end()
        gevent.spawn_later(WORKER_RESTART_SECONDS, self._restart_worker, number)

    def _restart_worker(self, number: int) -> None:
        """Restart a crashed worker; every other one keeps its id."""
        previous = self.workers[number]
        keeps_id = len(self.crashes) % 2 == 0
        instance = previous.instance if keeps_id else f"i-{number}+{len(self.crashes)}"
        worker = self._new_worker(number, instance)
        worker.state.runs = previous.state.runs
        self.workers[number] = worker

    def callers_address(self, number: int) -> tuple[str, int]:
        """Return the address of a sidecar for its local callers."""
        return f"127.0.2.{number + 1}", self._ports.callers

    def operators_address(self, number: int) -> tuple[str, int]:
        """Return the address of a controller's operator interface."""
        return f"127.0.1.{number + 1}", self._ports.http

    def processes(self) -> Iterable[FleetProcess]:
        """Return the latest process of each controller and sidecar."""
        return [*self.controllers.values(), *self.sidecars.values()]

    def stop(self) -> None:
        """Kill all processes and close the proxies."""
        for process in self.processes():
            if process.alive:
                process.thaw()
                process.kill()
        for proxy in self.proxies.values():
            proxy.close()
