"""A sidecar: its parts put together, started and stopped."""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from cranklane.common.addresses import peer_addresses
from cranklane.common.logs import logger
from cranklane.common.metrics_server import MetricsServer
from cranklane.common.request_names import HeaderNames
from cranklane.common.small_http import SmallHttp
from cranklane.common.units import MICROSECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import FollowTiming, Subscription
from cranklane.records.messages import (
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    Member,
    MemberDelta,
    Message,
    Subscribe,
    TenantShares,
    UsageReport,
)
from cranklane.runtime.interface import Address, Listener, Runtime, parse_address
from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    DIGEST,
    NAME,
    OPTIONAL_ADDRESS,
    TEXT,
    seconds,
    setting,
    whole_number,
)
from cranklane.sidecar.admission.gate import Gate
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.admission.tenant_quota import TenantQuota
from cranklane.sidecar.ingress.authentication import Authentication
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.ingress.ingress import Ingress
from cranklane.sidecar.quarantine.api import QuarantineApi
from cranklane.sidecar.quarantine.gossip import QuarantineGossip
from cranklane.sidecar.quarantine.sidecar_directory import SidecarDirectory
from cranklane.sidecar.request.call_tree import CallTree
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.dispatcher import Dispatcher
from cranklane.sidecar.routing.peers import PeerClient, PeerServer
from cranklane.sidecar.routing.retry_budget import RetryBound, RetryBudget
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane.sidecar.table.table_lease import TableLease
from cranklane.sidecar.telemetry.decision_log import DecisionLog
from cranklane.sidecar.telemetry.metrics import SidecarMetrics
from cranklane.sidecar.worker.api import ReadinessApi, WorkerApi
from cranklane.sidecar.worker.condition import Condition, WorkerCondition
from cranklane.sidecar.worker.probe import WorkerProbe
from cranklane.sidecar.worker.registry import WorkerRegistry

TIMING = FollowTiming(heartbeat=0.5, silent=1.6, max_backoff=0.8, raises_incarnation=True)
"""Control answers each heartbeat, so this much silence means that it is lost."""

WITHDRAWAL_SECONDS = 2.2
"""After a planned stop began, callers may need this long to notice it."""

USAGE_SECONDS = 0.15
"""Time over which tenants' usage is gathered before control is told. In a model of 71
sidecars a surge of 7.5 times stays within its bound with news up to 0.3 s old."""


STOP_MARGIN_SECONDS = 0.5
STOP_LOOK_SECONDS = 0.05


