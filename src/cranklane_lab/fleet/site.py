"""Runs a deployment as processes: control, ledgers, an edge, and workers with their nodes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from result import Ok

from cranklane.cli.client import OperatorClient
from cranklane.runtime.interface import Address, format_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import Deployment
from cranklane_lab.fleet.processes import LOOPBACK, FleetProcess, free_port, start
from cranklane_lab.standins.client import Client

OPERATOR_TOKEN = "lab-operator"
START_TIMEOUT_SECONDS = 30.0


@dataclass
class WorkerPair:
    """A worker and its local node."""

    service: str
    worker: FleetProcess
    node: FleetProcess
    worker_address: Address
    node_http: Address
    admin: Address


@dataclass(frozen=True)
class ControlAddresses:
    """Addresses of a control process."""

    listen: Address
    http: Address


@dataclass
class Site:
    """Processes and addresses of a running deployment."""

    deployment: Deployment
    folder: Path
    controls: list[FleetProcess]
    control_addresses: list[ControlAddresses]
    edge: FleetProcess
    edge_http: Address
    ledgers: list[FleetProcess] = field(default_factory=list)
    pairs: list[WorkerPair] = field(default_factory=list)

    def operator(self) -> OperatorClient:
        """Return a client of the operator interface."""
        addresses = [format_address(control.http) for control in self.control_addresses]
        return OperatorClient(addresses, OPERATOR_TOKEN)

    def processes(self) -> list[FleetProcess]:
        """Return every process of the site."""
        pairs = [process for pair in self.pairs for process in (pair.worker, pair.node)]
        return [*self.controls, *self.ledgers, self.edge, *pairs]

    def pairs_of(self, service: str) -> list[WorkerPair]:
        """Return the pairs of a service."""
        return [pair for pair in self.pairs if pair.service == service]

    def stop(self) -> None:
        """Kill all processes and wait for their exit."""
        for process in self.processes():
            if process.alive:
                process.process.kill()
        for process in self.processes():
            process.process.wait()


def free_loopback_address() -> Address:
    """Return a loopback address with an unused port."""
    return LOOPBACK, free_port()


def free_control_addresses(count: int) -> list[ControlAddresses]:
    """Return unused addresses for ``count`` control processes."""
    return [
        ControlAddresses(free_loopback_address(), free_loopback_address()) for _ in range(count)
    ]


def start_control(
    deployment: Deployment,
    folder: Path,
    name: str,
    addresses: ControlAddresses,
    group: list[ControlAddresses],
    founder: bool,
    voter: bool = True,
) -> FleetProcess:
    """Start or restart a control process.

    :param group: addresses of all control processes.
    :param founder: whether the process bootstraps a new group.
    :param voter: whether the process votes; a learner only follows and serves nodes.
    """
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    flags = {
        "name": name,
        "zone": deployment.zones[0],
        "listen": format_address(addresses.listen),
        "http": format_address(addresses.http),
        "data": str(folder / name),
        "operators": f"lab:*:{digest}",
        "replicas": _join_addresses([control.listen for control in group]),
        "founder": "yes" if founder else "no",
        "voter": "yes" if voter else "no",
    }
    return start(name, "cranklane.cli.entry", ["control", *_as_flags(flags)], folder)


def _join_addresses(addresses: list[Address]) -> str:
    return ",".join(format_address(address) for address in addresses)


def _as_flags(values: dict[str, str]) -> list[str]:
    return [argument for key, value in values.items() for argument in (f"--{key}", value)]


def start_edge(
    deployment: Deployment, folder: Path, controls: list[Address], http: Address, name: str
) -> FleetProcess:
    """Start an edge."""
    flags = {
        "name": name,
        "zone": deployment.zones[0],
        "controls": _join_addresses(controls),
        "http": format_address(http),
        "data": str(folder / name),
    }
    return start(name, "cranklane.cli.entry", ["edge", *_as_flags(flags)], folder)


def start_ledger(
    deployment: Deployment,
    folder: Path,
    controls: list[Address],
    group: list[Address],
    number: int,
) -> FleetProcess:
    """Start a replica of the ledger group.

    :param group: addresses of all replicas.
    :param number: index of the replica in ``group``.
    """
    name = f"{deployment.name}-ledger-{number}"
    flags = {
        "name": name,
        "zone": deployment.zones[number % len(deployment.zones)],
        "group": "main",
        "listen": format_address(group[number]),
        "controls": _join_addresses(controls),
        "data": str(folder / name),
        "replicas": _join_addresses(group),
        "founder": "yes" if number == 0 else "no",
    }
    return start(name, "cranklane.cli.entry", ["ledger", *_as_flags(flags)], folder)


def start_pair(
    deployment: Deployment, folder: Path, controls: list[Address], service: str, number: int
) -> WorkerPair:
    """Start a worker with its local node."""
    name = f"{deployment.name}-{service}-{number}"
    worker_address, node_http, admin = (
        free_loopback_address(),
        free_loopback_address(),
        free_loopback_address(),
    )
    worker_arguments = [deployment.name, service, name]
    worker_arguments += [format_address(worker_address), format_address(node_http)]
    worker = start(f"{name}-worker", "cranklane_lab.standins.worker_main", worker_arguments, folder)
    flags = {
        "name": name,
        "tenant": deployment.name,
        "service": service,
        "zone": deployment.zones[number % len(deployment.zones)],
        "controls": _join_addresses(controls),
        "http": format_address(node_http),
        "worker": format_address(worker_address),
        "admin": format_address(admin),
        "data": str(folder / name),
        "stop-seconds": "20",
    }
    node = start(name, "cranklane.cli.entry", ["node", *_as_flags(flags)], folder)
    return WorkerPair(service, worker, node, worker_address, node_http, admin)


def start_site(deployment: Deployment, folder: Path, controls: int = 3, ledgers: int = 3) -> Site:
    """Start all processes of a deployment without waiting until they are ready."""
    group = free_control_addresses(controls)
    listen = [control.listen for control in group]
    processes = [
        start_control(
            deployment, folder, f"{deployment.name}-control-{number}", addresses, group, number == 0
        )
        for number, addresses in enumerate(group)
    ]
    edge_http = free_loopback_address()
    edge = start_edge(deployment, folder, listen, edge_http, f"{deployment.name}-edge")
    site = Site(deployment, folder, processes, group, edge, edge_http)
    ledger_group = [free_loopback_address() for _ in range(ledgers)]
    site.ledgers = [
        start_ledger(deployment, folder, listen, ledger_group, number) for number in range(ledgers)
    ]
    for plan in deployment.services:
        for number in range(plan.workers):
            site.pairs.append(start_pair(deployment, folder, listen, plan.name, number))
    return site


def wait_for_members(site: Site, count: int) -> bool:
    """Wait until ``count`` nodes have joined; return whether they did in time."""
    with gevent.Timeout(START_TIMEOUT_SECONDS, False):
        while True:
            result = site.operator().call("GET", "/v1/status")
            if isinstance(result, Ok):
                members = [member for member in result.ok_value["members"] if member["service"]]
                if len(members) >= count:
                    return True
            gevent.sleep(0.2)
    return False


def wait_until_serving(site: Site) -> bool:
    """Wait until the edge serves every kind of request; return whether it did in time."""
    deployment = site.deployment
    client = Client(RealRuntime(), site.edge_http, deployment.name, deployment.token)
    try:
        with gevent.Timeout(START_TIMEOUT_SECONDS, False):
            for kind in deployment.requests:
                while not client.send(kind, "ready", key="ready").good:
                    gevent.sleep(0.1)
            return True
    finally:
        client.close()
    return False
