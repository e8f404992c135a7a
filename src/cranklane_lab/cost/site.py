"""Deployment for CPU measurements: a controller, two sidecars and a worker."""

from __future__ import annotations

import json
import time
from pathlib import Path

import gevent

from cranklane.runtime.real import RealRuntime
from cranklane_lab.fleet.mesh_flags import MeshPorts, as_arguments
from cranklane_lab.fleet.processes import FleetProcess, free_port, start
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.route_tables import HOST, route_table
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker import RoutedWorker

SLOTS = 64
API_KEY = "key-of-the-client"
START_TIMEOUT_SECONDS = 15.0
CALLER_SIDECAR_NUMBER = 0
CONTROLLER_HOST_NUMBER = 9
"""Above the host numbers of the sidecars."""

_ROUTES = {"read": {"prefix": "/read/", "service": "s"}}
_TENANTS = {"client": {"keys": [API_KEY], "rate_per_s": 100_000, "burst": 100_000}}


class CostSite:
    """Forwards requests from one sidecar to the worker of the other.

    :param source: source tree to run the processes from; None: the installed one.
    :param uses_api_key: whether requests need an API key.
    :ivar sidecars: processes of both sidecars.
    """

    def __init__(self, folder: Path, source: Path | None, uses_api_key: bool) -> None:
        self._folder = folder
        self._source = source
        self._uses_api_key = uses_api_key
        self._runtime = RealRuntime()
        self._ports = MeshPorts()
        self._subnet = free_port() % 250 + 1
        self.sidecars: list[FleetProcess] = []
        self._controller: FleetProcess | None = None

    def start(self) -> None:
        """Start the processes and the worker, and apply a route table.

        :raises TimeoutError: if requests are not served in time.
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
        self._wait_until(self._put_table)
        self._wait_until(self._serves_requests)

    def _host(self, number: int) -> str:
        return f"127.0.{self._subnet}.{number + 1}"

    def _start_controller(self) -> FleetProcess:
        host = self._host(CONTROLLER_HOST_NUMBER)
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
        return f"{self._host(CONTROLLER_HOST_NUMBER)}:{self._ports.http}"

    def _start(self, name: str, daemon: str, flags: dict[str, str]) -> FleetProcess:
        arguments = as_arguments(daemon, flags)
        return start(name, "cranklane.cli.entry", arguments, self._folder, self._source)

    def _put_table(self) -> bool:
        table = route_table(1, 0, _ROUTES, ("s", "t"), _TENANTS if self._uses_api_key else None)
        address = self._host(CONTROLLER_HOST_NUMBER), self._ports.http
        body = json.dumps(table).encode()
        answer = exchange(self._runtime, address, "POST", "/v1/route-table", {}, body)
        return answer is not None and answer.status == 200

    def _serves_requests(self) -> bool:
        headers = {"Host": HOST, **self.headers("probe")}
        answer = exchange(self._runtime, self.callers_address, "GET", "/read/x", headers)
        return answer is not None and answer.status == 200

    @staticmethod
    def _wait_until(condition: object) -> None:
        give_up_at = time.monotonic() + START_TIMEOUT_SECONDS
        while not condition():  # type: ignore[operator]
            if time.monotonic() > give_up_at:
                raise TimeoutError("the site did not serve requests in time")
            gevent.sleep(0.1)

    @property
    def callers_address(self) -> tuple[str, int]:
        """Address of the sidecar that accepts the requests."""
        return self._host(CALLER_SIDECAR_NUMBER), self._ports.callers

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a request other than ``Host``."""
        headers = {NAMES.request.decode(): request_id, NAMES.deadline.decode(): "5000"}
        if self._uses_api_key:
            headers[NAMES.key.decode()] = API_KEY
        return headers

    def cpu_seconds(self) -> float:
        """Return the CPU time that both sidecars have used."""
        return sum(process.cpu_seconds() for process in self.sidecars)

    def stop(self) -> None:
        """Kill the processes."""
        for process in (*self.sidecars, self._controller):
            if process is not None and process.alive:
                process.kill()