@dataclass
class SidecarSettings:
    """Settings of a sidecar."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    service: str = setting(TEXT, help="service of this machine, stated as the caller")
    callers: str = setting(ADDRESS, help="address for the clients and the worker of this machine")
    readiness: str = setting(ADDRESS, help="address at which readiness is asked")
    registry: str = setting(ADDRESS, help="address for the worker's heartbeats")
    listen: str = setting(ADDRESS, help="address for other sidecars")
    seeds: list[str] = setting(ADDRESSES, help="operators' addresses of some controllers")
    peer_port: int = setting(
        whole_number(1, 65535), help="port at which controllers listen for nodes"
    )
    worker: str = setting(OPTIONAL_ADDRESS, "", help="the worker's HTTP address")
    heartbeat_seconds: float = setting(
        seconds(0.01, 3600), 1.5, help="seconds between a worker's heartbeats"
    )
    metrics: str = setting(OPTIONAL_ADDRESS, "", help="address of /metrics; none: nowhere")
    advertise: str = setting(
        OPTIONAL_ADDRESS, "", help="address told to others, when it is not the one listened on"
    )
    retry_ratio: float = setting(
        seconds(0, 10), 0.2, help="requests sent again for each request, over the whole fleet"
    )
    retry_slack: float = setting(
        seconds(0, 1_000_000), 60.0, help="requests sent again beyond that ratio in each window"
    )
    retry_seconds: float = setting(
        seconds(0.1, 3600), 10.0, help="seconds of a window of the two retry settings"
    )
    revocation_seconds: float = setting(
        seconds(0, 3600),
        0.0,
        help="after it was acknowledged, a revoked key runs nowhere after these seconds, also "
        "out of touch with control; 0: only where control is in touch",
    )
    operator_digest: str = setting(
        DIGEST, "", help="SHA-256 digest of the token that may lift and add holds; empty: nobody's"
    )
    stop_seconds: float = setting(seconds(0, 3600), 6.0, help="most seconds of a planned stop")


class Sidecar:
    """One sidecar.

    :param names: headers between callers, sidecars and workers.
    :ivar incarnation: distinguishes this process from earlier ones of its name.
    """

    def __init__(
        self, runtime: Runtime, settings: SidecarSettings, names: HeaderNames | None = None
    ) -> None:
        names = names or HeaderNames()
        self._runtime = runtime
        self.settings = settings
        self._log = logger(process="sidecar", node=settings.name)
        self.incarnation = int(runtime.wall() * 1000)
        self.adopted = AdoptedTable(self._log, self._table_adopted)
        self.destinations = Destinations(
            runtime.monotonic, runtime.random, settings.name, settings.zone
        )
        self.slots = Slots(runtime.monotonic)
        self.worker = WorkerRegistry(
            runtime,
            settings.worker,
            settings.service,
            settings.heartbeat_seconds,
            self.slots,
            self._worker_changed,
            self._log,
        )
        self.metrics = SidecarMetrics()
        self.decisions = DecisionLog(runtime.monotonic, self.metrics, self._log)
        self.peers = PeerClient(runtime, self._hello)
        self.directory = SidecarDirectory(runtime.monotonic, settings.name)
        self.quarantine = QuarantineGossip(
            runtime,
            self.directory,
            settings.name,
            lambda: self.worker.service,
            self.peers.exchange,
            self._log,
        )
        call_tree = CallTree()
        self.condition = WorkerCondition(runtime.monotonic, self._condition_changed)
        self.gate = Gate(
            runtime,
            self.worker,
            self.slots,
            names,
            call_tree,
            self.condition,
            self.quarantine.table,
            self.decisions.admission,
            self.decisions.worker_exited,
        )
        self.lease = TableLease(runtime.monotonic, settings.revocation_seconds)
        self.quota = TenantQuota(
            runtime.monotonic, runtime.random, lambda: self.destinations.fleet_size().sidecars
        )
        disconnects = DisconnectWatch(runtime)
        self.peer_server = PeerServer(
            runtime, self.gate, disconnects, self.quarantine.received, self._log
        )
        self.dispatcher = Dispatcher(
            runtime,
            self.destinations,
            self.gate,
            self.peers,
            RetryBudget(
                RetryBound(settings.retry_ratio, settings.retry_slack, settings.retry_seconds),
                runtime.monotonic,
                runtime.random,
                self.destinations.fleet_size,
            ),
            self.quarantine.table,
            settings.name,
            settings.service,
            self.decisions.attempted,
            self.decisions.quarantined,
        )
        self.ingress = Ingress(
            runtime,
            names,
            settings.service,
            lambda: self.adopted.table,
            self.dispatcher,
            disconnects,
            call_tree,
            Authentication(names, self.lease, self.quota, self.decisions.refused_at_ingress),
            self.decisions.decided,
        )
        self._probe = (
            WorkerProbe(runtime, parse_address(settings.worker), names) if settings.worker else None
        )
        self._add_gauges()
        self._own_sequence = 0
        self._learnt_for = ""
        self._lease_held = True
        self._stopping = False
        self._listeners: list[Listener] = []
        self.subscription = self._new_subscription()

    def start(self) -> None:
        """Open the ports and follow control."""
        settings = self.settings
        self._listen(settings.listen, self.peer_server.accept)
        readiness = ReadinessApi(self.is_ready)
        self._listen(settings.readiness, SmallHttp(self._runtime, readiness.handle).accept)
        worker_api = WorkerApi(self.worker, self._log)
        self._listen(settings.registry, SmallHttp(self._runtime, worker_api.handle).accept)
        self._listen(settings.callers, self.ingress.accept)
        if settings.metrics:
            operators = QuarantineApi(
                self.quarantine.table,
                lambda: self.settings.operator_digest,
                self._log,
                MetricsServer(self.metrics.text).handle,
            )
            self._listen(settings.metrics, SmallHttp(self._runtime, operators.handle).accept)
        self._runtime.spawn(self.subscription.follow)
        self._runtime.spawn(self.worker.watch)
        self._runtime.spawn(self.decisions.summarise)
        self._runtime.spawn(self._report_usage)
        self._runtime.spawn(self.quarantine.compare_on)
        self._log.info("started", service=settings.service, seeds=settings.seeds)

    def _add_gauges(self) -> None:
        add = self.metrics.gauge
        add("cranklane_table_version", "Operator's version in force.", self._table_version)
        add("cranklane_running", "Requests at the worker now.", lambda: self.slots.running)
        add("cranklane_queued", "Requests that wait for a slot now.", lambda: self.slots.queued)
        add("cranklane_slots", "Slots of the worker.", lambda: self.slots.limit)
        add("cranklane_worker_faults", "Part of runs failed by the worker.", self._faults)
        add("cranklane_worker_slowness", "Run times against typical ones.", self._slowness)
        add("cranklane_table_age", "Seconds since the table was newest.", lambda: self.lease.age)
        add("cranklane_held_requests", "Requests held, or to be tried again.", self._held_requests)
        add("cranklane_ready", "Whether callers may send requests.", self.is_ready)
        add(
            "cranklane_control_connected",
            "Whether a controller answers.",
            lambda: self.subscription.connected,
        )

    def _held_requests(self) -> float:
        return len(self.quarantine.table.quarantined())

    def _faults(self) -> float:
        return self.condition.now().faults

    def _slowness(self) -> float:
        return self.condition.now().slowness

    def _table_version(self) -> float:
        return self.adopted.table.version

    def _listen(self, address: str, handler: object) -> None:
        self._listeners.append(
            self._runtime.listen(parse_address(address), handler)  # type: ignore[arg-type]
        )

    def is_ready(self) -> bool:
        """Return whether callers may send requests here."""
        return self.adopted.version > 0 and not self._stopping

    def reload(self, settings: SidecarSettings) -> None:
        """Take settings that have changed: only the seeds can."""
        if settings.seeds != self.settings.seeds:
            self._log.info("seeds_changed", seeds=settings.seeds)
        self.settings = settings
        self.subscription.start_from(self._controls())

    # Control.

    def _controls(self) -> list[Address]:
        settings = self.settings
        return [parse_address(item) for item in peer_addresses(settings.seeds, settings.peer_port)]

    def _new_subscription(self) -> Subscription:
        settings = self.settings
        identity = Subscribe(
            incarnation=self.incarnation,
            everything=True,
            node=settings.name,
            service=settings.service,
            zone=settings.zone,
            address=settings.advertise or settings.listen,
        )
        return Subscription(
            self._runtime,
            self._controls(),
            identity,
            self.adopted,
            None,
            self._members_changed,
            lambda: None,
            self._heartbeat,
            self._log,
            TIMING,
            self._control_answered,
        )

    def _control_answered(self, message: Message) -> None:
        """Take an answer to a heartbeat, or the parts of tenants' requests to admit."""
        match message:
            case HeartbeatAnswer():
                asked_at = message.asked_us / MICROSECONDS
                self.quota.heard(asked_at)
                if message.confirmed:
                    newest_at = asked_at - message.age_us / MICROSECONDS
                    self.lease.confirmed(newest_at, message.revision, self.adopted.version)
            case TenantShares():
                self.quota.take_shares(message.whole, message.shares)

    def _report_usage(self) -> None:
        """Tell control of tenants' usage again and again, for ever."""
        while True:
            self.quota.used.wait()
            gevent.sleep(USAGE_SECONDS)
            self.subscription.send(self._usage)

    def _watch_lease(self) -> None:
        """Log when requests with a key begin or cease to be served."""
        holds = self.lease.holds
        if holds == self._lease_held or self.adopted.table.tenants is None:
            return
        self._lease_held = holds
        event = "table_lease_regained" if holds else "table_lease_lost"
        self._log.warning(event, table=self.adopted.table.version, age=round(self.lease.age, 2))

    def _usage(self) -> UsageReport | None:
        usage = self.quota.take_usage()
        return UsageReport(usage) if usage else None

    def _heartbeat(self) -> Heartbeat:
        worker = self.worker
        self.condition.renew()
        self.destinations.drop_forgotten()
        self._watch_lease()
        told = self.condition.reported
        return Heartbeat(
            state=self._member_state(),
            slots=worker.slots,
            service=worker.service,
            instance=worker.instance,
            faults=told.wire_faults,
            slowness=told.wire_slowness,
        )

    def _condition_changed(self, condition: Condition) -> None:
        """Tell control at once how the worker does."""
        self._log.info(
            "worker_condition",
            instance=self.worker.instance,
            faults=round(condition.faults, 2),
            slowness=round(condition.slowness, 1),
        )
        self._runtime.spawn(self.subscription.announce)

    def _member_state(self) -> MemberState:
        if self._stopping:
            return MemberState.DRAINING
        return self.worker.member_state

    def _hello(self) -> Hello:
        return Hello(
            incarnation=self.incarnation, version=self.adopted.version, node=self.settings.name
        )

    def _members_changed(self, delta: MemberDelta) -> None:
        self.destinations.apply(delta)
        self.directory.apply(delta)
        if delta.whole:
            # It starts, or control was lost: it may have missed news.
            self._runtime.spawn(self.quarantine.catch_up)
        self._log.info(
            "members",
            whole=delta.whole,
            changed=[f"{item.node}:{MemberState(item.state).name}" for item in delta.members[:20]],
        )

    def _table_adopted(self) -> None:
        """Trust the new table, and look for the worker at the health address it names."""
        self.lease.adopted(self.adopted.version)
        entry = self.adopted.table.services.get(self.settings.service)
        if self._probe is not None and entry is not None:
            self._runtime.spawn(self._find_worker, self._probe, entry.health_path)
            self._probe = None

    def _find_worker(self, probe: WorkerProbe, path: str) -> None:
        if self.worker.instance:
            return
        found = probe.find(path)
        if found is not None:
            self._log.info("worker_probed", instance=found.instance, slots=found.slots)
            self.worker.probed(found)

    def _worker_changed(self) -> None:
        """Tell this process's own table, and control, what is known of the worker."""
        settings = self.settings
        self._own_sequence += 1
        if self.worker.instance != self._learnt_for:
            self._learnt_for = self.worker.instance
            self._runtime.spawn(self.quarantine.catch_up)
        self.destinations.state_own(
            Member(
                incarnation=self.incarnation,
                sequence=self._own_sequence,
                state=self._member_state(),
                slots=self.worker.slots,
                node=settings.name,
                service=self.worker.service,
                zone=settings.zone,
                address=settings.advertise or settings.listen,
                instance=self.worker.instance,
            )
        )
        self.subscription.announce()

    # Stop.

    def stop(self) -> bool:
        """Stop as planned: take what still comes, and finish what is under way.

        :returns: whether everything was finished.
        """
        if self._stopping:
            return True
        began_at = self._runtime.monotonic()
        ends_at = began_at + self.settings.stop_seconds - STOP_MARGIN_SECONDS
        self._stopping = True
        self.ingress.stopping = True
        self._log.info("stopping", in_flight=self.ingress.in_flight, running=self.slots.running)
        self._worker_changed()
        gevent.sleep(min(WITHDRAWAL_SECONDS, self.settings.stop_seconds / 2))
        self.ingress.close_idle()
        while self._busy() and self._runtime.monotonic() < ends_at:
            gevent.sleep(STOP_LOOK_SECONDS)
        for listener in self._listeners:
            listener.close()
        finished = not self._busy()
        self.ingress.close_idle()
        self.peer_server.close_idle()
        self.subscription.stop()
        self._log.info(
            "stopped",
            cut=self.ingress.in_flight + self.slots.running,
            seconds=round(self._runtime.monotonic() - began_at, 3),
        )
        return finished

    def _busy(self) -> bool:
        return self.ingress.in_flight > 0 or self.gate.busy
