"""Deployment under a soak test: controllers, sidecars, workers and the proxies between them."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

import gevent

from cranklane.runtime.real import RealRuntime
from cranklane_lab.evidence.departure_rules import DepartureRules, WorkerArrival
from cranklane_lab.evidence.notice_rules import Arrival, NoticeRules
from cranklane_lab.fleet.mesh_flags import MeshPorts, as_arguments
from cranklane_lab.fleet.processes import FleetProcess, start
from cranklane_lab.soak.proxy import Proxy
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.routed_worker import RoutedWorker
from cranklane_lab.standins.routed_worker_state import LateBody, RoutedRun

CONTROLLERS = 3
TOLERATED_LOSSES = 1
SERVICES = ("s", "s", "s", "t", "t")
"""Services of the machines, repeated in larger sites."""
SLOTS = 16
WORK_SECONDS = 0.01

CRASH_MARK = b"/read/crash"
"""A request whose target contains this crashes the worker that runs it."""

COLD_SECONDS = 3.0
COLD_FACTORS = (2.0, 3.0, 4.0)
"""Time after a restart in which a worker is slow, and the factors of its run time."""

LATE_HEARTBEAT_SECONDS = (1.0, 2.5, 4.0, 6.0)
"""Times from the crash of a worker to the delivery of a heartbeat that it sent before."""

WORKER_RESTART_SECONDS = 1.5
"""Time between the crash of a worker and its restart."""


def service_of(number: int) -> str:
    """Return the service of a machine."""
    return SERVICES[number % len(SERVICES)]


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a worker while it ran a request."""

    at: float
    target: bytes


class Origin(NamedTuple):
    """Where, when and by whose caller a request was sent."""

    machine: int
    sent_at: float
    tenant: str


