"""A ledger process: one replica of a ledger group."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common.logs import logger
from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import Subscription
from cranklane.distribution.subscription_callbacks import SubscriptionCallbacks
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

IDLE_TIMEOUT_SECONDS = 10.0
"""Seconds without a byte after which a connection from a node or replica counts as lost. Longer
than a node keeps an idle connection (cranklane.node.ledger_client.IDLE_TIMEOUT_SECONDS)."""

_SUBSCRIPTION_FOLDER = "subscription"


@dataclass
class LedgerSettings:
    """Settings of a ledger process."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone of this machine")
    group: str = setting(NAME, help="name of the ledger group in policies")
    listen: str = setting(ADDRESS, help="address for nodes and the group's other replicas")
    controls: list[str] = setting(ADDRESSES, help="addresses of the control processes")
    data: str = setting(TEXT, help="data folder")
    replicas: list[str] = setting(
        ADDRESSES_OR_NONE, [], help="listen addresses of the group's other replicas"
    )
    founder: bool = setting(
        YES_OR_NO, False, help="create the group if all replicas report that it does not exist"
    )
    voter: bool = setting(YES_OR_NO, True, help="join as a voter; otherwise as a learner")


class LedgerProcess:
    """One replica of a ledger group; answers nodes' requests while it is the leader."""

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
        self._port = PortDispatcher(peers, self._hello, self.service.serve, IDLE_TIMEOUT_SECONDS)

    def start(self) -> None:
        """Load the stored state, open the port, join the group and subscribe to control."""
        settings = self.settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self._port.accept)
        joining = Joining(self.replica, settings.replicas, settings.founder, settings.voter)
        self.runtime.spawn_restarting(joining.run)
        self._subscription = self._new_subscription()
        self.runtime.spawn_restarting(self._subscription.follow)
        self._log.info("started", entries=len(self.store))

    def stop(self, _signalled_at: float | None = None) -> bool:
        """Stop at once, as all acknowledged requests are on disk."""
        self._subscription.stop()
        self._listener.close()
        self._log.info("stopped", entries=len(self.store))
        return True

    def _new_subscription(self) -> Subscription:
        """Return a subscription that publishes this process as a member of a system service."""
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
            SubscriptionCallbacks(lambda: Heartbeat(state=MemberState.LIVE)),
            self._log,
        )

    def _hello(self) -> Hello:
        return Hello(incarnation=self.incarnation, node=self.settings.name)
