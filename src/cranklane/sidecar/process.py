"""Builds a sidecar from its components, opens its ports, and performs a planned stop."""

from __future__ import annotations

from cranklane.common.descriptor_limits import DescriptorLimits
from cranklane.common.header_names import HeaderNames
from cranklane.common.logs import logger
from cranklane.common.memory_budget import MemoryBudget
from cranklane.common.metrics_server import MetricsServer
from cranklane.common.planned_stop import PlannedStop
from cranklane.common.small_http import SmallHandler, SmallHttp
from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import Hello
from cranklane.runtime.interface import Listener, Runtime, parse_address
from cranklane.sidecar.admission.gate import Gate, LocalWorker
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.admission.tenant_quota import TenantQuota
from cranklane.sidecar.capacity.slow_start import SlowStartChange, StartCause
from cranklane.sidecar.capacity.worker_capacity import WorkerCapacity
from cranklane.sidecar.control_link import ControlledState, ControlLink
from cranklane.sidecar.ingress.authentication import Authentication
from cranklane.sidecar.ingress.caller_connections import CallerConnections
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.ingress.ingress import Ingress, IngressDependencies
from cranklane.sidecar.local_member import LocalMember
from cranklane.sidecar.quarantine.api import QuarantineApi
from cranklane.sidecar.quarantine.gossip import QuarantineGossip
from cranklane.sidecar.quarantine.sidecar_directory import SidecarDirectory
from cranklane.sidecar.readiness_api import ReadinessApi
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import CallProgress
from cranklane.sidecar.request.call_tree import CallTree
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.dispatcher import Dispatcher, DispatcherDependencies
from cranklane.sidecar.routing.peer_client import PeerClient
from cranklane.sidecar.routing.peer_server import PeerLimits, PeerServer
from cranklane.sidecar.routing.retry_budget import RetryBound, RetryBudget
from cranklane.sidecar.routing.worker_choice import WorkerChoice
from cranklane.sidecar.settings import SidecarSettings
from cranklane.sidecar.stop_schedule import stop_times
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane.sidecar.table.table_lease import TableLease
from cranklane.sidecar.telemetry.decision_log import DecisionLog
from cranklane.sidecar.telemetry.gauges import GaugeSources, add_gauges
from cranklane.sidecar.telemetry.metrics import SidecarMetrics
from cranklane.sidecar.tree_admission.root_admission import RootAdmission
from cranklane.sidecar.tree_admission.ticket import TicketIssuer
from cranklane.sidecar.worker.api import WorkerApi
from cranklane.sidecar.worker.condition import Condition, WorkerCondition
from cranklane.sidecar.worker.departure_reports import DepartureReports
from cranklane.sidecar.worker.discovery import WorkerDiscovery
from cranklane.sidecar.worker.instances import NO_INSTANCE
from cranklane.sidecar.worker.registry import WorkerRegistry


