"""Controller process: a replica of the route table that serves sidecars and operators.

Its group forms and replaces lost replicas without an operator. Owns the components and the
order in which they start and stop.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common.addresses import peer_addresses
from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.common.metrics_server import GaugeRegistry, MetricsServer
from cranklane.common.planned_stop import PlannedStop, end_of_stop
from cranklane.common.small_http import SmallHttp
from cranklane.controller.confirmation import StateFreshness
from cranklane.controller.controller_state import ControllerStateMachine
from cranklane.controller.departure_store import DepartureStore
from cranklane.controller.departure_writer import DepartureWriter
from cranklane.controller.fleet_quotas import FleetQuotas
from cranklane.controller.route_api import RouteApi
from cranklane.controller.route_editor import RouteEditor
from cranklane.controller.route_store import RouteTableStore
from cranklane.controller.sidecar_service import SidecarService
from cranklane.controller.tenant_usage import FleetCount
from cranklane.distribution.group_contact import NodeServiceTiming
from cranklane.distribution.node_service import NodeService
from cranklane.distribution.publisher import IDLE_TIMEOUT_SECONDS
from cranklane.records.messages import Hello
from cranklane.replication.group_bootstrap import GroupBootstrap
from cranklane.replication.membership_change import MembershipChange
from cranklane.replication.peer_service import PeerService
from cranklane.replication.port_dispatcher import PortDispatcher
from cranklane.replication.replica import Replica
from cranklane.replication.state import ReplicaInfo
from cranklane.replication.timing import STOP_SECONDS
from cranklane.runtime.interface import Runtime, parse_address
from cranklane.runtime.restarting import FAILURES
from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    NAME,
    OPTIONAL_ADDRESS,
    TEXT,
    YES_OR_NO,
    seconds,
    setting,
    whole_number,
)

GROUP = "routes"
"""Name of the replication group of the route table."""

TIMING = NodeServiceTiming(
    out_of_touch_after=1.2, last_resort_stay=3.0, contact_check=0.2, expiry_check=0.5
)
"""Sidecars leave a controller that lost contact with its group within these times, so that they
adopt a new table within 2 s even if their controller has missed it."""

REPORTING_SECONDS = 1.2
"""Time since its last record within which a sidecar counts as reporting its usage: two heartbeat
intervals (0.5 s) and the responses. A sidecar without a response for longer limits tenants by
its local share."""


MAX_LOGGED_PROBLEMS = 3
"""Limit on the logged problems of a stored table. The first ones show the cause."""


@dataclass
class ControllerSettings:
    """Settings of a controller."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone of this machine")
    listen: str = setting(ADDRESS, help="address for nodes and other controllers")
    http: str = setting(ADDRESS, help="address for operators")
    data: str = setting(TEXT, help="data folder")
    seeds: list[str] = setting(ADDRESSES, help="addresses of the operator API of some controllers")
    peer_port: int = setting(
        whole_number(1, 65535), help="port on which controllers listen for each other"
    )
    first_start: bool = setting(
        YES_OR_NO, False, help="first start of the whole system, with empty disks"
    )
    tolerated_losses: int = setting(
        whole_number(0, 8), 1, help="number of controllers whose disks may be lost at the same time"
    )
    quota_slack: float = setting(
        seconds(0, 1_000_000),
        0.0,
        help="requests by which a tenant may exceed its limit in a window, over the whole fleet",
    )
    metrics: str = setting(OPTIONAL_ADDRESS, "", help="address of /metrics; empty: disabled")
    advertise: str = setting(
        OPTIONAL_ADDRESS, "", help="address announced to other processes, if it differs from listen"
    )
    stop_seconds: float = setting(
        seconds(0, 3600), 6.0, help="maximum duration of a planned stop, in seconds"
    )


