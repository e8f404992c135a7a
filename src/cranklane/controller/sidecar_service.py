"""What a control process does for sidecars, besides sending configuration and members.

It answers heartbeats with how fresh its route table is, adds up the usage of tenants,
and tells which part of a tenant's requests to admit.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from cranklane.common.units import MICROSECONDS
from cranklane.controller.confirmation import Confirmation
from cranklane.controller.fleet_quotas import STEP_SECONDS, FleetQuotas
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    Heartbeat,
    HeartbeatAnswer,
    TenantShares,
    UsageReport,
    UsageTotals,
)


class SidecarService:
    """Answers and shares of one control process.

    :param revision: returns the revision of the route table here.
    :param on_shares: called when parts have changed, so that subscribers are told.
    :param on_usage: called when sums have changed, so that other processes are told.
    """

    def __init__(
        self,
        confirmation: Confirmation,
        quotas: FleetQuotas,
        revision: Callable[[], int],
        on_shares: Callable[[], None],
        on_usage: Callable[[], None],
    ) -> None:
        self._confirmation = confirmation
        self.quotas = quotas
        self._revision = revision
        self._on_shares = on_shares
        self._on_usage = on_usage

    def run(self) -> None:
        """Work out the parts again and again, for ever."""
        told = 0
        while True:
            gevent.sleep(STEP_SECONDS)
            if self.quotas.position != told:
                told = self.quotas.position
                self._on_usage()
            if self.quotas.step():
                self._on_shares()

    def heartbeat(self, records: RecordConnection, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat that asks for it.

        :raises ConnectionLostError: when the connection is gone.
        """
        if heartbeat.asked_us == 0:
            return
        age = self._confirmation.age()
        records.send(
            HeartbeatAnswer(
                heartbeat.asked_us,
                age is not None,
                int((age or 0.0) * MICROSECONDS) + 1,
                self._revision(),
            )
        )

    def reported(self, report: UsageReport) -> None:
        """Take a sidecar's report of usage."""
        self.quotas.reported(report.usage)

    def told(self, totals: UsageTotals) -> None:
        """Take another control process's sums."""
        self.quotas.told(totals)

    def shares(self, position: int) -> TenantShares | None:
        """Return what a subscriber that was told up to a position needs, None for nothing."""
        if position == self.quotas.shares_position:
            return None
        return TenantShares(position == 0, self.quotas.shares_since(position))