class Sidecar:
    """A sidecar process.

    :param names: names of the headers between callers, sidecars and workers.
    """

    def __init__(
        self, runtime: Runtime, settings: SidecarSettings, names: HeaderNames | None = None
    ) -> None:
        self._runtime = runtime
        self._names = names or HeaderNames()
        self.settings = settings
        self._log = logger(process="sidecar", node=settings.name)
        self._listeners: list[Listener] = []
        self.metrics = SidecarMetrics()
        self.decisions = DecisionLog(runtime.monotonic, self.metrics, self._log)
        self.planned_stop = PlannedStop(runtime.monotonic)
        self._build_worker()
        self._build_table()
        self._build_quarantine()
        self.client_memory = MemoryBudget.of_machine(settings.memory_mb)
        self.descriptors = DescriptorLimits.of_process(settings.max_descriptors)
        call_tree = CallTree()
        disconnects = DisconnectWatch(runtime)
        self._build_gate(call_tree, disconnects)
        self._build_dispatcher()
        self._build_ingress(call_tree, disconnects)
        self._build_control_link()

    def _build_worker(self) -> None:
        runtime, settings = self._runtime, self.settings
        self.slots = Slots(runtime.monotonic, runtime.spawn)
        self.capacity = WorkerCapacity(runtime.monotonic, self.decisions.worker_pace_changed)
        self.slots.run_time_factor = self.capacity.pace.factor
        self.departures = DepartureReports()
        self.worker = WorkerRegistry(
            runtime,
            settings.worker,
            settings.service,
            settings.heartbeat_seconds,
            self.slots,
            self._worker_changed,
            self._log,
            self._slow_start_changed,
            self.departures.add,
        )
        self.condition = WorkerCondition(runtime.monotonic, self._condition_changed)
        incarnation = int(runtime.wall() * MILLISECONDS)
        self.local_member = LocalMember(settings, incarnation, self.worker, self.condition)

    def _build_table(self) -> None:
        runtime, settings = self._runtime, self.settings
        self.adopted = AdoptedTable(self._log, self._table_adopted)
        self.lease = TableLease(runtime.monotonic, settings.revocation_seconds)
        self.destinations = Destinations(runtime.monotonic, settings.name)
        self.quota = TenantQuota(
            runtime.monotonic, runtime.random, lambda: self.destinations.fleet_size().sidecars
        )

    def _build_quarantine(self) -> None:
        runtime, settings = self._runtime, self.settings
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
        self._caught_up_instance = NO_INSTANCE

    def _build_gate(self, call_tree: CallTree, disconnects: DisconnectWatch) -> None:
        runtime = self._runtime
        self.gate = Gate(
            runtime,
            LocalWorker(self.worker, self.slots, self.condition, self.capacity),
            self._names,
            call_tree,
            self.quarantine.table,
            self.decisions,
            self.planned_stop,
        )
        self._discovery = WorkerDiscovery(
            runtime, self.worker, self._names, self.gate.notices.probed, self._log
        )
        self.peer_server = PeerServer(
            runtime,
            self.gate,
            disconnects,
            self.quarantine.received,
            PeerLimits(self.client_memory, self.descriptors.peers),
            self._log,
        )

    def _build_dispatcher(self) -> None:
        runtime, settings = self._runtime, self.settings
        budget = RetryBudget(
            RetryBound(settings.retry_ratio, settings.retry_slack, settings.retry_seconds),
            runtime.monotonic,
            runtime.random,
            self.destinations.fleet_size,
        )
        choice = WorkerChoice(
            self.destinations, runtime.monotonic, runtime.random, settings.name, settings.zone
        )
        self.root_admission = RootAdmission(runtime.monotonic, self.decisions.root_refused)
        dependencies = DispatcherDependencies(
            self.destinations,
            choice,
            self.gate,
            self.peers,
            budget,
            self.quarantine.table,
            self._attempted,
            self.decisions.quarantined,
            self.decisions.retry_decided,
        )
        self.dispatcher = Dispatcher(
            runtime, dependencies, settings.name, settings.service, self.planned_stop
        )

    def _build_ingress(self, call_tree: CallTree, disconnects: DisconnectWatch) -> None:
        authentication = Authentication(
            self._names, self.lease, self.quota, self.decisions.refused_at_ingress
        )
        self.caller_connections = CallerConnections(
            self._runtime.monotonic,
            self.client_memory,
            self.descriptors.callers,
            self.decisions.connection_closed,
        )
        dependencies = IngressDependencies(
            table=lambda: self.adopted.table,
            authentication=authentication,
            dispatcher=self.dispatcher,
            disconnects=disconnects,
            call_tree=call_tree,
            tickets=TicketIssuer(
                self._runtime.monotonic, self._runtime.random, self.settings.tree_admission
            ),
            root_admission=self.root_admission,
            on_decision=self.decisions.decided,
            connections=self.caller_connections,
        )
        self.ingress = Ingress(self._runtime, self._names, self.settings.service, dependencies)

    def _build_control_link(self) -> None:
        state = ControlledState(
            table=self.adopted,
            lease=self.lease,
            quota=self.quota,
            destinations=self.destinations,
            directory=self.directory,
            quarantine=self.quarantine,
            worker=self.worker,
            departures=self.departures,
        )
        self.control = ControlLink(
            self._runtime, self.settings, self.local_member, self.condition, state, self._log
        )
        sources = GaugeSources(
            table=self.adopted,
            lease=self.lease,
            slots=self.slots,
            slow_start=self.worker.slow_start,
            stated_limit=self.gate.notices.limit,
            root_admission=self.root_admission,
            run_time_factor=self.capacity.pace.factor,
            condition=self.condition,
            quarantine=self.quarantine.table,
            client_memory=self.client_memory,
            caller_connections=lambda: len(self.caller_connections),
            is_ready=self.is_ready,
            is_connected=lambda: self.control.connected,
        )
        add_gauges(self.metrics, sources)

    def start(self) -> None:
        """Open the ports and start the background tasks."""
        settings = self.settings
        self._listen(settings.listen, self.peer_server.accept)
        self._serve(settings.readiness, ReadinessApi(self.is_ready).handle)
        self._serve(settings.registry, WorkerApi(self.worker, self.departures, self._log).handle)
        self._listen(settings.callers, self.ingress.accept)
        if settings.metrics:
            quarantine_api = QuarantineApi(
                self.quarantine.table,
                lambda: self.settings.operator_digest,
                self._log,
                MetricsServer(self.metrics.text).handle,
            )
            self._serve(settings.metrics, quarantine_api.handle)
        self.worker.await_departures()
        self._runtime.spawn_restarting(self.control.subscription.follow)
        self._runtime.spawn_restarting(self.control.report_departures)
        self._runtime.spawn_restarting(self.control.limit_wait_for_departures)
        self._runtime.spawn_restarting(self.worker.watch)
        self._runtime.spawn_restarting(self.decisions.log_summaries)
        self._runtime.spawn_restarting(self.control.report_usage)
        self._runtime.spawn_restarting(self.quarantine.anti_entropy.run)
        self._log.info("started", service=settings.service, seeds=settings.seeds)

    def _listen(self, address: str, handler: object) -> None:
        self._listeners.append(
            self._runtime.listen(parse_address(address), handler)  # type: ignore[arg-type]
        )

    def _serve(self, address: str, handler: SmallHandler) -> None:
        """Serve an HTTP API on one port."""
        self._listen(address, SmallHttp(self._runtime, handler).accept)

    def is_ready(self) -> bool:
        """Return whether callers may send requests to this sidecar."""
        return self.adopted.version > 0 and not self.local_member.stopping

    def reload(self, settings: SidecarSettings) -> None:
        """Apply changed settings; only ``seeds`` and ``operator_digest`` may differ."""
        if settings.seeds != self.settings.seeds:
            self._log.info("seeds_changed", seeds=settings.seeds)
        self.settings = settings
        self.control.reload(settings)

    # Callbacks of the components.

    def _attempted(
        self, progress: CallProgress, destination: Destination, reply: Reply, seconds: float
    ) -> None:
        self.root_admission.record_reply(progress.call.route.name, destination.node, reply)
        self.decisions.attempted(progress, destination, reply, seconds)

    def _hello(self) -> Hello:
        return self.local_member.hello(self.adopted.version)

    def _table_adopted(self) -> None:
        self.lease.adopted(self.adopted.version)
        entry = self.adopted.table.services.get(self.settings.service)
        if entry is not None:
            self._discovery.probe_once(entry.health_path)

    def _condition_changed(self, condition: Condition) -> None:
        self._log.info(
            "worker_condition",
            instance=self.worker.instance.label,
            faults=round(condition.faults, 2),
            slowness=round(condition.slowness, 1),
        )
        self._runtime.spawn(self.control.announce)

    def _slow_start_changed(self, change: SlowStartChange) -> None:
        self.decisions.slow_start_changed(self.worker.instance, change)
        if change.ended_by is None and change.cause is StartCause.NEW_INSTANCE:
            self.condition.worker_started()

    def _worker_changed(self) -> None:
        if self.worker.instance != self._caught_up_instance:
            self._caught_up_instance = self.worker.instance
            self._runtime.spawn(self.quarantine.anti_entropy.catch_up)
        self.destinations.set_local_member(self.local_member.next_member())
        self.control.announce()

    def stop(self, signalled_at: float | None = None) -> bool:
        """Stop as planned: withdraw, accept requests for a while, and finish those in flight.

        :param signalled_at: monotonic second of the signal; None: now.
        :returns: whether all requests finished.
        """
        if self.local_member.stopping:
            return True
        began_at = self._runtime.monotonic()
        signalled_at = signalled_at or began_at
        times = stop_times(signalled_at, self.settings.stop_seconds)
        self.planned_stop.begin(times.ends_at, times.estimates_until)
        self._withdraw(began_at - signalled_at)
        self.planned_stop.wait(times.withdrawal_seconds)
        self.ingress.close_idle()
        self.planned_stop.wait_until_idle(self._is_busy, times.accepts_until)
        self.ingress.refuses_clients = True
        self.planned_stop.wait_until_idle(self._is_busy)
        idle_at = self._runtime.monotonic()
        finished = self._close()
        self._log_stopped(signalled_at, idle_at)
        return finished

    def _log_stopped(self, signalled_at: float, idle_at: float) -> None:
        """Log the stop's course in seconds since the signal."""
        last_response_at = self.ingress.last_response_at
        self._log.info(
            "stopped",
            cut=self.ingress.in_flight + self.slots.running,
            last_response=last_response_at and round(last_response_at - signalled_at, 3),
            wait_ended=round(idle_at - signalled_at, 3),
            seconds=round(self._runtime.monotonic() - signalled_at, 3),
            timer_delay=round(self.planned_stop.timer_delay.longest, 3),
        )

    def _withdraw(self, noticed_after: float) -> None:
        """Announce to control and callers that this sidecar is draining.

        :param noticed_after: seconds from the signal until the stop began.
        """
        self.local_member.stopping = True
        self.ingress.stopping = True
        self._log.info(
            "stopping",
            in_flight=self.ingress.in_flight,
            running=self.slots.running,
            noticed_after=round(noticed_after, 3),
        )
        self._worker_changed()

    def _close(self) -> bool:
        """Close the ports and idle connections; return whether all requests had finished."""
        for listener in self._listeners:
            listener.close()
        finished = not self._is_busy()
        self.ingress.close_idle()
        self.peer_server.close_idle()
        self.control.subscription.stop()
        return finished

    def _is_busy(self) -> bool:
        return self.ingress.in_flight > 0 or self.gate.busy
