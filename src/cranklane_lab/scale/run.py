"""Runs the steps of a scale measurement on this machine."""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

import gevent
from result import Err

from cranklane.cli.client import OperatorClient
from cranklane.common.http_client import HttpClient
from cranklane.runtime.interface import Address, format_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import DESIGN_ZONES, PAIR
from cranklane_lab.fleet.processes import FleetProcess, start
from cranklane_lab.fleet.site import (
    OPERATOR_TOKEN,
    WorkerPair,
    loopback,
    new_addresses,
    start_control,
    start_pair,
)
from cranklane_lab.scale.hollow import HollowPlan, HollowReport, address_of, read_report
from cranklane_lab.scale.measure import ScaleResult, Step, print_result
from cranklane_lab.scale.policy import SLOTS, TENANTS, tenant_document, tenant_name

NODES_PER_PROCESS = 300
IDLE_SECONDS = 10.0
CHANGES = 10
CHANGE_PAUSE_SECONDS = 2.0
"""Long enough that one change is through before the next: all nodes share this machine."""
WAIT_SECONDS = 120.0
REAL_PAIRS = 2
VOTERS = 5
"""Control processes that vote; the others follow and serve nodes."""


class ScaleError(Exception):
    """A step did not come to its end."""


class ScaleRun:
    """One run: a control process, real nodes beside hollow ones, step by step."""

    def __init__(
        self, folder: Path, hollow_folder: Path, controls: int, tenants: int = TENANTS
    ) -> None:
        self._folder = folder
        self._hollow_folder = hollow_folder
        self._tenants = tenants
        self._runtime = RealRuntime()
        self._hollow: list[tuple[HollowPlan, FleetProcess]] = []
        self._pairs: list[WorkerPair] = []
        self._versions: dict[str, int] = {}
        self._request = 0
        self._addresses = new_addresses(controls)
        self._controls: list[FleetProcess] = []
        self.result = ScaleResult(controls)

    def run(self, steps: list[int]) -> ScaleResult:
        """Measure each number of hollow nodes, then losses of control."""
        self._controls = [self._start_control(number) for number in range(len(self._addresses))]
        try:
            self._prepare()
            for nodes in steps:
                print(f"step: {nodes} hollow nodes", flush=True)
                self.result.steps.append(self._step(nodes))
            self._lose_one_control()
            self._restart_all_controls()
        finally:
            self._stop()
        return self.result

    def _start_control(self, number: int) -> FleetProcess:
        own = self._addresses[number]
        name = f"control-{number}"
        return start_control(
            PAIR,
            self._folder,
            name,
            own,
            self._addresses,
            founder=number == 0,
            voter=number < VOTERS,
        )

    def _stop(self) -> None:
        pairs = [process for pair in self._pairs for process in (pair.worker, pair.node)]
        for process in [*self._controls, *pairs, *(process for _, process in self._hollow)]:
            if process.alive:
                process.kill()

    # Configuration.

    def _prepare(self) -> None:
        self._wait("control does not answer", self._control_answers)
        self._apply("root", "")
        self._apply(PAIR.name, PAIR.policy())
        for tenant in range(self._tenants):
            self._apply(tenant_name(tenant), tenant_document(tenant, self._tenants))
        listen = [item.listen for item in self._addresses]
        for number in range(REAL_PAIRS):
            for plan in PAIR.services:
                self._pairs.append(start_pair(PAIR, self._folder, listen, plan.name, number))

    def _operator(self) -> OperatorClient:
        addresses = [format_address(item.http) for item in self._addresses]
        return OperatorClient(addresses, OPERATOR_TOKEN)

    def _control_answers(self) -> bool:
        """Return whether a leader answers and all control processes have joined."""
        result = self._operator().call("GET", "/v1/snapshot")
        if isinstance(result, Err):
            return False
        group = self._operator().call("GET", "/v1/replicas")
        if isinstance(group, Err):
            return False
        roles = [item["role"] for item in group.ok_value["replicas"]]
        return len(roles) == len(self._addresses) and "joining voter" not in roles

    def _apply(self, name: str, text: str) -> int:
        """Put a document in force; return its version."""
        self._request += 1
        media = {
            "text": text,
            "base": self._versions.get(name, 0),
            "request": f"scale-{self._request}",
        }
        result = self._operator().call("PUT", f"/v1/documents/{name}", media)
        if isinstance(result, Err):
            raise ScaleError(f"{name}: {result.err_value.lines}")
        self._versions[name] = result.ok_value["version"]
        return self._versions[name]

    # Steps.

    def _step(self, nodes: int) -> Step:
        step = Step(nodes)
        started = time.monotonic()
        self._grow(nodes)
        self._wait("not all nodes have joined", lambda: self._all_at(self._newest()))
        step.join_seconds = time.monotonic() - started
        self._measure_idle(step)
        self._measure_changes(step)
        step.control_memory = self._mean([p.resident_bytes() for p in self._controls])
        step.real_memory = sum(p.node.resident_bytes() for p in self._pairs) // len(self._pairs)
        step.node_memory = sum(p.resident_bytes() for _, p in self._hollow) / nodes
        return step

    def _newest(self) -> int:
        return max(self._versions.values())

    def _grow(self, nodes: int) -> None:
        there = sum(plan.count for plan, _ in self._hollow)
        while there < nodes:
            count = min(NODES_PER_PROCESS, nodes - there)
            name = f"hollow-{there}"
            plan = HollowPlan(
                first=there,
                count=count,
                tenants=self._tenants,
                zones=list(DESIGN_ZONES),
                controls=[format_address(item.listen) for item in self._addresses],
                http=format_address(loopback()),
                folder=str(self._hollow_folder / name),
            )
            arguments = [json.dumps(asdict(plan))]
            process = start(name, "cranklane_lab.scale.hollow", arguments, self._folder)
            self._hollow.append((plan, process))
            there += count

    def _measure_idle(self, step: Step) -> None:
        before = self._totals()
        control = self._control_cpu()
        hollow = self._hollow_cpu()
        real = self._real_cpu()
        gevent.sleep(IDLE_SECONDS)
        used = self._control_cpu() - control
        step.control_idle_cpu = used / IDLE_SECONDS / len(self._controls)
        step.node_idle_cpu = (self._hollow_cpu() - hollow) / IDLE_SECONDS / step.nodes
        step.real_idle_cpu = (self._real_cpu() - real) / IDLE_SECONDS / len(self._pairs)
        after = self._totals()
        received = after.bytes_received - before.bytes_received
        step.node_idle_received = received / IDLE_SECONDS / step.nodes
        step.node_idle_sent = (after.bytes_sent - before.bytes_sent) / IDLE_SECONDS / step.nodes

    def _measure_changes(self, step: Step) -> None:
        before = self._totals()
        control = self._control_cpu()
        started = time.monotonic()
        answered: dict[int, float] = {}
        for number in range(CHANGES):
            tenant = number % self._tenants
            text = tenant_document(tenant, self._tenants, SLOTS + 1 + self._request % 7)
            edit_started = time.monotonic()
            version = self._apply(tenant_name(tenant), text)
            answered[version] = time.monotonic()
            step.edit_seconds.append(answered[version] - edit_started)
            gevent.sleep(CHANGE_PAUSE_SECONDS)
        self._wait("a change is not in force", lambda: self._all_at(self._newest()))
        elapsed = time.monotonic() - started
        idle_cpu = step.control_idle_cpu * elapsed * len(self._controls)
        step.change_cpu = (self._control_cpu() - control - idle_cpu) / CHANGES
        after = self._totals()
        received = after.bytes_received - before.bytes_received
        idle = step.node_idle_received * elapsed * step.nodes
        step.change_bytes = max(0.0, received - idle) / CHANGES / step.nodes
        step.change_seconds = [
            max(0.0, after.in_force_at[version] - at) for version, at in answered.items()
        ]

    def _lose_one_control(self) -> None:
        """Kill one control process; its nodes go to the others."""
        if len(self._controls) == 1:
            return
        self._controls[-1].kill()
        started = time.monotonic()
        self._wait("not all nodes found another control process", self._all_connected)
        self.result.takeover_seconds = time.monotonic() - started
        self._controls[-1] = self._start_control(len(self._controls) - 1)

    def _restart_all_controls(self) -> None:
        for process in self._controls:
            process.kill()
        started = time.monotonic()
        self._controls = [self._start_control(number) for number in range(len(self._addresses))]
        self._wait("control does not come back", self._control_answers)
        self.result.control_back_seconds = time.monotonic() - started
        self._wait("not all nodes came back", self._all_connected)
        self.result.restart_seconds = time.monotonic() - started
        self.result.restart_cpu = self._control_cpu()
        self.result.revisions = self._newest()
        data = self._folder / "control-0"
        self.result.log_bytes = sum(path.stat().st_size for path in data.iterdir())

    def _all_connected(self) -> bool:
        totals = self._totals()
        return totals.connected == sum(plan.count for plan, _ in self._hollow)

    def _control_cpu(self) -> float:
        return sum(process.cpu_seconds() for process in self._controls)

    @staticmethod
    def _mean(values: list[int]) -> int:
        return sum(values) // len(values)

    # What the processes say.

    def _totals(self) -> HollowReport:
        total = HollowReport()
        for plan, _ in self._hollow:
            report = self._read(address_of(plan))
            if report is None:
                return HollowReport()
            total.nodes += report.nodes
            total.connected += report.connected
            total.bytes_received += report.bytes_received
            total.bytes_sent += report.bytes_sent
            for version, at in report.in_force_at.items():
                total.in_force_at[version] = max(at, total.in_force_at.get(version, 0.0))
            least = report.least_version
            total.least_version = min(total.least_version or least, least)
        return total

    def _read(self, address: Address) -> HollowReport | None:
        client = HttpClient(self._runtime, address)
        try:
            return read_report(client.request("GET", "/state").read())
        except Exception:  # noqa: BLE001 - the process may not listen yet
            return None
        finally:
            client.close()

    def _all_at(self, version: int) -> bool:
        totals = self._totals()
        wanted = sum(plan.count for plan, _ in self._hollow)
        return totals.connected == wanted and totals.least_version >= version

    def _hollow_cpu(self) -> float:
        return sum(process.cpu_seconds() for _, process in self._hollow)

    def _real_cpu(self) -> float:
        return sum(pair.node.cpu_seconds() for pair in self._pairs)

    @staticmethod
    def _wait(problem: str, done: Callable[[], bool]) -> None:
        until = time.monotonic() + WAIT_SECONDS
        while not done():
            if time.monotonic() >= until:
                raise ScaleError(problem)
            gevent.sleep(0.1)


def run_scale(steps: list[int], controls: int, hollow_folder: str, as_json: bool) -> int:
    """Run the steps, print what was measured, and return the exit status.

    :param hollow_folder: where hollow nodes keep their files; empty: beside
        control's. All of them share what in a real fleet is a disk for each.
    """
    with (
        tempfile.TemporaryDirectory(prefix="cranklane-scale-") as folder,
        tempfile.TemporaryDirectory(prefix="hollow-", dir=hollow_folder or folder) as hollow,
    ):
        try:
            result = ScaleRun(Path(folder), Path(hollow), controls).run(steps)
        except ScaleError as error:
            print(f"problem: {error}")
            return 1
    if as_json:
        print(json.dumps(asdict(result)))
    else:
        print_result(result)
    return 0
