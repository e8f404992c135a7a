"""A control process for route tables that forms and repairs its own group."""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from cranklane.common.addresses import peer_addresses
from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.common.metrics_server import GaugeRegistry, MetricsServer
from cranklane.common.small_http import SmallHttp
from cranklane.control.exchange import Exchange
from cranklane.control.membership import Membership
from cranklane.control.publisher import SILENT_SECONDS, Publisher
from cranklane.control.route_api import RouteApi
from cranklane.control.route_editor import RouteEditor
from cranklane.control.route_store import RouteTableStore
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, MemberReport, ReplicaMember, Subscribe
from cranklane.replication.membership_change import MembershipChange
from cranklane.replication.peer_service import PeerService
from cranklane.replication.port import ReplicaPort
from cranklane.replication.replica import Replica, ReplicaIdentity
from cranklane.replication.self_assembly import SelfAssembly
from cranklane.runtime.interface import Runtime, parse_address
from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    NAME,
    OPTIONAL_ADDRESS,
    TEXT,
    YES_OR_NO,
    setting,
    whole_number,
)

GROUP = "routes"
"""Name of the group of replicas that holds the route table."""

PING_SECONDS = 0.5
EXPIRY_SECONDS = 0.5
TOUCH_SECONDS = 0.2
STALE_SECONDS = 1.2
"""Seconds out of touch with the group after which subscribers are sent away."""

LAST_RESORT_SECONDS = 3.0
"""Seconds that a node which found no other process stays with one out of touch."""


