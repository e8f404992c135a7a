"""A node or an edge: its parts put together, started and stopped."""

from __future__ import annotations

import errno
from dataclasses import dataclass

import gevent

from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import Subscription
from cranklane.node.admin import Admin
from cranklane.node.admission import Admission
from cranklane.node.balancer import Balancer
from cranklane.node.callers import Callers
from cranklane.node.context import ContextTable
from cranklane.node.inbound import Inbound
from cranklane.node.ledger_client import LedgerClient
from cranklane.node.members import MemberTable, MemberView
from cranklane.node.metrics import NodeMetrics
from cranklane.node.once import OnceCalls
from cranklane.node.outbound import Outbound
from cranklane.node.peers import PeerPool
from cranklane.node.worker import WorkerClient
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane.records.messages import Heartbeat, Hello, MemberDelta, Subscribe
from cranklane.runtime.interface import Runtime, format_address, parse_address
from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    NAME,
    OPTIONAL_ADDRESS,
    OPTIONAL_NAME,
    TEXT,
    seconds,
    setting,
)

PORT_LOOK_SECONDS = 0.05
"""Seconds between tries to open the callers' port."""

PORT_MARGIN_SECONDS = 5.0
"""Seconds waited for the port beyond a predecessor's longest stop."""

IDLE_GRACE_SECONDS = 10.0
"""Seconds that clients' kept connections to an edge stay open after the last call."""

STOP_ANNOUNCE_SECONDS = 0.2
"""Seconds between telling callers that the node stops and closing its port."""


