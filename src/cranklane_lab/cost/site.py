"""A controller and two sidecars as processes, with a worker, to send requests through."""

from __future__ import annotations

import json
import time
from pathlib import Path

import gevent

from cranklane.runtime.real import RealRuntime
from cranklane_lab.fleet.mesh_flags import MeshPorts, as_arguments
from cranklane_lab.fleet.processes import FleetProcess, free_port, start
from cranklane_lab.simulation.mesh import HOST, route_table
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.routed_worker import NAMES, RoutedWorker

SLOTS = 64
KEY = "key-of-the-client"
START_SECONDS = 15.0
CALLER_SIDECAR = 0
CONTROLLER_HOST = 9
"""Number of the controller's host; sidecars have the first ones."""

_ROUTES = {"read": {"prefix": "/read/", "service": "s"}}
_TENANTS = {"client": {"keys": [KEY], "rate_per_s": 100_000, "burst": 100_000}}


class CostSite:
    """Requests enter at one sidecar and run at the worker beside the other.

    :param source: source tree that the processes run from; None: this one.
    :param keyed: whether requests need an API key.
    :ivar sidecars: the two processes.
    """

    def __init__(self, folder: Path, source: Path | None, keyed: bool) -> None:
        self._folder = folder
        self._source = source
        self._keyed = keyed
        self._runtime = RealRuntime()
        self._ports = MeshPorts()
        self._net = free_port() % 250 + 1
        self.sidecars: list[FleetProcess] = []
        self._controller: FleetProcess | None = None

    def start(self) -> None:
        """Start everything and put a route table in force.

        :raises TimeoutError: when requests are not served in time.
        """
        self._controller = self._start_controller()
        for number, service in enumerate(("t", "s")):
            self.sidecars.append(self._start_sidecar(number, service))
        host = self._host(1)
        worker = RoutedWorker(
            self._runtime,
            "s",
            "i-1",
            (host, self._ports.worker),
            (host, self._ports.registry),
            SLOTS,
            heartbeat_seconds=0.5,
        )
        worker.state.work = lambda _run: 200
        self._runtime.spawn(worker.send_heartbeats)
        self._until(self._put_table)
        self._until(self._is_served)

    def _host(self, number: int) -> str:
        return f"127.0.{self._net}.{number + 1}"

    def _start_controller(self) -> FleetProcess:
        host = self._host(CONTROLLER_HOST)
        flags = {
            **self._ports.controller(
                "controller-0", host, str(self._folder / "controller"), self._seeds()
            ),
            "first-start": "yes",
            "tolerated-losses": "0",
        }
        return self._start("controller", "controller", flags)

    def _start_sidecar(self, number: int, service: str) -> FleetProcess:
        name = f"sidecar-{number}"
        flags = self._ports.sidecar(name, self._host(number), service, self._seeds())
        return self._start(name, "sidecar", flags)

    def _seeds(self) -> str:
        return f"{self._host(CONTROLLER_HOST)}:{self._ports.http}"

    def _start(self, name: str, daemon: str, flags: dict[str, str]) -> FleetProcess:
        arguments = as_arguments(daemon, flags)
        return start(name, "cranklane.cli.entry", arguments, self._folder, self._source)

    def _put_table(self) -> bool:
        table = route_table(1, 0, _ROUTES, ("s", "t"), _TENANTS if self._keyed else None)
        address = self._host(CONTROLLER_HOST), self._ports.http
        body = json.dumps(table).encode()
        answer = exchange(self._runtime, address, "POST", "/v1/route-table", {}, body)
        return answer is not None and answer.status == 200

    def _is_served(self) -> bool:
        headers = {"Host": HOST, **self.headers("probe")}
        answer = exchange(self._runtime, self.callers, "GET", "/read/x", headers)
        return answer is not None and answer.status == 200

    @staticmethod
    def _until(condition: object) -> None:
        ends_at = time.monotonic() + START_SECONDS
        while not condition():  # type: ignore[operator]
            if time.monotonic() > ends_at:
                raise TimeoutError("the processes did not serve in time")
            gevent.sleep(0.1)

    @property
    def callers(self) -> tuple[str, int]:
        """Where requests enter."""
        return self._host(CALLER_SIDECAR), self._ports.callers

    def headers(self, request: str) -> dict[str, str]:
        """Return the headers of a request, besides its host."""
        headers = {NAMES.request.decode(): request, NAMES.deadline.decode(): "5000"}
        if self._keyed:
            headers[NAMES.key.decode()] = KEY
        return headers

    def processor_seconds(self) -> float:
        """Return the processor time that both sidecars have used."""
        return sum(process.cpu_seconds() for process in self.sidecars)

    def stop(self) -> None:
        """End the processes."""
        for process in (*self.sidecars, self._controller):
            if process is not None and process.alive:
                process.kill()
