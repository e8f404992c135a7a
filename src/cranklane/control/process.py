"""A control process: its parts put together, started and stopped."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import gevent

from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.control.editor import Editor
from cranklane.control.exchange import Exchange
from cranklane.control.membership import Membership
from cranklane.control.operator_api import OperatorApi
from cranklane.control.publisher import SILENT_SECONDS, Publisher
from cranklane.control.store import ConfigurationStore
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, MemberReport, ReplicaMember, Subscribe
from cranklane.replication.joining import Joining
from cranklane.replication.membership_change import MembershipChange
from cranklane.replication.peer_service import PeerService
from cranklane.replication.port import ReplicaPort
from cranklane.replication.replica import Replica, ReplicaIdentity
from cranklane.runtime.interface import Runtime, parse_address
from cranklane.settings import (
    ADDRESS,
    ADDRESSES_OR_NONE,
    NAME,
    TEXT,
    YES_OR_NO,
    Check,
    setting,
)

GROUP = "control"
"""Name of the group of replicas that holds the configuration."""

EXPIRY_SECONDS = 1.0
"""Seconds between looks for members whose lease has run out."""

TOUCH_SECONDS = 0.5
"""Seconds between looks at whether this process is in touch with its group."""

STALE_SECONDS = 3.0
"""Seconds out of touch with the group after which subscribers are sent away."""

LAST_RESORT_SECONDS = 10.0
"""Seconds that a node which found no other process stays with one out of touch."""


def _are_operators(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(line, str) and len(line.split(":")) == 3 and len(line.split(":")[2]) == 64
        for line in value
    )


OPERATORS = Check(
    "a list of name:scope:sha256, the scope a tenant or *",
    _are_operators,
    lambda text: text.split(","),
)


@dataclass
class ControlSettings:
    """Settings of a control process."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    listen: str = setting(ADDRESS, help="address for nodes and other control processes")
    http: str = setting(ADDRESS, help="address for operators")
    data: str = setting(TEXT, help="data folder")
    operators: list[str] = setting(OPERATORS, help="name:scope:sha256 of each token")
    replicas: list[str] = setting(
        ADDRESSES_OR_NONE, [], help="listen addresses of the other control processes"
    )
    founder: bool = setting(
        YES_OR_NO, False, help="found the group when all replicas named say there is none"
    )
    voter: bool = setting(YES_OR_NO, True, help="vote, or only follow and serve nodes")


class ControlProcess:
    """One control process: a replica of the configuration that serves nodes."""

    def __init__(self, runtime: Runtime, settings: ControlSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self._log = logger(process="control", node=settings.name)
        self.store = ConfigurationStore()
        self.membership = Membership(settings.name, runtime.monotonic, self._members_changed)
        self.publisher = Publisher(runtime, self.store, self.membership)
        identity = ReplicaIdentity(GROUP, settings.name, settings.listen, settings.http)
        storage = runtime.storage(settings.data)
        self.replica = Replica(
            runtime, storage, self.store, identity, self.publisher.changed, self._log
        )
        self.changes = MembershipChange(self.replica)
        peers = PeerService(self.replica, self.changes.join)
        self._port = ReplicaPort(peers, self._hello, self._serve, SILENT_SECONDS)
        self._exchange = Exchange(runtime, self.membership, self._others, self._hello)
        self.editor = Editor(runtime, self.store, self.replica)
        self._in_touch_at = runtime.monotonic()

    def start(self) -> None:
        """Come back to the last state, then open the ports and find the group."""
        settings = self.settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self._port.accept)
        api = OperatorApi(self, settings.operators)
        self.http = HttpServer(self.runtime, parse_address(settings.http), api.application)
        joining = Joining(self.replica, settings.replicas, settings.founder, settings.voter)
        for task in (joining.run, self._exchange.run, self._expire, self._watch_touch):
            self.runtime.spawn(task)
        self._log.info("started", revision=self.store.revision)

    def stop(self) -> bool:
        """Stop; everything acknowledged is on disk already."""
        self.http.stop_accepting()
        self._listener.close()
        self._log.info("stopped", revision=self.store.revision)
        return True

    # Connections.

    def _serve(self, records: RecordConnection) -> None:
        _, message = records.receive()
        match message:
            case Subscribe() if self.in_touch or message.last_resort:
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

    def _members_changed(self) -> None:
        self.publisher.changed()
        self._exchange.changed()

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

    # What operators ask.

    def behind(self, version: int) -> list[str]:
        """Return the live nodes where a version is not in force yet."""
        return sorted(
            member.node
            for member in self.membership.members()
            if self.membership.version_of(member.node) < version
        )