@dataclass
class NodeSettings:
    """Settings of a node, or of an edge when no service is named."""

    name: str = setting(NAME, help="name of this node, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    controls: list[str] = setting(ADDRESSES, help="control processes to follow")
    http: str = setting(ADDRESS, help="address for callers")
    data: str = setting(TEXT, help="data folder")
    tenant: str = setting(OPTIONAL_NAME, "", help="tenant of the worker's service")
    service: str = setting(OPTIONAL_NAME, "", help="service of the worker; none: an edge")
    listen: str = setting(ADDRESS, "127.0.0.1:0", help="address for other nodes")
    worker: str = setting(OPTIONAL_ADDRESS, "", help="the worker's HTTP address")
    admin: str = setting(OPTIONAL_ADDRESS, "", help="address for metrics, status and drain")
    stop_seconds: float = setting(
        seconds(0, 86_400), 300.0, help="most seconds a planned stop waits for calls in flight"
    )


class NodeProcess:
    """One node or edge.

    :ivar incarnation: distinguishes this process from earlier ones of its name.
    """

    def __init__(self, runtime: Runtime, settings: NodeSettings) -> None:
        self._runtime = runtime
        self._settings = settings
        self._log = logger(process="node" if settings.service else "edge", node=settings.name)
        self.incarnation = int(runtime.wall() * 1000)
        self.configuration = AdoptedPolicy()
        self.metrics = NodeMetrics()
        self.members = MemberTable(runtime.monotonic)
        self.contexts = ContextTable(runtime.random)
        self.admission = Admission(runtime.monotonic, self.configuration.share)
        self.peers = PeerPool(runtime, self._hello, self._version, self._newer_seen)
        self.outbound = Outbound(
            runtime,
            self.configuration,
            self.members,
            self.peers,
            Balancer(runtime.monotonic, runtime.random, settings.zone),
            self.metrics,
            self._ejected,
        )
        ledger = LedgerClient(runtime, self.members, self._hello)
        self.once = OnceCalls(runtime, ledger)
        self.inbound: Inbound | None = None
        self._stopping = False

    @property
    def full_service(self) -> str:
        """``tenant.service``, or empty at an edge."""
        settings = self._settings
        return f"{settings.tenant}.{settings.service}" if settings.service else ""

    def start(self) -> None:
        """Open the ports and follow control."""
        settings = self._settings
        self.callers = Callers(
            self._runtime, self.full_service, self.configuration, self.outbound, self.contexts
        )
        self.http = self._listen_for_callers()
        if settings.service:
            self._start_inbound()
        self.subscription = self._subscription()
        self.subscription.load()
        self._runtime.spawn(self.subscription.follow)
        if settings.admin:
            admin = Admin(self)
            self.admin = HttpServer(self._runtime, parse_address(settings.admin), admin.application)
        self._log.info("started", version=self.configuration.version)

    def _listen_for_callers(self) -> HttpServer:
        """Open the callers' port; beside a worker, wait until it is free.

        A worker's child calls belong to the process that runs their parent call.
        While a predecessor still finishes calls, it alone has the port.
        """
        address = parse_address(self._settings.http)
        if not self._settings.service:
            return HttpServer(self._runtime, address, self.callers.application)
        until = self._runtime.monotonic() + self._settings.stop_seconds + PORT_MARGIN_SECONDS
        waiting = False
        while True:
            try:
                return HttpServer(self._runtime, address, self.callers.application, shared=False)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self._runtime.monotonic() >= until:
                    raise
            if not waiting:
                waiting = True
                self._log.info("waiting_for_port", address=self._settings.http)
            gevent.sleep(PORT_LOOK_SECONDS)

    def _start_inbound(self) -> None:
        settings = self._settings
        self.inbound = Inbound(
            self._runtime,
            self.full_service,
            self.configuration,
            self.admission,
            WorkerClient(self._runtime, parse_address(settings.worker)),
            self.contexts,
            self.once,
            self.metrics,
            self._hello,
            self._newer_version_seen,
        )
        self._listener = self._runtime.listen(
            parse_address(settings.listen), self.inbound.serve_connection
        )

    def _subscription(self) -> Subscription:
        settings = self._settings
        address = format_address(self._listener.address) if self.inbound else ""
        identity = Subscribe(
            incarnation=self.incarnation,
            everything=not settings.service,
            node=settings.name,
            tenant=settings.tenant,
            service=settings.service,
            zone=settings.zone,
            address=address,
        )
        return Subscription(
            self._runtime,
            [parse_address(text) for text in settings.controls],
            identity,
            self.configuration,
            self._runtime.storage(settings.data),
            self._members_changed,
            self._configuration_changed,
            lambda: Heartbeat(state=self.state()),
            self._log,
        )

    def state(self) -> MemberState:
        """Return the node's own state."""
        return MemberState.DRAINING if self.admission.draining else MemberState.LIVE

    def _hello(self) -> Hello:
        settings = self._settings
        return Hello(
            incarnation=self.incarnation,
            version=self.configuration.version,
            node=settings.name,
            tenant=settings.tenant,
            service=settings.service,
            zone=settings.zone,
        )

    def _version(self) -> int:
        return self.configuration.version

    def _newer_seen(self, _member: MemberView, _version: int) -> None:
        self._newer_version_seen()

    def _newer_version_seen(self) -> None:
        self.metrics.event("newer_version_seen")
        self.subscription.newer_seen()

    def _ejected(self, member: MemberView) -> None:
        self._log.warning("member_ejected", member=member.node, failures=member.failures)

    def _members_changed(self, delta: MemberDelta) -> None:
        for member in self.members.apply(delta):
            self.peers.forget(member)

    def _configuration_changed(self) -> None:
        settings = self._settings
        service = self.configuration.service(settings.tenant, settings.service)
        if service is not None:
            self.admission.configure(service.slots, service.queue)
        self._log.info("configuration_in_force", version=self.configuration.version)

    def drain(self) -> None:
        """Take no new calls for the worker, and say so to everybody."""
        if self.admission.draining:
            return
        self.admission.draining = True
        self.subscription.announce()
        if self.inbound is not None:
            self.inbound.announce_stop()
        self._log.info("draining")

    def stop(self) -> bool:
        """Stop as planned: finish what is in flight, within the stated maximum.

        :returns: whether everything in flight was finished.
        """
        if self._stopping:
            return True
        self._stopping = True
        self._log.info("stopping", in_flight=self._in_flight())
        self.drain()
        if self.inbound is None:
            self.http.stop_accepting()
        # Beside a worker the port stays open: the worker's child calls need it.
        gevent.sleep(STOP_ANNOUNCE_SECONDS)
        self.subscription.stop()
        if self.inbound is not None:
            self._listener.close()
        finished = self._wait_until_idle()
        if self.inbound is None:
            # A client may be sending on a kept connection right now: it still
            # gets an answer, and is told to close.
            self._wait_for_clients_to_close()
            finished = self._wait_until_idle() and finished
        self.http.stop_accepting()
        self.http.close_idle()
        self._log.info("stopped", cut=self._in_flight())
        return finished

    def _wait_for_clients_to_close(self) -> None:
        until = self._runtime.monotonic() + IDLE_GRACE_SECONDS
        while self.http.connections and self._runtime.monotonic() < until:
            gevent.sleep(0.05)

    def _in_flight(self) -> int:
        inbound = self.inbound.calls if self.inbound is not None else 0
        return inbound + self.callers.calls + self.once.storing

    def _wait_until_idle(self) -> bool:
        until = self._runtime.monotonic() + self._settings.stop_seconds
        while self._in_flight():
            if self._runtime.monotonic() >= until:
                return False
            gevent.sleep(0.02)
        return True