class SoakSite:
    """Processes on loopback addresses, which advertise the addresses of their proxies.

    :param rules: receives what workers state and which requests reach them.
    :param departure_rules: receives which requests reach them.
    :param on_run: called with the name of the tenant that sent it and each run as it starts.
    :param on_late_body: called with each body that a worker read after its answer.
    :ivar machines: number of sidecars, each with a worker.
    :ivar controllers: controller processes by number.
    :ivar sidecars: sidecar processes by number.
    :ivar proxies: proxies by the name of the target process.
    :ivar crashes: worker crashes in order of time.
    """

    def __init__(
        self,
        folder: Path,
        rules: NoticeRules,
        departure_rules: DepartureRules,
        on_run: Callable[[str, RoutedRun], None],
        on_late_body: Callable[[LateBody], None],
        machines: int = len(SERVICES),
    ) -> None:
        self._folder = folder
        self._rules = rules
        self._departure_rules = departure_rules
        self._on_run = on_run
        self._on_late_body = on_late_body
        self._origins: dict[str, Origin] = {}
        self._slow_factors: dict[str, float] = {}
        self._cold_factors: dict[str, float] = {}
        self.machines = machines
        self._ports = MeshPorts()
        self._runtime = RealRuntime()
        self._started: list[FleetProcess] = []
        self.controllers: dict[int, FleetProcess] = {}
        self.sidecars: dict[int, FleetProcess] = {}
        self.workers: list[RoutedWorker] = []
        self.proxies: dict[str, Proxy] = {}
        self.crashes: list[Crash] = []
        self._restarts = 0

    def start(self) -> None:
        """Start all proxies, processes and workers."""
        for number in range(CONTROLLERS):
            self._proxy(f"controller-{number}", f"127.0.3.{number + 1}", f"127.0.1.{number + 1}")
        for number in range(CONTROLLERS):
            self.start_controller(number, first_start=True)
        for number in range(self.machines):
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
            **self._ports.sidecar(name, host, service_of(number), self._seeds()),
            "advertise": f"127.0.4.{number + 1}:{self._ports.peer}",
            "heartbeat-seconds": "0.5",
            "settings": str(self._settings_file(number)),
        }
        self.sidecars[number] = self._start(name, "sidecar", flags)

    def _settings_file(self, number: int) -> Path:
        """Return the settings file of a sidecar, which it watches; flags override its settings."""
        path = self._folder / f"sidecar-{number}.toml"
        if not path.exists():
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text("")
        return path

    def change_settings(self, number: int) -> None:
        """Rewrite a sidecar's settings file without a change of its settings."""
        path = self._settings_file(number)
        path.write_text(path.read_text() + "# rewritten\n")

    def _start(self, name: str, daemon: str, flags: dict[str, str]) -> FleetProcess:
        arguments = as_arguments(daemon, flags)
        process = start(name, "cranklane.cli.entry", arguments, self._folder)
        self._started.append(process)
        return process

    def exited_unexpectedly(self) -> list[FleetProcess]:
        """Return the processes of the whole run that have exited without a request to end."""
        return [process for process in self._started if process.exited_unexpectedly]

    def _new_worker(self, number: int, instance: str) -> RoutedWorker:
        host = f"127.0.2.{number + 1}"
        worker = RoutedWorker(
            self._runtime,
            service_of(number),
            instance,
            (host, self._ports.worker),
            (host, self._ports.registry),
            SLOTS,
            heartbeat_seconds=0.5,
        )
        worker.state.seconds = WORK_SECONDS
        worker.state.echoes = True
        worker.state.states_load = True
        worker.state.on_run = self._record_run
        worker.state.on_late_body = self._on_late_body
        worker.state.keeps_late_bodies = False
        worker.state.on_notice = partial(self._record_stated, worker)
        worker.state.on_arrival = partial(self._record_arrival, number, worker)
        worker.state.crash_mark = CRASH_MARK
        worker.state.on_crash = partial(self._crash_worker, number)
        self._runtime.spawn(worker.send_heartbeats)
        return worker

    def record_origin(self, request: str, machine: int, tenant: str) -> None:
        """Record at which machine a tenant's request begins, and that it is sent now."""
        self._origins[request] = Origin(machine, self._runtime.monotonic(), tenant)

    def _record_stated(self, worker: RoutedWorker, limit: float | None) -> None:
        self._rules.stated(worker.label, self._runtime.monotonic(), limit)

    def _record_arrival(
        self, number: int, worker: RoutedWorker, request: str, is_misdirected: bool
    ) -> None:
        origin = self._origins[request]
        now = self._runtime.monotonic()
        origin_name = f"sidecar-{origin.machine}"
        self._rules.arrived(worker.label, Arrival(now, origin_name, origin.sent_at))
        if not is_misdirected:
            arrival = WorkerArrival(now, request, origin_name, f"sidecar-{number}")
            self._departure_rules.arrived(worker.label, arrival)

    def _record_run(self, run: RoutedRun) -> None:
        self._on_run(self._origins[run.request].tenant, run)
        # The bodies of all runs of a long soak would exhaust the memory.
        run.body = b""

    def set_slow_factor(self, worker: RoutedWorker, factor: float) -> None:
        """Set the factor of a worker's run time by which slow periods lengthen it."""
        self._slow_factors[worker.label] = factor
        self._apply_factors(worker)

    def _apply_factors(self, worker: RoutedWorker) -> None:
        slow = self._slow_factors.get(worker.label, 1.0)
        worker.state.seconds = WORK_SECONDS * slow * self._cold_factors.get(worker.label, 1.0)

    def _start_cold(self, worker: RoutedWorker) -> None:
        """Slow a worker down for some seconds; only some say so in their heartbeats."""
        self._cold_factors[worker.label] = COLD_FACTORS[self._restarts % len(COLD_FACTORS)]
        self._apply_factors(worker)
        if self._restarts % 2:
            worker.state.cold_until = self._runtime.monotonic() + COLD_SECONDS
        gevent.spawn_later(COLD_SECONDS, self._warm_up, worker)

    def _warm_up(self, worker: RoutedWorker) -> None:
        del self._cold_factors[worker.label]
        self._apply_factors(worker)

    def exit_worker(self, worker: RoutedWorker) -> None:
        """End a worker that has left, and schedule its restart."""
        if worker.ended:
            return
        worker.end()
        number = self.workers.index(worker)
        gevent.spawn_later(WORKER_RESTART_SECONDS, self._restart_worker, number)

    def _crash_worker(self, number: int, run: RoutedRun) -> None:
        """Crash a worker and schedule its restart."""
        worker = self.workers[number]
        if worker.ended:
            return
        self.crashes.append(Crash(self._runtime.monotonic(), run.target))
        delay = LATE_HEARTBEAT_SECONDS[len(self.crashes) % len(LATE_HEARTBEAT_SECONDS)]
        gevent.spawn_later(delay, worker.deliver_heartbeat, worker.next_heartbeat())
        worker.end()
        gevent.spawn_later(WORKER_RESTART_SECONDS, self._restart_worker, number)

    def _restart_worker(self, number: int) -> None:
        """Restart a crashed worker; every other one keeps its id."""
        previous = self.workers[number]
        self._restarts += 1
        keeps_id = self._restarts % 2 == 0
        instance = previous.instance if keeps_id else f"i-{number}+{self._restarts}"
        worker = self._new_worker(number, instance)
        worker.state.runs = previous.state.runs
        self._start_cold(worker)
        self.workers[number] = worker

    def callers_address(self, number: int) -> tuple[str, int]:
        """Return the address of a sidecar for its local callers."""
        return f"127.0.2.{number + 1}", self._ports.callers

    def operators_address(self, number: int) -> tuple[str, int]:
        """Return the address of a controller's operator interface."""
        return f"127.0.1.{number + 1}", self._ports.http

    def controllers_restored(self) -> bool:
        """Return whether each controller has a table and knows all of them as voters."""
        for number in range(CONTROLLERS):
            address = self.operators_address(number)
            answer = exchange(self._runtime, address, "GET", "/v1/group", {}, timeout=1.0)
            if answer is None or answer.status != HTTPStatus.OK or not answer.whole:
                return False
            group = json.loads(answer.body)
            voters = [replica for replica in group["replicas"] if replica["voter"]]
            if not group["version"] or len(voters) < CONTROLLERS:
                return False
        return True

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
