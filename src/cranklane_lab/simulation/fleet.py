"""A simulated deployment: production processes with stand-in workers and clients."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from cranklane.control.process import ControlProcess, ControlSettings
from cranklane.ledger.process import LedgerProcess, LedgerSettings
from cranklane.node.process import NodeProcess
from cranklane.node.settings import NodeSettings
from cranklane.policy.syntax import parse
from cranklane.runtime.interface import Address, format_address
from cranklane_lab.deployments import CLIENT_ZONE, Deployment, ServicePlan
from cranklane_lab.simulation.process import SimulatedProcess
from cranklane_lab.simulation.world import World
from cranklane_lab.standins.client import Client
from cranklane_lab.standins.operator import OPERATOR_TOKEN, OperatorAnswer, SimulatedOperator
from cranklane_lab.standins.worker import Worker, WorkerRun

_HTTP_PORT = 80
_PEER_PORT = 7000
_WORKER_PORT = 8080


@dataclass
class SimulatedPair:
    """A worker and its node on one machine."""

    plan: ServicePlan
    name: str
    zone: str
    host: str
    worker_process: SimulatedProcess
    worker: Worker
    node_process: SimulatedProcess
    node: NodeProcess


@dataclass
class SimulatedFleet:
    """A running deployment in a simulated world.

    :ivar on_run: called for each request that a worker runs.
    """

    world: World
    deployment: Deployment
    controls: list[ControlProcess] = field(default_factory=list)
    control_addresses: list[Address] = field(default_factory=list)
    control_processes: list[SimulatedProcess] = field(default_factory=list)
    ledgers: list[LedgerProcess] = field(default_factory=list)
    ledger_processes: list[SimulatedProcess] = field(default_factory=list)
    edge: NodeProcess = field(init=False)
    edge_process: SimulatedProcess = field(init=False)
    edge_address: Address = ("", 0)
    pairs: list[SimulatedPair] = field(default_factory=list)
    on_run: Callable[[WorkerRun], None] | None = None

    def start(self, controls: int = 1, ledgers: int = 0) -> None:
        """Start all processes, apply the policy and give nodes time to receive it.

        :param controls: number of control processes.
        :param ledgers: number of replicas in the ledger group.
        :raises RuntimeError: when control refuses a policy document.
        """
        hosts = [self.world.new_host() for _ in range(controls)]
        self.control_addresses = [(host, _PEER_PORT) for host in hosts]
        for number, host in enumerate(hosts):
            self.start_control(number, host)
        ledger_hosts = [self.world.new_host() for _ in range(ledgers)]
        for number in range(ledgers):
            self.start_ledger(number, ledger_hosts)
        self.start_edge()
        for plan in self.deployment.services:
            for number in range(plan.workers):
                self.pairs.append(self.start_pair(plan, number))
        self._wait_for_group(controls)
        while any(len(i.replica.members.voters()) < ledgers for i in self.ledgers):
            gevent.sleep(0.2)
        for name, text in self._documents():
            answer = self.apply(name, text, 0, f"first-{name}")
            if not answer.accepted:
                raise RuntimeError(f"control refused the policy of tenant {name}: {answer}")
        gevent.sleep(1.0)

    def _documents(self) -> list[tuple[str, str]]:
        """Return each tenant's name and policy document."""
        text = self.deployment.policy()
        tenants = parse(text).tenants
        if len(tenants) == 1:
            return [(tenants[0].name, text)]
        return [(tenant.name, tenant.source) for tenant in tenants]

    def _wait_for_group(self, controls: int) -> None:
        """Wait until there is a leader and all control processes are voters."""
        while True:
            gevent.sleep(1.0)
            leader = self.leader()
            if leader is not None and len(leader.replica.members.voters()) == controls:
                return

    def leader(self) -> ControlProcess | None:
        """Return the confirmed leader, or None."""
        for control, process in zip(self.controls, self.control_processes, strict=True):
            if not process.dead and control.replica.may_read:
                return control
        return None

    def start_control(self, number: int, host: str, voter: bool = True) -> None:
        """Start a control process on a machine, as a voter or as a relay."""
        world = self.world
        name = f"control-{number}"
        zones = self.deployment.zones
        process = world.process(name, zones[number % len(zones)], host)
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        settings = ControlSettings(
            name=name,
            zone=process.zone,
            listen=f"{process.host}:{_PEER_PORT}",
            http=f"{process.host}:{_HTTP_PORT}",
            data="control",
            operators=[f"lab:*:{digest}"],
            replicas=self._control_texts(),
            founder=number == 0,
            voter=voter,
        )
        control = ControlProcess(process, settings)
        world.start(process, control.start)
        if number < len(self.controls):
            self.controls[number] = control
            self.control_processes[number] = process
            return
        self.controls.append(control)
        self.control_processes.append(process)

    def start_ledger(self, number: int, hosts: list[str]) -> None:
        """Start a replica of the ledger group on machine ``hosts[number]``."""
        name = f"ledger-{number}"
        zone = self.deployment.zones[number % len(self.deployment.zones)]
        process = self.world.process(name, zone, hosts[number])
        settings = LedgerSettings(
            name=name,
            zone=zone,
            group="main",
            listen=f"{process.host}:{_PEER_PORT}",
            controls=self._control_texts(),
            data="ledger",
            replicas=[f"{host}:{_PEER_PORT}" for host in hosts],
            founder=number == 0,
        )
        ledger = LedgerProcess(process, settings)
        self.world.start(process, ledger.start)
        if number < len(self.ledgers):
            self.ledgers[number] = ledger
            self.ledger_processes[number] = process
            return
        self.ledgers.append(ledger)
        self.ledger_processes.append(process)

    def restart_ledger(self, number: int) -> None:
        """Restart a replica of the ledger group on its machine."""
        self.start_ledger(number, [process.host for process in self.ledger_processes])

    def _control_texts(self) -> list[str]:
        return [format_address(address) for address in self.control_addresses]

    def start_edge(self) -> None:
        """Start the edge node, or restart it on the same machine."""
        host = self.edge_address[0] or None
        process = self.world.process("edge", self.deployment.zones[0], host)
        self.edge_process = process
        self.edge_address = (process.host, _HTTP_PORT)
        settings = NodeSettings(
            name="edge",
            zone=process.zone,
            controls=self._control_texts(),
            http=format_address(self.edge_address),
            data="edge",
        )
        self.edge = NodeProcess(process, settings)
        self.world.start(process, self.edge.start)

    def start_pair(self, plan: ServicePlan, number: int, host: str | None = None) -> SimulatedPair:
        """Start a worker and its node on ``host``, or on a new machine."""
        zones = self.deployment.zones
        zone = zones[number % len(zones)]
        name = f"{plan.name}-{number}"
        host = host or self.world.new_host()
        worker_process = self.world.process(f"{name}-worker", zone, host)
        worker = self.start_worker(worker_process, plan, name)
        node_process, node = self.start_node(plan, name, zone, host)
        return SimulatedPair(plan, name, zone, host, worker_process, worker, node_process, node)

    def start_worker(self, process: SimulatedProcess, plan: ServicePlan, name: str) -> Worker:
        """Start a stand-in worker in ``process``."""
        return self.world.start(
            process,
            lambda: Worker(
                process,
                name,
                self.deployment.name,
                plan,
                (process.host, _WORKER_PORT),
                (process.host, _HTTP_PORT),
                on_run=self.on_run,
            ),
        )

    def start_node(
        self, plan: ServicePlan, name: str, zone: str, host: str
    ) -> tuple[SimulatedProcess, NodeProcess]:
        """Start the node of a worker on machine ``host``."""
        process = self.world.process(f"{name}-node", zone, host)
        settings = NodeSettings(
            name=name,
            zone=zone,
            controls=self._control_texts(),
            http=f"{host}:{_HTTP_PORT}",
            data="node",
            tenant=self.deployment.name,
            service=plan.name,
            listen=f"{host}:0",
            worker=f"{host}:{_WORKER_PORT}",
            stop_seconds=30.0,
        )
        node = NodeProcess(process, settings)
        self.world.start(process, node.start)
        return process, node

    def of(self, service: str) -> list[SimulatedPair]:
        """Return the worker and node pairs of a service."""
        return [pair for pair in self.pairs if pair.plan.name == service]

    def client(self, name: str = "client") -> Client:
        """Return a client on a new machine."""
        process = self.world.process(name, CLIENT_ZONE)
        return Client(process, self.edge_address, self.deployment.name, self.deployment.token)

    def operator(self, name: str) -> SimulatedOperator:
        """Return an operator on a new machine."""
        process = self.world.process(f"operator-{name}", CLIENT_ZONE)
        addresses = [(host, _HTTP_PORT) for host, _ in self.control_addresses]
        return SimulatedOperator(process, addresses)

    def apply(self, name: str, text: str, base: int, request: str) -> OperatorAnswer:
        """Edit a policy document and return the response.

        :param base: version that the edit is based on.
        :param request: request id.
        """
        return self.operator(request).edit(name, text, base, request)
