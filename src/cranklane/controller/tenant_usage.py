"""Usage of all tenants in the whole fleet, as known to one controller.

Sums the reports of the controller's sidecars and receives the totals of the other controllers.
Owns these counts; :mod:`quota_bucket` computes admission ratios from them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from cranklane.common.units import MICROSECONDS
from cranklane.records.messages import TenantUsage, UsageTotals

TOTALS_TTL_SECONDS = 2.5
"""Time without totals after which another controller's sidecars count as not reporting. Totals
arrive at least every ``member_exchange.REPORT_INTERVAL_SECONDS`` (1 s), so two may be late."""


@dataclass(frozen=True, slots=True)
class FleetCount:
    """Number of sidecars in the fleet.

    :ivar known: all sidecars in the membership.
    :ivar reporting: sidecars that report their usage to this controller.
    """

    known: int
    reporting: int


@dataclass(slots=True)
class _Count:
    """Requests of one tenant since the start of the counting controller."""

    offered: int = 0
    admitted: int = 0
    returned: int = 0
    position: int = 0

    def add(self, usage: TenantUsage) -> None:
        """Add to the counts."""
        self.offered += usage.offered
        self.admitted += usage.admitted
        self.returned += usage.returned

    def advance_to(self, total: TenantUsage) -> TenantUsage:
        """Set the counts to a newer total and return the increment."""
        increment = TenantUsage(
            total.offered - self.offered,
            total.admitted - self.admitted,
            total.returned - self.returned,
            total.tenant,
        )
        self.add(increment)
        return increment


@dataclass(slots=True)
class _RemoteController:
    """Last totals of another controller.

    :ivar began_us: start time of its process by its own clock; identifies the run.
    :ivar reported_at: arrival of its last totals, in monotonic seconds.
    :ivar nodes: number of sidecars that report to it.
    :ivar counts: last totals by tenant.
    """

    began_us: int
    reported_at: float = 0.0
    nodes: int = 0
    counts: dict[str, _Count] = field(default_factory=dict)


class FleetUsage:
    """Usage counts of one controller's sidecars and totals of the other controllers.

    :param controller_name: name of this controller.
    :param clock: returns monotonic seconds.
    :param fleet_count: returns the number of sidecars.
    :ivar position: number of the latest usage report from a sidecar of this controller.
    """

    def __init__(
        self,
        controller_name: str,
        clock: Callable[[], float],
        fleet_count: Callable[[], FleetCount],
    ) -> None:
        self._controller_name = controller_name
        self._clock = clock
        self._fleet_count = fleet_count
        self._started_us = int(clock() * MICROSECONDS) + 1
        # Ordered by latest change, so that readers stop at the first one they have.
        self._counts: OrderedDict[str, _Count] = OrderedDict()
        self._remote_controllers: dict[str, _RemoteController] = {}
        self.position = 0

    def take_usage(self, usage: Iterable[TenantUsage]) -> None:
        """Add a sidecar's usage report."""
        self.position += 1
        for tenant_usage in usage:
            count = self._counts.setdefault(tenant_usage.tenant, _Count())
            count.add(tenant_usage)
            count.position = self.position
            self._counts.move_to_end(tenant_usage.tenant)

    def take_totals(self, totals: UsageTotals) -> list[TenantUsage]:
        """Store another controller's totals and return the increments since its previous ones.

        The first totals of a run only set the baseline: their requests are over.
        """
        remote = self._remote_controllers.get(totals.owner)
        is_known_run = remote is not None and remote.began_us == totals.began_us
        if remote is None or not is_known_run:
            remote = self._remote_controllers[totals.owner] = _RemoteController(totals.began_us)
        remote.reported_at = self._clock()
        remote.nodes = totals.nodes
        increments = []
        for total in totals.totals:
            last = remote.counts.get(total.tenant)
            if last is None:
                last = remote.counts[total.tenant] = _Count()
                if not is_known_run:
                    last.add(total)
            increments.append(last.advance_to(total))
        return increments

    def totals_since(self, position: int) -> UsageTotals:
        """Return the usage totals changed after a position, for other controllers."""
        newer = takewhile(lambda item: item[1].position > position, reversed(self._counts.items()))
        totals = [
            TenantUsage(count.offered, count.admitted, count.returned, name)
            for name, count in newer
        ]
        return UsageTotals(
            self._started_us, self._fleet_count().reporting, self._controller_name, totals
        )

    def reporting_ratio(self, now: float) -> float:
        """Return the fraction of all sidecars whose usage this controller knows, 0 to 1."""
        fleet = self._fleet_count()
        remote_sidecars = sum(
            remote.nodes
            for remote in self._remote_controllers.values()
            if now - remote.reported_at <= TOTALS_TTL_SECONDS
        )
        return min(1.0, (fleet.reporting + remote_sidecars) / fleet.known) if fleet.known else 1.0
