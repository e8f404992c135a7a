"""The sidecar's link to control: receives updates, reports worker state and tenants' usage.

Updates are passed to the components in :class:`ControlledState`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import gevent

from cranklane.common.addresses import peer_addresses
from cranklane.common.units import MICROSECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.subscription import Subscription
from cranklane.distribution.subscription_callbacks import SubscriptionCallbacks, SubscriptionTiming
from cranklane.records.messages import (
    Departures,
    Heartbeat,
    HeartbeatAnswer,
    MemberDelta,
    Message,
    TenantShares,
    UsageReport,
)
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.sidecar.admission.tenant_quota import TenantQuota
from cranklane.sidecar.local_member import LocalMember
from cranklane.sidecar.quarantine.gossip import QuarantineGossip
from cranklane.sidecar.quarantine.sidecar_directory import SidecarDirectory
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.settings import SidecarSettings
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane.sidecar.table.table_lease import TableLease, TableLeaseLog
from cranklane.sidecar.worker.condition import WorkerCondition
from cranklane.sidecar.worker.departure_reports import DepartureReports
from cranklane.sidecar.worker.registry import WorkerRegistry

TIMING = SubscriptionTiming(
    heartbeat=0.5, idle_timeout=1.6, max_backoff=0.8, raises_incarnation=True
)
"""Times of the subscription in seconds. Control responds to each heartbeat, so a silence of three
heartbeat intervals means that the connection is lost."""

USAGE_REPORT_DELAY_SECONDS = 0.15
"""Seconds over which tenants' usage is accumulated before it is reported. A surge of 7.5 times a
tenant's rate stays within its bound with reports up to 0.3 s old."""

DEPARTURE_REPORT_INTERVAL_SECONDS = 0.25
"""Interval at which departures are reported until they are stored."""

MAX_DEPARTURE_WAIT_SECONDS = 3.0
"""Time after the start within which control states the departures of the worker. Without control
for longer, a worker that runs would be lost service: what it states itself counts then."""

MAX_LOGGED_MEMBERS = 20
"""Limit on the members listed in one log line, as a start transfers the whole fleet."""


class ControlledState(NamedTuple):
    """Components of a sidecar that control's updates change."""

    table: AdoptedTable
    lease: TableLease
    quota: TenantQuota
    destinations: Destinations
    directory: SidecarDirectory
    quarantine: QuarantineGossip
    worker: WorkerRegistry
    departures: DepartureReports


class ControlLink:
    """The link of one sidecar to control.

    :param local_member: builds the records that describe this sidecar.
    :param condition: condition of the worker, updated before each heartbeat.
    :param state: components that control's updates change.
    :ivar subscription: connection to one controller at a time.
    """

    def __init__(
        self,
        runtime: Runtime,
        settings: SidecarSettings,
        local_member: LocalMember,
        condition: WorkerCondition,
        state: ControlledState,
        log: Any,
    ) -> None:
        self._runtime = runtime
        self._local_member = local_member
        self._condition = condition
        self._state = state
        self._lease_log = TableLeaseLog(state.lease, state.table, log)
        self._log = log
        self.subscription = Subscription(
            runtime,
            _controllers(settings),
            local_member.subscription(),
            state.table,
            None,
            SubscriptionCallbacks(
                self._heartbeat, self._apply_members, on_answer=self._apply_answer
            ),
            log,
            TIMING,
        )

    @property
    def connected(self) -> bool:
        """Whether a controller responds."""
        return self.subscription.connected

    def reload(self, settings: SidecarSettings) -> None:
        """Use the seeds of new settings for the next connection to control."""
        self.subscription.set_initial_controls(_controllers(settings))

    def announce(self) -> None:
        """Report this sidecar's state at once instead of with the next heartbeat."""
        self.subscription.announce()

    def report_usage(self) -> None:
        """Report tenants' usage while there is any; never returns."""
        quota = self._state.quota
        while True:
            quota.usage_pending.wait()
            gevent.sleep(USAGE_REPORT_DELAY_SECONDS)
            self.subscription.send(self._usage)

    def report_departures(self) -> None:
        """Report departures of the worker until they are stored; never returns."""
        departures = self._state.departures
        while True:
            departures.pending.wait()
            self.subscription.send(departures.report)
            departures.wait_until_stored(DEPARTURE_REPORT_INTERVAL_SECONDS)

    def limit_wait_for_departures(self) -> None:
        """Let the worker be used without word from control, if that takes too long."""
        gevent.sleep(MAX_DEPARTURE_WAIT_SECONDS)
        self._state.worker.end_wait_for_departures()

    def _usage(self) -> UsageReport | None:
        usage = self._state.quota.take_usage()
        return UsageReport(usage) if usage else None

    def _heartbeat(self) -> Heartbeat:
        self._condition.renew()
        self._state.destinations.drop_expired()
        self._lease_log.check()
        return self._local_member.heartbeat()

    def _apply_answer(self, message: Message) -> None:
        """Apply the response to a heartbeat, departures, or fractions of tenants' requests."""
        match message:
            case Departures():
                self._state.departures.confirmed(message.instances)
                self._state.worker.departures_learned(message.instances)
            case HeartbeatAnswer():
                self._apply_heartbeat_answer(message)
            case TenantShares():
                self._state.quota.take_shares(message.whole, message.shares)

    def _apply_heartbeat_answer(self, answer: HeartbeatAnswer) -> None:
        requested_at = answer.asked_us / MICROSECONDS
        self._state.quota.updated(requested_at)
        if answer.confirmed:
            newest_at = requested_at - answer.age_us / MICROSECONDS
            self._state.lease.confirmed(newest_at, answer.revision, self._state.table.version)

    def _apply_members(self, delta: MemberDelta) -> None:
        self._state.destinations.apply(delta)
        self._state.directory.apply(delta)
        if delta.whole:
            # This process has just started, or may have missed updates while disconnected.
            self._runtime.spawn(self._state.quarantine.anti_entropy.catch_up)
        logged_members = delta.members[:MAX_LOGGED_MEMBERS]
        self._log.info(
            "members",
            whole=delta.whole,
            changed=[
                f"{member.node}:{MemberState(member.state).name}" for member in logged_members
            ],
        )


def _controllers(settings: SidecarSettings) -> list[Address]:
    """Return the addresses at which controllers listen for sidecars."""
    return [
        parse_address(address) for address in peer_addresses(settings.seeds, settings.peer_port)
    ]
