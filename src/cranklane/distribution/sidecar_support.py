"""Interface to the services that a control process provides only to sidecars.

Implemented by the controller; a control process without sidecars has no implementation.
"""

from __future__ import annotations

from typing import Protocol

from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    DepartureCommand,
    Departures,
    Heartbeat,
    TenantShares,
    UsageReport,
    UsageTotals,
)


class SidecarSupport(Protocol):
    """Heartbeat answers, departures of workers, tenant usage and tenant admission ratios."""

    @property
    def usage_position(self) -> int:
        """Position of the newest usage report."""

    @property
    def shares_position(self) -> int:
        """Position of the newest change of an admission ratio."""

    def run(self) -> None:
        """Recompute the admission ratios periodically; runs until the process ends."""

    def answer_heartbeat(self, records: RecordConnection, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat that requests an answer.

        :raises ConnectionLostError: when the connection is closed.
        """

    def departures_position(self, node: str) -> int:
        """Position of the latest change of the departures of a sidecar's worker."""

    def knows_departures_until(self, moment: float) -> bool:
        """Return whether the store holds all departures acknowledged before a monotonic second."""

    def departures_of(self, node: str) -> Departures:
        """Return the stored departures of a sidecar's worker."""

    def store_departures(self, node: str, instances: list[str]) -> bool:
        """Store departures of a sidecar's worker; return False if that failed or is uncertain."""

    def commit_departures(self, command: DepartureCommand) -> bool:
        """Commit departures for another control process; return False if that failed."""

    def take_usage(self, report: UsageReport) -> None:
        """Add a sidecar's usage report."""

    def take_totals(self, totals: UsageTotals) -> None:
        """Add the usage totals of another control process."""

    def totals_since(self, position: int) -> UsageTotals:
        """Return the usage totals changed after a position, for other control processes."""

    def shares_since(self, position: int) -> TenantShares | None:
        """Return the admission ratios changed after a position, or None without a change."""