class Controller:
    """One replica of the route table that serves sidecars and operators."""

    def __init__(self, runtime: Runtime, settings: ControllerSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self._log = logger(process="controller", node=settings.name)
        self.unreadable_tables = 0
        self.store = RouteTableStore(self._table_unreadable)
        self.departures = DepartureStore()
        self._nodes = NodeService(
            runtime,
            settings.name,
            self.store,
            self._make_hello,
            self._log,
            TIMING,
            sends_replicas=True,
        )
        self.membership = self._nodes.membership
        self.publisher = self._nodes.publisher
        self.replica = self._make_replica()
        self._freshness = StateFreshness(
            self.replica, runtime.monotonic, self.publisher.wake_new_subscribers
        )
        self._departure_writer = DepartureWriter(
            runtime, self.replica, self.departures, self._make_hello
        )
        self._sidecars = self._make_sidecar_service()
        voters = 2 * settings.tolerated_losses + 1
        self.changes = MembershipChange(self.replica, voters)
        peers = PeerService(self.replica, self.changes.join)
        self._port = PortDispatcher(
            peers, self._make_hello, self._nodes.serve, IDLE_TIMEOUT_SECONDS
        )
        self.editor = RouteEditor(self.store, self.replica, voters)

    def _make_replica(self) -> Replica:
        settings = self.settings
        # An address belongs to one machine at a time, so it serves as the replica's name.
        address = settings.advertise or settings.listen
        info = ReplicaInfo(GROUP, address, address, settings.http)
        storage = self.runtime.storage(settings.data)
        machine = ControllerStateMachine(self.store, self.departures)
        return Replica(self.runtime, storage, machine, info, self._on_applied, self._log)

    def _make_sidecar_service(self) -> SidecarService:
        quotas = FleetQuotas(
            self.settings.name,
            self.runtime.monotonic,
            lambda: self.store.tenants,
            self._fleet_count,
            self.settings.quota_slack,
        )
        return SidecarService(
            self._freshness,
            quotas,
            self.departures,
            self._departure_writer,
            lambda: self.store.revision,
            self.publisher.wake,
            self._nodes.usage_changed,
        )

    def start(self) -> None:
        """Load the stored state, open the ports and join or form the group."""
        settings = self.settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self._port.accept)
        api = RouteApi(self.replica, self.store, self.editor, self._log)
        self.http = HttpServer(self.runtime, parse_address(settings.http), api.application)
        if settings.metrics:
            metrics = MetricsServer(self._gauge_registry().text)
            serve = SmallHttp(self.runtime, metrics.handle).accept
            self.runtime.listen(parse_address(settings.metrics), serve)
        bootstrap = GroupBootstrap(self.replica, self._seed_addresses, settings.first_start)
        self.runtime.spawn_restarting(bootstrap.run)
        self._nodes.serve_sidecars(self._sidecars)
        self.runtime.spawn_restarting(self._freshness.run)
        self.runtime.spawn_restarting(self._departure_writer.run)
        self._nodes.start(self.replica)
        self._log.info(
            "started", version=self.store.version, term=self.replica.term, seeds=settings.seeds
        )

    def _table_unreadable(self, version: int, problems: list[str]) -> None:
        """Count and log a stored table of which only a part can be published."""
        self.unreadable_tables += 1
        self._log.error(
            "stored_table_unreadable",
            version=version,
            count=len(problems),
            problems=problems[:MAX_LOGGED_PROBLEMS],
        )

    def stop(self, signalled_at: float | None = None) -> bool:
        """Finish the operators' requests in flight; acknowledged entries are already on disk.

        :param signalled_at: monotonic second of the signal; None: now.
        :returns: whether all of them have been answered.
        """
        signalled_at = signalled_at or self.runtime.monotonic()
        stop = PlannedStop(self.runtime.monotonic)
        latest_end = end_of_stop(signalled_at, self.settings.stop_seconds)
        stop.begin(min(signalled_at + STOP_SECONDS, latest_end))
        finished = self.http.finish(stop)
        self._listener.close()
        self._log.info(
            "stopped",
            version=self.store.version,
            finished=finished,
            seconds=round(self.runtime.monotonic() - signalled_at, 3),
            timer_delay=round(stop.timer_delay.longest, 3),
        )
        return finished

    def reload(self, settings: ControllerSettings) -> None:
        """Apply changed settings; only the seeds can change at run time."""
        if settings.seeds != self.settings.seeds:
            self._log.info("seeds_changed", seeds=settings.seeds)
        self.settings = settings

    def _gauge_registry(self) -> GaugeRegistry:
        gauges = GaugeRegistry()
        replica = self.replica
        gauges.add("cranklane_table_version", "Version in force.", lambda: self.store.version)
        gauges.add("cranklane_term", "Newest term known.", lambda: replica.term)
        gauges.add(
            "cranklane_leads",
            "Whether it leads for certain.",
            lambda: replica.may_read,
        )
        gauges.add(
            "cranklane_in_touch",
            "Whether it heard of a leader.",
            lambda: self.in_touch,
        )
        gauges.add(
            "cranklane_applied_index",
            "Entry applied.",
            lambda: replica.applied_index,
        )
        gauges.add("cranklane_voters", "Voters.", lambda: len(replica.members.voters()))
        gauges.add(
            "cranklane_subscribers",
            "Nodes that follow it.",
            lambda: len(self.publisher.subscribers),
        )
        gauges.add("cranklane_members", "Nodes known.", lambda: len(self.membership))
        gauges.add(
            "cranklane_unreadable_tables",
            "Stored tables of which only a part could be published.",
            lambda: self.unreadable_tables,
        )
        gauges.add(
            "cranklane_failed_updates",
            "Updates and rows that could not be sent to a subscriber.",
            lambda: self.publisher.failed_updates,
        )
        gauges.add(
            "cranklane_task_failures",
            "Unexpected exceptions of tasks, each logged as task_failed.",
            lambda: FAILURES.count,
        )
        return gauges

    def _fleet_count(self) -> FleetCount:
        """Return the number of known sidecars and of those that report usage to this process."""
        reporting = self.publisher.count_active_since(self.runtime.monotonic() - REPORTING_SECONDS)
        return FleetCount(len(self.membership), reporting)

    def _seed_addresses(self) -> list[str]:
        return peer_addresses(self.settings.seeds, self.settings.peer_port)

    def _make_hello(self) -> Hello:
        return Hello(version=self.store.revision, node=self.settings.name)

    def _on_applied(self) -> None:
        self._log.info("applied", version=self.store.version, index=self.replica.applied_index)
        self.publisher.changed()

    @property
    def in_touch(self) -> bool:
        """Whether this process was recently in touch with its group's leader."""
        return self._nodes.in_touch
