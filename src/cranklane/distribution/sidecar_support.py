"""What distribution needs of the part of a control process that only sidecars use.

A control process without sidecars has no such part. The implementation belongs to the
program that keeps route tables; distribution knows only this protocol.
"""

from __future__ import annotations

from typing import Protocol

from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Heartbeat, TenantShares, UsageReport, UsageTotals


class SidecarSupport(Protocol):
    """Heartbeat answers, usage of tenants and the ratios of their requests to admit."""

    @property
    def usage_position(self) -> int:
        """Position of the newest usage report."""

    @property
    def shares_position(self) -> int:
        """Position of the newest change of an admission ratio."""

    def run(self) -> None:
        """Recompute the admission ratios periodically, for ever."""

    def answer_heartbeat(self, records: RecordConnection, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat that asks for it.

        :raises ConnectionLostError: when the connection is gone.
        """

    def take_usage(self, report: UsageReport) -> None:
        """Add a sidecar's usage report."""

    def take_totals(self, totals: UsageTotals) -> None:
        """Add another control process's totals."""

    def totals_since(self, position: int) -> UsageTotals:
        """Return the totals changed after a position, for other control processes."""

    def shares_since(self, position: int) -> TenantShares | None:
        """Return the ratios changed after a position, None when none has."""
