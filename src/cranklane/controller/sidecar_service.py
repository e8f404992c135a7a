"""What a controller does for sidecars, besides sending configuration and members.

It answers heartbeats with the age of its route table, adds up the usage of tenants, and
publishes which ratio of a tenant's requests sidecars admit. Its usage totals and ratios
belong to :class:`FleetQuotas`; the age comes from :class:`Confirmation`.
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
    """Heartbeat answers and admission ratios of one controller.

    :param revision: returns the revision of the route table here.
    :param on_shares: called when ratios have changed, so that subscribers are notified.
    :param on_usage: called when totals have changed, so that other controllers are notified.
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
        self._quotas = quotas
        self._revision = revision
        self._on_shares = on_shares
        self._on_usage = on_usage

    @property
    def usage_position(self) -> int:
        """Position of the newest usage report."""
        return self._quotas.position

    @property
    def shares_position(self) -> int:
        """Position of the newest change of an admission ratio."""
        return self._quotas.shares_position

    def run(self) -> None:
        """Recompute the admission ratios periodically, for ever."""
        reported = 0
        while True:
            gevent.sleep(STEP_SECONDS)
            if self._quotas.position != reported:
                reported = self._quotas.position
                self._on_usage()
            if self._quotas.step():
                self._on_shares()

    def answer_heartbeat(self, records: RecordConnection, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat that asks for it.

        :raises ConnectionLostError: when the connection is gone.
        """
        if heartbeat.asked_us == 0:
            return
        age = self._confirmation.age()
        answer = HeartbeatAnswer(
            heartbeat.asked_us,
            age is not None,
            int((age or 0.0) * MICROSECONDS) + 1,
            self._revision(),
        )
        records.send(answer)

    def take_usage(self, report: UsageReport) -> None:
        """Add a sidecar's usage report."""
        self._quotas.take_usage(report.usage)

    def take_totals(self, totals: UsageTotals) -> None:
        """Add another controller's totals."""
        self._quotas.take_totals(totals)

    def totals_since(self, position: int) -> UsageTotals:
        """Return the totals changed after a position, for other controllers."""
        return self._quotas.totals_since(position)

    def shares_since(self, position: int) -> TenantShares | None:
        """Return the ratios changed after a position, None when none has."""
        if position == self._quotas.shares_position:
            return None
        return TenantShares(position == 0, self._quotas.shares_since(position))
