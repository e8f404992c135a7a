"""A ledger process: one replica of one ledger group.

Owns the parts and the order in which they start and stop.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common.logs import logger
from cranklane.common.units import MILLISECONDS
from cranklane.distribution.follower import Follower
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import Subscription
from cranklane.ledger.service import LedgerService
from cranklane.ledger.store import LedgerStore
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane.policy.names import SYSTEM_TENANT
from cranklane.records.messages import Heartbeat, Hello, Subscribe
from cranklane.replication.joining import Joining
from cranklane.replication.membership_change import MembershipChange
from cranklane.replication.peer_service import PeerService
from cranklane.replication.port_dispatcher import PortDispatcher
from cranklane.replication.replica import Replica
from cranklane.replication.state import ReplicaInfo
from cranklane.runtime.interface import Runtime, parse_address
from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    ADDRESSES_OR_NONE,
    NAME,
    TEXT,
    YES_OR_NO,
    setting,
)

SILENT_SECONDS = 10.0
"""Seconds without a byte after which a node or replica counts as lost. A choice: longer than a
node keeps an idle connection."""

_SUBSCRIPTION_FOLDER = "subscription"


@dataclass
class LedgerSettings:
    """Settings of a ledger process."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    group: str = setting(NAME, help="ledger group, as policies name it")
    listen: str = setting(ADDRESS, help="address for nodes and the group's other replicas")
    controls: list[str] = setting(ADDRESSES, help="control processes to follow")
    data: str = setting(TEXT, help="data folder")
    replicas: list[str] = setting(
        ADDRESSES_OR_NONE, [], help="listen addresses of the group's other replicas"
    )
    founder: bool = setting(
        YES_OR_NO, False, help="found the group when all replicas named say there is none"
    )
    voter: bool = setting(YES_OR_NO, True, help="vote, or only follow")


class LedgerProcess:
    """One replica of a ledger group that answers nodes while it leads."""

    def __init__(self, runtime: Runtime, settings: LedgerSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self._log = logger(process="ledger", node=settings.name)
        self.incarnation = int(runtime.wall() * MILLISECONDS)
        self.store = LedgerStore()
        self.replica = Replica(
            runtime,
            runtime.storage(settings.data),
            self.store,
            ReplicaInfo(f"ledger/{settings.group}", settings.name, settings.listen),
            lambda: None,
            self._log,
        )
        changes = MembershipChange(self.replica)
        self.service = LedgerService(runtime, self.replica)
        peers = PeerService(self.replica, changes.join)
        self._port = PortDispatcher(peers, self._hello, self.service.serve, SILENT_SECONDS)

    def start(self) -> None:
        """Restore the last state, open the port, find the group and control."""
        settings = self.settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self._port.accept)
        joining = Joining(self.replica, settings.replicas, settings.founder, settings.voter)
        self.runtime.spawn(joining.run)
        self._subscription = self._new_subscription()
        self.runtime.spawn(self._subscription.follow)
        self._log.info("started", entries=len(self.store))

    def stop(self) -> bool:
        """Stop; everything acknowledged is on disk already."""
        self._subscription.stop()
        self._listener.close()
        self._log.info("stopped", entries=len(self.store))
        return True

    def _new_subscription(self) -> Subscription:
        """Make this process known to nodes as a member of the system's own service."""
        settings = self.settings
        identity = Subscribe(
            incarnation=self.incarnation,
            node=settings.name,
            tenant=SYSTEM_TENANT,
            service=settings.group,
            zone=settings.zone,
            address=settings.listen,
        )
        return Subscription(
            self.runtime,
            [parse_address(text) for text in settings.controls],
            identity,
            AdoptedPolicy(),
            self.runtime.storage(f"{settings.data}/{_SUBSCRIPTION_FOLDER}"),
            Follower(lambda: Heartbeat(state=MemberState.LIVE)),
            self._log,
        )

    def _hello(self) -> Hello:
        return Hello(incarnation=self.incarnation, node=self.settings.name)
