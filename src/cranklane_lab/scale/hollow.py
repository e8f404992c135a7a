"""Hollow nodes: the product's own control side of a node, without calls, many to a process.

A hollow node subscribes, sends heartbeats, and adopts and syncs configuration
with the classes of :mod:`cranklane.node`. It has no ports and no worker.
"""

from __future__ import annotations

import json
import resource
import sys
from dataclasses import asdict, dataclass, field
from pathlib import Path

import falcon
import gevent
from gevent.event import Event

from cranklane.common.http_server import HttpServer
from cranklane.common.logs import configure_logs, logger
from cranklane.node.configuration import NodeConfiguration
from cranklane.node.members import MemberState, MemberTable
from cranklane.node.subscription import Subscription
from cranklane.records.messages import Heartbeat, MemberDelta, Subscribe
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.scale.policy import SERVICES_PER_TENANT, service_name, tenant_name

START_SPREAD_SECONDS = 0.002
"""Seconds between the starts of two hollow nodes of a process."""


@dataclass
class HollowPlan:
    """Which hollow nodes one process holds.

    :ivar first: number of the first node; node ``n`` is of service ``n`` modulo
        all services.
    :ivar tenants: tenants of the policy.
    """

    first: int
    count: int
    tenants: int
    zones: list[str]
    controls: list[str]
    http: str
    folder: str


@dataclass
class HollowReport:
    """What one process's hollow nodes have seen.

    :ivar in_force_at: by version, the monotonic second from which it, or a newer one,
        was in force on all nodes of the process.
    """

    nodes: int = 0
    connected: int = 0
    least_version: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    members: int = 0
    in_force_at: dict[int, float] = field(default_factory=dict)


class HollowNode:
    """One node's subscription, configuration and member table."""

    def __init__(self, runtime: Runtime, plan: HollowPlan, number: int) -> None:
        self._runtime = runtime
        service = number % (plan.tenants * SERVICES_PER_TENANT)
        self.configuration = NodeConfiguration()
        self._table = MemberTable(runtime.monotonic)
        self.adopted: dict[int, float] = {}
        self.members = 0
        identity = Subscribe(
            incarnation=int(runtime.wall() * 1000),
            node=f"hollow-{number}",
            tenant=tenant_name(service // SERVICES_PER_TENANT),
            service=service_name(service % SERVICES_PER_TENANT),
            zone=plan.zones[number % len(plan.zones)],
            address=f"127.0.0.1:{number % 60_000 + 1}",
        )
        self.subscription = Subscription(
            runtime,
            [parse_address(text) for text in plan.controls],
            identity,
            self.configuration,
            runtime.storage(str(Path(plan.folder) / identity.node)),
            self._members_changed,
            self._configuration_changed,
            lambda: Heartbeat(state=MemberState.LIVE),
            logger(node=identity.node),
        )

    def since(self, version: int) -> float:
        """Return when a version, or a newer one, came in force."""
        return min(at for adopted, at in self.adopted.items() if adopted >= version)

    def _members_changed(self, delta: MemberDelta) -> None:
        self.members += len(delta.members)
        self._table.apply(delta)

    def _configuration_changed(self) -> None:
        self.adopted[self.configuration.version] = self._runtime.monotonic()


class HollowProcess:
    """The hollow nodes of one process and the page that reports on them."""

    def __init__(self, runtime: Runtime, plan: HollowPlan) -> None:
        numbers = range(plan.first, plan.first + plan.count)
        self._nodes = [HollowNode(runtime, plan, number) for number in numbers]
        application = falcon.App()
        application.add_route("/state", self, suffix="state")
        self._server = HttpServer(runtime, parse_address(plan.http), application)
        for node in self._nodes:
            runtime.spawn(node.subscription.follow)
            gevent.sleep(START_SPREAD_SECONDS)

    def report(self) -> HollowReport:
        """Return what the nodes have seen."""
        report = HollowReport(nodes=len(self._nodes))
        report.least_version = min(node.configuration.version for node in self._nodes)
        for node in self._nodes:
            subscription = node.subscription
            report.connected += subscription.connected
            report.members += node.members
            report.bytes_received += subscription.bytes_received
            report.bytes_sent += subscription.bytes_sent
        for version in range(1, report.least_version + 1):
            report.in_force_at[version] = max(node.since(version) for node in self._nodes)
        return report

    def on_get_state(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the report as JSON."""
        response.media = asdict(self.report())


def read_report(data: bytes) -> HollowReport:
    """Return a report from its JSON."""
    media = json.loads(data)
    media["in_force_at"] = {int(key): value for key, value in media["in_force_at"].items()}
    return HollowReport(**media)


def _allow_many_connections() -> None:
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def main(arguments: list[str]) -> None:
    """Run until the process is ended."""
    configure_logs()
    _allow_many_connections()
    process = HollowProcess(RealRuntime(), HollowPlan(**json.loads(arguments[0])))
    Event().wait()
    del process


def address_of(plan: HollowPlan) -> Address:
    """Return where a process's report is read."""
    return parse_address(plan.http)


if __name__ == "__main__":
    main(sys.argv[1:])
