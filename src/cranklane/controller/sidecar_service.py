"""Heartbeat responses, departures, tenant usage and admission ratios for a controller's sidecars.

Heartbeat responses carry the age of the route table, from :class:`StateFreshness`. Usage totals
and admission ratios belong to :class:`FleetQuotas`.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from cranklane.common.units import MICROSECONDS
from cranklane.controller.confirmation import StateFreshness
from cranklane.controller.departure_store import DepartureStore
from cranklane.controller.departure_writer import DepartureWriter
from cranklane.controller.fleet_quotas import QUOTA_INTERVAL_SECONDS, FleetQuotas
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    Departure,
    DepartureCommand,
    Departures,
    Heartbeat,
    HeartbeatAnswer,
    TenantShares,
    UsageReport,
    UsageTotals,
)


class SidecarService:
    """Implements :class:`SidecarSupport` for one controller.

    :param revision: returns the revision of this replica's route table.
    :param on_shares_changed: notifies subscribers of changed admission ratios.
    :param on_usage_changed: notifies other controllers of changed usage totals.
    """

    def __init__(
        self,
        freshness: StateFreshness,
        quotas: FleetQuotas,
        departures: DepartureStore,
        departure_writer: DepartureWriter,
        revision: Callable[[], int],
        on_shares_changed: Callable[[], None],
        on_usage_changed: Callable[[], None],
    ) -> None:
        self._freshness = freshness
        self._quotas = quotas
        self._departures = departures
        self._departure_writer = departure_writer
        self._revision = revision
        self._on_shares_changed = on_shares_changed
        self._on_usage_changed = on_usage_changed

    @property
    def usage_position(self) -> int:
        """Position of the latest usage report."""
        return self._quotas.position

    @property
    def shares_position(self) -> int:
        """Position of the latest change of an admission ratio."""
        return self._quotas.shares_position

    def run(self) -> None:
        """Recompute the admission ratios periodically; runs until the process ends."""
        notified_position = 0
        while True:
            gevent.sleep(QUOTA_INTERVAL_SECONDS)
            if self._quotas.position != notified_position:
                notified_position = self._quotas.position
                self._on_usage_changed()
            if self._quotas.step():
                self._on_shares_changed()

    def answer_heartbeat(self, records: RecordConnection, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat that requests an answer.

        :raises ConnectionLostError: when the connection is closed.
        """
        if heartbeat.asked_us == 0:
            return
        age = self._freshness.age()
        answer = HeartbeatAnswer(
            heartbeat.asked_us,
            age is not None,
            int((age or 0.0) * MICROSECONDS) + 1,
            self._revision(),
        )
        records.send(answer)

    def departures_position(self, node: str) -> int:
        """Position of the latest change of the departures of a sidecar's worker."""
        return self._departures.position_of(node)

    def knows_departures_until(self, moment: float) -> bool:
        """Return whether the store holds all departures acknowledged before a monotonic second.

        If not, the state is confirmed as soon as possible. A follower may lag, and after a start a
        controller has applied nothing beyond its snapshot.
        """
        knows = self._freshness.includes_all_until(moment)
        if not knows:
            self._freshness.request(moment)
        return knows

    def departures_of(self, node: str) -> Departures:
        """Return the stored departures of a sidecar's worker."""
        return Departures(self._departures.of(node))

    def store_departures(self, node: str, instances: list[str]) -> bool:
        """Store departures of a sidecar's worker; return False if that failed or is uncertain."""
        return self._departure_writer.store([Departure(node, instance) for instance in instances])

    def commit_departures(self, command: DepartureCommand) -> bool:
        """Commit departures for another controller; return False if that failed."""
        return self._departure_writer.commit(command)

    def take_usage(self, report: UsageReport) -> None:
        """Add a sidecar's usage report."""
        self._quotas.take_usage(report.usage)

    def take_totals(self, totals: UsageTotals) -> None:
        """Add another controller's usage totals."""
        self._quotas.take_totals(totals)

    def totals_since(self, position: int) -> UsageTotals:
        """Return the usage totals changed after a position, for other controllers."""
        return self._quotas.totals_since(position)

    def shares_since(self, position: int) -> TenantShares | None:
        """Return the admission ratios changed after a position, or None without a change."""
        if position == self._quotas.shares_position:
            return None
        return TenantShares(position == 0, self._quotas.shares_since(position))
