"""A simulated mesh of controllers, sidecars and workers."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent

from cranklane.controller.process import Controller, ControllerSettings
from cranklane.runtime.interface import format_address
from cranklane.sidecar.process import Sidecar
from cranklane.sidecar.settings import SidecarSettings
from cranklane_lab.evidence.notice_rules import Arrival, NoticeRules
from cranklane_lab.simulation.mesh_machines import (
    CALLERS_PORT,
    METRICS_PORT,
    OPERATOR_PORT,
    PEER_PORT,
    READINESS_PORT,
    REGISTRY_PORT,
    WORKER_PORT,
    ControllerMachine,
    MeshMachine,
)
from cranklane_lab.simulation.process import SimulatedProcess
from cranklane_lab.simulation.world import World
from cranklane_lab.standins.raw_http import RawAnswer, exchange
from cranklane_lab.standins.route_tables import HOST
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker import RoutedWorker

SEED_COUNT = 3


@dataclass
class Mesh:
    """A running mesh in a simulated world."""

    world: World
    zones: tuple[str, ...] = ("a", "b", "c")
    revocation_seconds: float = 0.0
    quota_slack: float = 0.0
    tree_admission: bool = True
    controllers: list[ControllerMachine] = field(default_factory=list)
    machines: list[MeshMachine] = field(default_factory=list)
    notice_rules: NoticeRules | None = None
    _origins: dict[str, tuple[str, float]] = field(default_factory=dict)
    _requests: int = 0
    _restarts: int = 0

    def start_controllers(self, count: int, tolerated: int = 1) -> None:
        """Start a new group of controllers.

        :param tolerated: losses of controllers that the group must tolerate.
        """
        hosts = [self.world.new_host() for _ in range(count)]
        self._seeds = [format_address((host, OPERATOR_PORT)) for host in hosts[:SEED_COUNT]]
        self._tolerated = tolerated
        for number, host in enumerate(hosts):
            self.controllers.append(self._controller(number, host, True))

    def _controller(self, number: int, host: str, first: bool) -> ControllerMachine:
        zone = self.zones[number % len(self.zones)]
        process = self.world.process(f"controller-{number}", zone, host)
        settings = ControllerSettings(
            name=f"controller-{number}",
            zone=zone,
            listen=f"{host}:{PEER_PORT}",
            http=f"{host}:{OPERATOR_PORT}",
            data="controller",
            seeds=self._seeds,
            peer_port=PEER_PORT,
            first_start=first,
            tolerated_losses=self._tolerated,
            quota_slack=self.quota_slack,
        )
        controller = Controller(process, settings)
        self.world.start(process, controller.start)
        return ControllerMachine(number, host, process, controller)

    def restart_controller(self, number: int, empty: bool = False) -> None:
        """Restart a killed controller, with its disk or an empty one."""
        host = self.controllers[number].host
        if empty:
            self.world.disk(host).wipe()
        self.controllers[number] = self._controller(number, host, False)

    def replace_controller(self, number: int) -> None:
        """Replace a permanently lost controller by one on a new machine.

        The new controller is seeded with the remaining controllers.
        """
        present = [machine for machine in self.controllers if machine.number != number]
        self._seeds = [format_address(machine.operators) for machine in present[:SEED_COUNT]]
        self.controllers[number] = self._controller(number, self.world.new_host(), False)

    def leader(self) -> ControllerMachine | None:
        """Return the confirmed leader, or None."""
        for machine in self.controllers:
            if not machine.process.dead and machine.controller.replica.may_read:
                return machine
        return None

    def voters(self) -> int:
        """Return the leader's number of voters; 0 without a leader."""
        leader = self.leader()
        return len(leader.controller.replica.members.voters()) if leader else 0

    def wait_for(
        self, condition: Callable[[], bool], seconds: float, interval: float = 0.05
    ) -> bool:
        """Wait until a condition holds; return False when ``seconds`` pass first.

        :param interval: seconds between checks.
        """
        deadline = self.world.loop.now() + seconds
        while not condition():
            if self.world.loop.now() >= deadline:
                return False
            gevent.sleep(interval)
        return True

    def add_machine(self, service: str, slots: int = 4, beats: bool = True) -> MeshMachine:
        """Start a sidecar and its worker on a new machine.

        :param beats: whether the worker sends heartbeats.
        """
        number = len(self.machines)
        zone = self.zones[number % len(self.zones)]
        host = self.world.new_host()
        name = f"sidecar-{number}"
        process, sidecar = self.start_sidecar(name, service, zone, host)
        worker_process = self.world.process(f"worker-{number}", zone, host)
        worker = self._worker(worker_process, service, f"i-{number}", slots)
        if beats:
            worker_process.spawn(worker.send_heartbeats)
        machine = MeshMachine(name, service, zone, host, worker_process, worker, process, sidecar)
        self.machines.append(machine)
        return machine

    @staticmethod
    def _worker(process: SimulatedProcess, service: str, instance: str, slots: int) -> RoutedWorker:
        host = process.host
        return RoutedWorker(
            process, service, instance, (host, WORKER_PORT), (host, REGISTRY_PORT), slots
        )

    def restart_worker(self, machine: MeshMachine, same_id: bool = False) -> None:
        """Restart an exited worker as a new instance with the same injected faults.

        :param same_id: whether it keeps its id, so that only its start time tells the starts apart.
        """
        former = machine.worker
        name = machine.worker_process.name
        process = self.world.process(name, machine.zone, machine.host)
        self._restarts += 1
        instance = former.instance
        if not same_id:
            instance = f"{former.instance.partition('+')[0]}+{self._restarts}"
        worker = self._worker(process, former.service, instance, former.slots)
        worker.state = former.state
        worker.state.running = 0
        machine.worker_process, machine.worker = process, worker
        process.spawn(worker.send_heartbeats)

    def start_sidecar(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        process: SimulatedProcess | None = None,
    ) -> tuple[SimulatedProcess, Sidecar]:
        """Start a sidecar on a machine, in ``process`` or else in a new process."""
        process = process or self.world.process(name, zone, host)
        settings = SidecarSettings(
            name=name,
            zone=zone,
            service=service,
            callers=f"{host}:{CALLERS_PORT}",
            readiness=f"{host}:{READINESS_PORT}",
            registry=f"{host}:{REGISTRY_PORT}",
            listen=f"{host}:{PEER_PORT}",
            metrics=f"{host}:{METRICS_PORT}",
            seeds=self._seeds,
            peer_port=PEER_PORT,
            worker=f"{host}:{WORKER_PORT}",
            revocation_seconds=self.revocation_seconds,
            tree_admission=self.tree_admission,
        )
        sidecar = Sidecar(process, settings)
        self.world.start(process, sidecar.start)
        return process, sidecar

    def client_process(self, name: str, host: str) -> SimulatedProcess:
        """Return a new client process on a machine."""
        return self.world.process(name, self.zones[0], host)

    def apply_route_table(
        self, document: dict[str, Any] | bytes, number: int | None = None
    ) -> RawAnswer | None:
        """Send a route table to the leader, or to controller ``number``."""
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return self.send_to_controller("POST", body, number)

    def read_route_table(self, number: int | None = None) -> RawAnswer | None:
        """Fetch the current route table."""
        return self.send_to_controller("GET", b"", number)

    def send_to_controller(self, method: str, body: bytes, number: int | None) -> RawAnswer | None:
        """Send a request to a controller, following redirects to the leader."""
        process = self.world.process("operator", self.zones[0])
        machine = self.controllers[number] if number is not None else self.leader()
        if machine is None:
            return None
        address = machine.operators
        for _ in range(3):
            answer = exchange(process, address, method, "/v1/route-table", {}, body)
            if answer is None or answer.status != 307:
                return answer
            host, _, port = answer.headers["location"].split("/")[2].partition(":")
            address = (host, int(port))
        return answer

    def request(
        self,
        machine: MeshMachine,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5000,
        headers: dict[str, str] | None = None,
        name: str = "",
    ) -> RawAnswer | None:
        """Send one request to a machine's sidecar from a client on that machine."""
        self._requests += 1
        process = self.client_process(f"client-{self._requests}", machine.host)
        request_id = name or f"request-{self._requests}"
        all_headers = {
            "Host": HOST,
            NAMES.request.decode(): request_id,
            NAMES.deadline.decode(): str(deadline_ms),
            **(headers or {}),
        }
        self._origins[request_id] = (machine.name, self.world.loop.now())
        answer = exchange(process, machine.callers, method, path, all_headers, body)
        if self.notice_rules is not None and answer is not None:
            self.notice_rules.passed_on(machine.name, answer.headers, self.world.loop.now())
        return answer

    def observe_notices(self) -> NoticeRules:
        """Observe from now on what workers state in answers, and which requests reach them."""
        rules = self.notice_rules = NoticeRules()
        now = self.world.loop.now

        def observe(machine: MeshMachine) -> None:
            def stated(limit: float | None) -> None:
                rules.stated(machine.worker.label, now(), limit)

            def arrived(request: str, _is_misdirected: bool) -> None:
                origin, sent_at = self._origins[request]
                rules.arrived(machine.worker.label, Arrival(now(), origin, sent_at))

            machine.worker.state.on_notice = stated
            machine.worker.state.on_arrival = arrived

        for machine in self.machines:
            observe(machine)
        return rules

    def restart_sidecar(self, machine: MeshMachine) -> None:
        """Kill a machine's sidecar and start a new one."""
        machine.process.kill()
        if self.notice_rules is not None:
            self.notice_rules.excuse(machine.name, self.world.loop.now())
        machine.process, machine.sidecar = self.start_sidecar(
            machine.name, machine.service, machine.zone, machine.host
        )

    def instances_that_ran(self, name: str) -> list[str]:
        """Return the instances of the workers that ran a request."""
        return [
            machine.worker.instance
            for machine in self.machines
            for run in machine.worker.state.runs
            if run.request == name
        ]
