"""One deployment as processes: control, an edge, and workers with their nodes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from result import Ok

from cranklane.cli.client import OperatorClient
from cranklane.common.http_client import HttpClient, HttpRequestError
from cranklane.runtime.interface import Address, format_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import Deployment
from cranklane_lab.fleet.processes import LOOPBACK, FleetProcess, free_port, start

OPERATOR_TOKEN = "lab-operator"
START_SECONDS = 30.0


@dataclass
class WorkerPair:
    """A worker and the node beside it."""

    service: str
    worker: FleetProcess
    node: FleetProcess
    worker_address: Address
    node_http: Address
    admin: Address


@dataclass
class Site:
    """A running deployment."""

    deployment: Deployment
    folder: Path
    control: FleetProcess
    control_http: Address
    control_listen: Address
    edge: FleetProcess
    edge_http: Address
    pairs: list[WorkerPair] = field(default_factory=list)

    def operator(self) -> OperatorClient:
        """Return a client of the operator interface."""
        return OperatorClient([format_address(self.control_http)], OPERATOR_TOKEN)

    def processes(self) -> list[FleetProcess]:
        """Return every process of the site."""
        pairs = [process for pair in self.pairs for process in (pair.worker, pair.node)]
        return [self.control, self.edge, *pairs]

    def of(self, service: str) -> list[WorkerPair]:
        """Return the pairs of one service."""
        return [pair for pair in self.pairs if pair.service == service]

    def stop(self) -> None:
        """End every process."""
        for process in self.processes():
            if process.alive:
                process.process.kill()
        for process in self.processes():
            process.process.wait()


def loopback() -> Address:
    """Return a free loopback address."""
    return LOOPBACK, free_port()


def start_control(
    deployment: Deployment,
    folder: Path,
    name: str,
    http: Address | None = None,
    listen: Address | None = None,
) -> tuple[FleetProcess, Address, Address]:
    """Start a control process; return it with its operators' and nodes' addresses.

    :param http: the operators' address of a process that this one replaces.
    :param listen: its nodes' address.
    """
    http, listen = http or loopback(), listen or loopback()
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    arguments = ["control", "--name", name, "--zone", deployment.zones[0]]
    arguments += ["--listen", format_address(listen), "--http", format_address(http)]
    arguments += ["--data", str(folder / name), "--operators", f"lab:*:{digest}"]
    return start(name, "cranklane.cli.entry", arguments, folder), http, listen


def start_edge(
    deployment: Deployment, folder: Path, control: Address, http: Address, name: str
) -> FleetProcess:
    """Start an edge."""
    arguments = ["edge", "--name", name, "--zone", deployment.zones[0]]
    arguments += ["--controls", format_address(control), "--http", format_address(http)]
    arguments += ["--data", str(folder / name)]
    return start(name, "cranklane.cli.entry", arguments, folder)


def start_pair(
    deployment: Deployment, folder: Path, control: Address, service: str, number: int
) -> WorkerPair:
    """Start a worker and its node."""
    name = f"{deployment.name}-{service}-{number}"
    worker_address, node_http, admin = loopback(), loopback(), loopback()
    worker = start(
        f"{name}-worker",
        "cranklane_lab.standins.worker_main",
        [
            deployment.name,
            service,
            name,
            format_address(worker_address),
            format_address(node_http),
        ],
        folder,
    )
    arguments = ["node", "--name", name, "--tenant", deployment.name, "--service", service]
    arguments += ["--zone", deployment.zones[number % len(deployment.zones)]]
    arguments += ["--controls", format_address(control), "--http", format_address(node_http)]
    arguments += ["--worker", format_address(worker_address), "--admin", format_address(admin)]
    arguments += ["--data", str(folder / name), "--stop-seconds", "20"]
    node = start(name, "cranklane.cli.entry", arguments, folder)
    return WorkerPair(service, worker, node, worker_address, node_http, admin)


def start_site(deployment: Deployment, folder: Path) -> Site:
    """Start a whole deployment; returns before its processes are ready."""
    control, control_http, control_listen = start_control(
        deployment, folder, f"{deployment.name}-control"
    )
    edge_http = loopback()
    edge = start_edge(deployment, folder, control_listen, edge_http, f"{deployment.name}-edge")
    site = Site(deployment, folder, control, control_http, control_listen, edge, edge_http)
    for plan in deployment.services:
        for number in range(plan.workers):
            site.pairs.append(start_pair(deployment, folder, control_listen, plan.name, number))
    return site


def wait_for_members(site: Site, count: int) -> bool:
    """Wait until control knows ``count`` nodes; return False when it takes too long."""
    with gevent.Timeout(START_SECONDS, False):
        while True:
            result = site.operator().call("GET", "/v1/status")
            if isinstance(result, Ok) and len(result.ok_value["members"]) >= count:
                return True
            gevent.sleep(0.2)
    return False


def wait_until_serving(site: Site) -> bool:
    """Wait until the edge has a configuration and knows members of every service."""
    runtime = RealRuntime()
    kind = site.deployment.requests[0]
    with gevent.Timeout(START_SECONDS, False):
        while True:
            client = HttpClient(runtime, site.edge_http)
            try:
                path = f"/{site.deployment.name}/{kind.service}{kind.path.format(n='ready')}"
                headers = [("Authorization", f"Bearer {site.deployment.token}")]
                response = client.request(kind.method, f"{path}?nonce=ready", headers)
                response.read()
                if response.status == 200:
                    return True
            except HttpRequestError:
                pass
            finally:
                client.close()
            gevent.sleep(0.1)
    return False