@dataclass
class ControllerSettings:
    """Settings of a controller."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    listen: str = setting(ADDRESS, help="address for nodes and other controllers")
    http: str = setting(ADDRESS, help="address for operators")
    data: str = setting(TEXT, help="data folder")
    seeds: list[str] = setting(ADDRESSES, help="operators' addresses of some controllers")
    peer_port: int = setting(
        whole_number(1, 65535), help="port at which controllers listen for each other"
    )
    first_start: bool = setting(
        YES_OR_NO, False, help="the whole system starts for the first time, with empty disks"
    )
    tolerated_losses: int = setting(
        whole_number(0, 8), 1, help="controllers whose disks may be lost at once"
    )
    metrics: str = setting(OPTIONAL_ADDRESS, "", help="address of /metrics; none: nowhere")
    advertise: str = setting(
        OPTIONAL_ADDRESS, "", help="address told to others, when it is not the one listened on"
    )


class Controller:
    """One replica of the route table that serves sidecars and operators."""

    def __init__(self, runtime: Runtime, settings: ControllerSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self._log = logger(process="controller", node=settings.name)
        self.store = RouteTableStore()
        self.membership = Membership(settings.name, runtime.monotonic, self._members_changed)
        self.publisher = Publisher(
            runtime, self.store, self.membership, self._replica_addresses, PING_SECONDS
        )
        # An address belongs to one machine at a time, so it names a replica.
        told = settings.advertise or settings.listen
        identity = ReplicaIdentity(GROUP, told, told, settings.http)
        self.replica = Replica(
            runtime,
            runtime.storage(settings.data),
            self.store,
            identity,
            self._applied,
            self._log,
        )
        voters = 2 * settings.tolerated_losses + 1
        self.changes = MembershipChange(self.replica, voters)
        peers = PeerService(self.replica, self.changes.join)
        self._port = ReplicaPort(peers, self._hello, self._serve, SILENT_SECONDS)
        self._exchange = Exchange(runtime, self.membership, self._others, self._hello)
        self.editor = RouteEditor(self.store, self.replica, voters)
        self._in_touch_at = runtime.monotonic()

    def start(self) -> None:
        """Come back to the last state, then open the ports and find the group."""
        settings = self.settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self._port.accept)
        api = RouteApi(self.replica, self.store, self.editor, self._log)
        self.http = HttpServer(self.runtime, parse_address(settings.http), api.application)
        if settings.metrics:
            metrics = MetricsServer(self._registry().text)
            serve = SmallHttp(self.runtime, metrics.handle).accept
            self.runtime.listen(parse_address(settings.metrics), serve)
        assembly = SelfAssembly(self.replica, self._seeds, settings.first_start)
        for task in (assembly.run, self._exchange.run, self._expire, self._watch_touch):
            self.runtime.spawn(task)
        self._log.info(
            "started", version=self.store.version, term=self.replica.term, seeds=settings.seeds
        )

    def stop(self) -> bool:
        """Stop; everything acknowledged is on disk already."""
        self.http.stop_accepting()
        self._listener.close()
        self._log.info("stopped", version=self.store.version)
        return True

    def reload(self, settings: ControllerSettings) -> None:
        """Take settings that have changed: only the seeds can."""
        if settings.seeds != self.settings.seeds:
            self._log.info("seeds_changed", seeds=settings.seeds)
        self.settings = settings

    def _registry(self) -> GaugeRegistry:
        gauges = GaugeRegistry()
        replica = self.replica
        gauges.add("cranklane_table_version", "Version in force.", lambda: self.store.version)
        gauges.add("cranklane_term", "Newest term known.", lambda: replica.term)
        gauges.add("cranklane_leads", "Whether it leads for certain.", lambda: replica.may_read)
        gauges.add("cranklane_in_touch", "Whether it heard of a leader.", lambda: self.in_touch)
        gauges.add("cranklane_applied_index", "Entry applied.", lambda: replica.applied_index)
        gauges.add("cranklane_voters", "Voters.", lambda: len(replica.members.voters()))
        gauges.add(
            "cranklane_subscribers",
            "Nodes that follow it.",
            lambda: len(self.publisher.subscribers),
        )
        gauges.add("cranklane_members", "Nodes known.", lambda: len(self.membership))
        return gauges

    def _seeds(self) -> list[str]:
        return peer_addresses(self.settings.seeds, self.settings.peer_port)

    # Connections.

    def _serve(self, records: RecordConnection) -> None:
        _, message = records.receive()
        match message:
            case Subscribe() if self.in_touch or message.last_resort:
                self._log.info("subscribed", member=message.node, version=message.version)
                self.publisher.serve(records, message)
            case MemberReport():
                self._exchange.serve(records, message)
            case _:
                records.close()

    def _hello(self) -> Hello:
        return Hello(version=self.store.revision, node=self.settings.name)

    def _others(self) -> list[ReplicaMember]:
        replica = self.replica
        return [item for item in replica.members.current if item.identity != replica.identity]

    def _replica_addresses(self) -> list[str]:
        return sorted(item.address for item in self.replica.members.current)

    def _members_changed(self) -> None:
        self.publisher.changed()
        self._exchange.changed()

    def _applied(self) -> None:
        self._log.info("applied", version=self.store.version, index=self.replica.applied_index)
        self.publisher.changed()

    # Tasks.

    @property
    def in_touch(self) -> bool:
        """Whether this process has heard of its group's leader lately."""
        return self.runtime.monotonic() - self._in_touch_at < STALE_SECONDS

    def _watch_touch(self) -> None:
        """Send subscribers away while this process may miss what is committed."""
        out_of_touch = False
        while True:
            gevent.sleep(TOUCH_SECONDS)
            now = self.runtime.monotonic()
            if self.replica.in_touch:
                self._in_touch_at = now
            if self.in_touch == out_of_touch:
                out_of_touch = not out_of_touch
                self._log.warning("out_of_touch" if out_of_touch else "in_touch")
            if out_of_touch:
                self.publisher.send_away(now, now - LAST_RESORT_SECONDS)

    def _expire(self) -> None:
        while True:
            gevent.sleep(EXPIRY_SECONDS)
            for member in self.membership.expire():
                self._log.warning("member_gone", member=member.node)
