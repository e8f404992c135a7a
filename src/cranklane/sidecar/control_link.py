"""Follows control: takes its answers and reports this sidecar's state and tenants' usage.

Owns the subscription to control and its times. What control decides is kept by the parts
named in :class:`ControlledState`; this module only hands it to them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import gevent

from cranklane.common.addresses import peer_addresses
from cranklane.common.units import MICROSECONDS
from cranklane.distribution.follower import Follower, FollowTiming
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import Subscription
from cranklane.records.messages import (
    Heartbeat,
    HeartbeatAnswer,
    MemberDelta,
    Message,
    TenantShares,
    UsageReport,
)
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.sidecar.admission.tenant_quota import TenantQuota
from cranklane.sidecar.own_member import OwnMember
from cranklane.sidecar.quarantine.gossip import QuarantineGossip
from cranklane.sidecar.quarantine.sidecar_directory import SidecarDirectory
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.settings import SidecarSettings
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane.sidecar.table.table_lease import TableLease, TableLeaseLog
from cranklane.sidecar.worker.condition import WorkerCondition

TIMING = FollowTiming(heartbeat=0.5, silent=1.6, max_backoff=0.8, raises_incarnation=True)
"""Times of the subscription in seconds. Control answers each heartbeat, so a silence as long as
three of them means that it is lost. A choice: updates of members must come within seconds."""

USAGE_GATHER_SECONDS = 0.15
"""Seconds over which tenants' usage is gathered before it is reported. In a model of 71 sidecars
a surge of 7.5 times a tenant's rate stays within its bound with reports up to 0.3 s old."""

MAX_MEMBERS_IN_LINE = 20
"""Members named in one log line. A choice: a whole fleet would fill the log at each start."""


class ControlledState(NamedTuple):
    """The parts of a sidecar that control keeps up to date."""

    table: AdoptedTable
    lease: TableLease
    quota: TenantQuota
    destinations: Destinations
    directory: SidecarDirectory
    quarantine: QuarantineGossip


class ControlLink:
    """The connection of one sidecar to control.

    :param own: what is reported of this sidecar.
    :param condition: of its worker, renewed before each heartbeat.
    :param state: what control keeps up to date.
    :ivar subscription: follows one controller after the other.
    """

    def __init__(
        self,
        runtime: Runtime,
        settings: SidecarSettings,
        own: OwnMember,
        condition: WorkerCondition,
        state: ControlledState,
        log: Any,
    ) -> None:
        self._runtime = runtime
        self._own = own
        self._condition = condition
        self._state = state
        self._lease_log = TableLeaseLog(state.lease, state.table, log)
        self._log = log
        self.subscription = Subscription(
            runtime,
            _controllers(settings),
            own.subscription(),
            state.table,
            None,
            Follower(self._heartbeat, self._take_members, on_answer=self._take_answer),
            log,
            TIMING,
        )

    @property
    def connected(self) -> bool:
        """Whether a controller answers."""
        return self.subscription.connected

    def reload(self, settings: SidecarSettings) -> None:
        """Start from other seeds the next time that control is looked for."""
        self.subscription.set_initial_controls(_controllers(settings))

    def announce(self) -> None:
        """Report this sidecar's state now, not with the next heartbeat."""
        self.subscription.announce()

    def report_usage(self) -> None:
        """Report tenants' usage whenever there is any; never returns."""
        quota = self._state.quota
        while True:
            quota.usage_pending.wait()
            gevent.sleep(USAGE_GATHER_SECONDS)
            self.subscription.send(self._usage)

    def _usage(self) -> UsageReport | None:
        usage = self._state.quota.take_usage()
        return UsageReport(usage) if usage else None

    def _heartbeat(self) -> Heartbeat:
        self._condition.renew()
        self._state.destinations.drop_expired()
        self._lease_log.check()
        return self._own.heartbeat()

    def _take_answer(self, message: Message) -> None:
        """Apply an answer to a heartbeat, or the fractions of tenants' requests to admit."""
        match message:
            case HeartbeatAnswer():
                self._take_heartbeat_answer(message)
            case TenantShares():
                self._state.quota.take_shares(message.whole, message.shares)

    def _take_heartbeat_answer(self, answer: HeartbeatAnswer) -> None:
        asked_at = answer.asked_us / MICROSECONDS
        self._state.quota.updated(asked_at)
        if answer.confirmed:
            newest_at = asked_at - answer.age_us / MICROSECONDS
            self._state.lease.confirmed(newest_at, answer.revision, self._state.table.version)

    def _take_members(self, delta: MemberDelta) -> None:
        self._state.destinations.apply(delta)
        self._state.directory.apply(delta)
        if delta.whole:
            # This process has just started, or it lost control and may have missed updates.
            self._runtime.spawn(self._state.quarantine.anti_entropy.catch_up)
        shown = delta.members[:MAX_MEMBERS_IN_LINE]
        self._log.info(
            "members",
            whole=delta.whole,
            changed=[f"{item.node}:{MemberState(item.state).name}" for item in shown],
        )


def _controllers(settings: SidecarSettings) -> list[Address]:
    """Return the addresses at which controllers listen for sidecars."""
    return [parse_address(item) for item in peer_addresses(settings.seeds, settings.peer_port)]
