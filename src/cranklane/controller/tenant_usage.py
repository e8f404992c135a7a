"""Usage of all tenants over the whole fleet, as one controller knows it.

Adds up what its own sidecars report and takes the totals of the other controllers. Owns these
counts; what follows from them is decided in :mod:`quota_bucket`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from cranklane.common.units import MICROSECONDS
from cranklane.records.messages import TenantUsage, UsageTotals

OWNER_SECONDS = 2.5
"""Time without totals after which another controller's sidecars count as not reporting. A
choice: totals come at least each ``exchange.REPORT_SECONDS`` (1 s), so two may be late."""


@dataclass(frozen=True, slots=True)
class FleetCount:
    """How many sidecars there are.

    :ivar known: all that are there.
    :ivar reporting: those that report their usage to this controller.
    """

    known: int
    reporting: int


@dataclass(slots=True)
class _Count:
    """Requests of one tenant since the start of the controller that counts them."""

    offered: int = 0
    admitted: int = 0
    returned: int = 0
    position: int = 0

    def add(self, usage: TenantUsage) -> None:
        """Add a usage."""
        self.offered += usage.offered
        self.admitted += usage.admitted
        self.returned += usage.returned

    def advance_to(self, total: TenantUsage) -> TenantUsage:
        """Set the counts to a newer total; return what has come since."""
        since = TenantUsage(
            total.offered - self.offered,
            total.admitted - self.admitted,
            total.returned - self.returned,
            total.tenant,
        )
        self.add(since)
        return since


@dataclass(slots=True)
class _Owner:
    """What another controller has reported.

    :ivar began_us: identifies its run: when it was started, in microseconds.
    :ivar nodes: sidecars that report to it.
    :ivar counts: last totals by tenant.
    """

    began_us: int
    reported_at: float = 0.0
    nodes: int = 0
    counts: dict[str, _Count] = field(default_factory=dict)


class FleetUsage:
    """Counts of one controller's sidecars and totals of the others.

    :param own: this controller's name.
    :param clock: monotonic seconds.
    :param fleet: returns how many sidecars there are.
    :ivar position: of the newest report of an own sidecar.
    """

    def __init__(
        self, own: str, clock: Callable[[], float], fleet: Callable[[], FleetCount]
    ) -> None:
        self._own = own
        self._clock = clock
        self._fleet = fleet
        self._began_us = int(clock() * MICROSECONDS) + 1
        # In the order of their changes, so that a reader sees only what is new.
        self._counts: OrderedDict[str, _Count] = OrderedDict()
        self._owners: dict[str, _Owner] = {}
        self.position = 0

    def take_usage(self, usage: Iterable[TenantUsage]) -> None:
        """Add a sidecar's report."""
        self.position += 1
        for item in usage:
            count = self._counts.setdefault(item.tenant, _Count())
            count.add(item)
            count.position = self.position
            self._counts.move_to_end(item.tenant)

    def take_totals(self, totals: UsageTotals) -> list[TenantUsage]:
        """Take another controller's totals; return what has come since its last ones.

        What it counted before this controller knew of it is over.
        """
        owner = self._owners.get(totals.owner)
        is_known = owner is not None and owner.began_us == totals.began_us
        if owner is None or not is_known:
            owner = self._owners[totals.owner] = _Owner(totals.began_us)
        owner.reported_at = self._clock()
        owner.nodes = totals.nodes
        increments = []
        for item in totals.totals:
            last = owner.counts.get(item.tenant)
            if last is None:
                last = owner.counts[item.tenant] = _Count()
                if not is_known:
                    last.add(item)
            increments.append(last.advance_to(item))
        return increments

    def totals_since(self, position: int) -> UsageTotals:
        """Return the totals that have changed after a position, for other controllers."""
        newer = takewhile(lambda item: item[1].position > position, reversed(self._counts.items()))
        totals = [
            TenantUsage(count.offered, count.admitted, count.returned, name)
            for name, count in newer
        ]
        return UsageTotals(self._began_us, self._fleet().reporting, self._own, totals)

    def reporting_ratio(self, now: float) -> float:
        """Return the ratio of all sidecars whose usage this controller knows, 0 to 1."""
        fleet = self._fleet()
        others = sum(
            owner.nodes
            for owner in self._owners.values()
            if now - owner.reported_at <= OWNER_SECONDS
        )
        return min(1.0, (fleet.reporting + others) / fleet.known) if fleet.known else 1.0
