"""A node or edge process: wires its parts together, starts, drains and stops them."""

from __future__ import annotations

import gevent

from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.common.planned_stop import PlannedStop
from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import Subscription
from cranklane.distribution.subscription_callbacks import SubscriptionCallbacks
from cranklane.node.admin import Admin, AdminView
from cranklane.node.admission import Admission
from cranklane.node.attempt import AttemptSender
from cranklane.node.balancer import Balancer
from cranklane.node.call_runner import CallRunner
from cranklane.node.callers import CallerServer
from cranklane.node.callers_port import open_when_free
from cranklane.node.context import ContextTable
from cranklane.node.inbound import Inbound
from cranklane.node.ledger_client import LedgerClient
from cranklane.node.members import MemberTable, MemberView
from cranklane.node.metrics import NodeMetrics
from cranklane.node.once import OnceCalls
from cranklane.node.outbound import Outbound
from cranklane.node.peers import PeerPool
from cranklane.node.settings import NodeSettings
from cranklane.node.worker import WorkerClient
from cranklane.node.worker_service import WorkerService
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane.records.messages import Heartbeat, Hello, MemberDelta, Subscribe
from cranklane.runtime.interface import Runtime, format_address, parse_address

IDLE_GRACE_SECONDS = 10.0
"""Seconds that an edge keeps idle client connections open while stopping. Most clients send
another request in that time, whose answer asks them to close the connection."""

STOP_ANNOUNCE_SECONDS = 0.2
"""Seconds between announcing the stop to callers and closing the port; enough for the
announcement to reach other regions."""

CLIENT_CHECK_SECONDS = 0.05
"""Seconds between checks for open client connections while stopping."""


class NodeProcess:
    """A node or an edge.

    :ivar incarnation: start time in milliseconds; distinguishes processes of the same name.
    """

    def __init__(self, runtime: Runtime, settings: NodeSettings) -> None:
        self._runtime = runtime
        self._settings = settings
        self._log = logger(process="node" if settings.service else "edge", node=settings.name)
        self.incarnation = int(runtime.wall() * MILLISECONDS)
        self.configuration = AdoptedPolicy()
        self.metrics = NodeMetrics()
        self.members = MemberTable(runtime.monotonic)
        self.contexts = ContextTable(runtime.random)
        self.admission = Admission(runtime.monotonic, self.configuration.share)
        self._planned_stop = PlannedStop(runtime.monotonic)
        self.peers = PeerPool(runtime, self._hello, self._version, self._newer_version_seen)
        self.outbound = self._new_outbound()
        ledger = LedgerClient(runtime, self.members, self._hello)
        self.once = OnceCalls(runtime, ledger)
        self.inbound: Inbound | None = None
        self._stopping = False

    def _new_outbound(self) -> Outbound:
        runtime = self._runtime
        attempts = AttemptSender(
            runtime,
            self.members,
            self.peers,
            Balancer(runtime.monotonic, runtime.random, self._settings.zone),
            self.metrics,
            self._log_ejection,
        )
        return Outbound(
            runtime, self.configuration, self.members, attempts, self.metrics, self._planned_stop
        )

    def start(self) -> None:
        """Open the ports and subscribe to control."""
        settings = self._settings
        self.callers = CallerServer(
            self._runtime,
            settings.full_service,
            self.configuration,
            self.outbound,
            self.contexts,
        )
        self.http = self._listen_for_callers()
        if settings.service:
            self._start_inbound()
        self.subscription = self._subscription()
        self.subscription.load()
        self._runtime.spawn_restarting(self.subscription.follow)
        if settings.admin:
            admin = Admin(self._admin_view())
            self.admin = HttpServer(self._runtime, parse_address(settings.admin), admin.application)
        self._log.info("started", version=self.configuration.version)

    def _admin_view(self) -> AdminView:
        return AdminView(
            service=self._settings.full_service,
            configuration=self.configuration,
            admission=self.admission,
            members=self.members,
            metrics=self.metrics,
            state=self.state,
            control_connected=lambda: self.subscription.connected,
            drain=self.drain,
        )

    def _listen_for_callers(self) -> HttpServer:
        """Open the port for callers; a node with a worker waits until it is free."""
        settings = self._settings
        address = parse_address(settings.http)
        if not settings.service:
            return HttpServer(self._runtime, address, self.callers.application)
        return open_when_free(
            self._runtime,
            address,
            self.callers.application,
            settings.stop_seconds,
            lambda: self._log.info("waiting_for_port", address=settings.http),
        )

    def _start_inbound(self) -> None:
        settings = self._settings
        runner = CallRunner(
            self._runtime,
            WorkerService(settings.full_service, self.configuration),
            self.admission,
            WorkerClient(self._runtime, parse_address(settings.worker)),
            self.contexts,
            self.once,
            self.metrics,
        )
        self.inbound = Inbound(
            self._runtime,
            self.configuration,
            self.admission,
            runner,
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
            SubscriptionCallbacks(
                lambda: Heartbeat(state=self.state()),
                self._members_changed,
                self._configuration_changed,
            ),
            self._log,
        )

    def state(self) -> MemberState:
        """Return the node's member state."""
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

    def _newer_version_seen(self) -> None:
        self.metrics.event("newer_version_seen")
        self.subscription.on_newer_version()

    def _log_ejection(self, member: MemberView) -> None:
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
        """Refuse new calls for the worker and announce it to control and callers."""
        if self.admission.draining:
            return
        self.admission.draining = True
        self.subscription.announce()
        if self.inbound is not None:
            self.inbound.announce_stop()
        self._log.info("draining")

    def stop(self, signalled_at: float | None = None) -> bool:
        """Drain, then stop; wait at most ``stop_seconds`` for calls in flight.

        An edge keeps its clients' connections for up to ``IDLE_GRACE_SECONDS`` more.

        :param signalled_at: monotonic second of the signal; None: now.
        :returns: whether all calls in flight finished.
        """
        if self._stopping:
            return True
        self._stopping = True
        signalled_at = signalled_at or self._runtime.monotonic()
        drained_at = signalled_at + STOP_ANNOUNCE_SECONDS + self._settings.stop_seconds
        ends_at = drained_at + (IDLE_GRACE_SECONDS if self.inbound is None else 0.0)
        self._planned_stop.begin(ends_at)
        self._log.info("stopping", in_flight=self._in_flight())
        self.drain()
        if self.inbound is None:
            self.http.stop_accepting()
        # With a worker, keep the port open for the child calls of running calls.
        self._planned_stop.wait(STOP_ANNOUNCE_SECONDS)
        self.subscription.stop()
        if self.inbound is not None:
            self._listener.close()
        finished = self._wait_until_idle(drained_at)
        if self.inbound is None:
            # Clients may still send requests on idle connections; answer these, and ask the
            # clients to close.
            self._wait_for_clients_to_close()
            finished = self._wait_until_idle(ends_at) and finished
        self.http.stop_accepting()
        self.http.close_idle()
        self._log.info("stopped", cut=self._in_flight())
        return finished

    def _wait_for_clients_to_close(self) -> None:
        now = self._runtime.monotonic()
        deadline = min(now + IDLE_GRACE_SECONDS, self._planned_stop.ends_at)
        while self.http.connections and self._runtime.monotonic() < deadline:
            gevent.sleep(CLIENT_CHECK_SECONDS)

    def _in_flight(self) -> int:
        inbound = self.inbound.calls if self.inbound is not None else 0
        return inbound + self.callers.calls + self.once.pending_stores

    def _wait_until_idle(self, until: float) -> bool:
        return self._planned_stop.wait_until_idle(lambda: self._in_flight() > 0, until)
