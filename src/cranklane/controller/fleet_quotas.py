"""Holds tenants to their rates over the whole fleet.

Each control process adds up what its sidecars report, several times a second, and tells
the others its sums, so that every one of them knows the usage of the whole fleet with a
delay of some tenths of a second. A token bucket for each tenant is filled by its rate and
emptied by what was admitted. From its level and from what is offered each process works out
the part of the tenant's requests to admit, and tells it to its sidecars. A part, unlike
a share of the rate for each sidecar, fits however few requests come in at each of them.

A process that does not hear of all sidecars gives out only the part of the rate that falls
to those it hears of.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cranklane.common.units import MICROSECONDS
from cranklane.records.messages import TenantShare, TenantUsage, UsageTotals
from cranklane.routes.tenants import Tenant

STEP_SECONDS = 0.1
"""Between two looks at all tenants: the delay of a sum told by three processes in turn
(sidecar, controller, controller) stays below half of ``LEVEL_SECONDS``."""

LEVEL_SECONDS = 0.5
"""Time in which a bucket comes close to its reserve at what is admitted: longer than the
delay of the sums, so that the part does not swing."""

OFFERED_SECONDS = 0.25
"""Time over which the rate of what is offered is smoothed."""

RESERVE_PART = 0.2
"""Part of a burst that is kept for what is admitted before a surge is seen."""

RATE_MARGIN = 0.03
"""Part of a rate that is admitted beyond it, so that errors of the sums do not refuse what is
within it."""

LEAST_DEPTH_SECONDS = 0.2
"""A bucket holds at least the rate of this time: what comes in one delay of the sums."""

LEAST_CHANGE = 30
"""Thousandths by which a part must change before sidecars are told."""

LEAST_PERMILLE = 10
FULL_PERMILLE = 1000

OWNER_SECONDS = 2.5
"""Seconds without a word after which another process's sidecars count as not heard of."""


SLACK_PART = 0.4
"""Part of the tolerated overrun by which a bucket is deeper than the burst: the rest is for
what is admitted before a surge is seen."""


@dataclass(frozen=True, slots=True)
class FleetCount:
    """How many sidecars there are.

    :ivar heard: those that tell this process their usage.
    """

    known: int
    heard: int


@dataclass(slots=True)
class _Count:
    """Counts of one tenant since the start of the process that tells them."""

    offered: int = 0
    admitted: int = 0
    returned: int = 0
    position: int = 0

    def add(self, usage: TenantUsage) -> None:
        """Add what a sidecar reports."""
        self.offered += usage.offered
        self.admitted += usage.admitted
        self.returned += usage.returned


@dataclass(slots=True)
class _Bucket:
    """One tenant's state for the whole fleet.

    :ivar offered: requests that came since the last step, less those that were admitted and
        did not run; ``used`` of them are to count.
    :ivar level: tokens; below nothing when more was admitted than there were.
    :ivar offered_rate: smoothed, in requests a second.
    """

    offered: int = 0
    used: int = 0
    level: float = 0.0
    offered_rate: float = 0.0
    permille: int = FULL_PERMILLE


@dataclass(slots=True)
class _Owner:
    """What another control process has told.

    :ivar began_us: identifies its life.
    :ivar counts: last counts by tenant.
    """

    began_us: int
    heard_at: float
    nodes: int
    counts: dict[str, _Count]


class FleetQuotas:
    """Usage of all tenants as one control process knows it.

    :param own: this control process's name.
    :param tenants: returns the tenants in force.
    :param fleet: returns how many sidecars there are.
    :param slack: requests of a tenant that may run beyond its limit in a window.
    """

    def __init__(
        self,
        own: str,
        clock: Callable[[], float],
        tenants: Callable[[], Iterable[Tenant]],
        fleet: Callable[[], FleetCount],
        slack: float = 0.0,
    ) -> None:
        self._own = own
        self._clock = clock
        self._tenants = tenants
        self._fleet = fleet
        self._slack = slack
        self._began_us = int(clock() * MICROSECONDS) + 1
        self._stepped_at = clock()
        # In the order of their changes, so that a reader sees only what is new.
        self._counts: OrderedDict[str, _Count] = OrderedDict()
        self._position = 0
        self._buckets: dict[str, _Bucket] = {}
        self._owners: dict[str, _Owner] = {}
        self._shares: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.shares_position = 0

    # What sidecars and other processes tell.

    def take_usage(self, usage: Iterable[TenantUsage]) -> None:
        """Take a sidecar's report."""
        self._position += 1
        for item in usage:
            count = self._counts.setdefault(item.tenant, _Count())
            count.add(item)
            count.position = self._position
            self._counts.move_to_end(item.tenant)
            self._use(item.tenant, item.offered, item.admitted, item.returned)

    def take_totals(self, totals: UsageTotals) -> None:
        """Take another control process's sums."""
        owner = self._owners.get(totals.owner)
        known = owner is not None and owner.began_us == totals.began_us
        if owner is None or not known:
            owner = self._owners[totals.owner] = _Owner(totals.began_us, 0.0, 0, {})
        owner.heard_at = self._clock()
        owner.nodes = totals.nodes
        for item in totals.totals:
            last = owner.counts.get(item.tenant)
            if last is None:
                # What it counted before this process heard of it is over.
                last = owner.counts[item.tenant] = _Count()
                if not known:
                    last.add(item)
            self._use(
                item.tenant,
                item.offered - last.offered,
                item.admitted - last.admitted,
                item.returned - last.returned,
            )
            last.offered, last.admitted, last.returned = item.offered, item.admitted, item.returned

    def _use(self, tenant: str, offered: int, admitted: int, returned: int) -> None:
        bucket = self._buckets.setdefault(tenant, _Bucket())
        # What was admitted and did not run is no demand on the rate: it may well come again.
        bucket.offered += offered - returned
        bucket.used += admitted - returned

    # What it tells.

    @property
    def position(self) -> int:
        """Position of the newest report."""
        return self._position

    def totals_since(self, position: int) -> UsageTotals:
        """Return the sums that have changed after a position, for other processes."""
        totals = []
        for name, count in reversed(self._counts.items()):
            if count.position <= position:
                break
            totals.append(TenantUsage(count.offered, count.admitted, count.returned, name))
        return UsageTotals(self._began_us, self._fleet().heard, self._own, totals)

    def shares_since(self, position: int) -> list[TenantShare]:
        """Return the parts that have changed after a position, for sidecars."""
        shares = []
        for name, (permille, changed_at) in reversed(self._shares.items()):
            if changed_at <= position:
                break
            shares.append(TenantShare(permille, name))
        return shares

    # The parts.

    def step(self) -> bool:
        """Work out the parts anew; return whether one has changed."""
        now = self._clock()
        seconds = now - self._stepped_at
        self._stepped_at = now
        heard_part = self._heard_part(now)
        before = self.shares_position
        limited = [tenant for tenant in self._tenants() if tenant.rate_per_second > 0]
        for tenant in limited:
            self._step_one(tenant, seconds, heard_part)
        self._forget_others({tenant.name for tenant in limited})
        return self.shares_position != before

    def _heard_part(self, now: float) -> float:
        """Return which part of all sidecars this process knows the usage of."""
        fleet = self._fleet()
        others = sum(
            owner.nodes for owner in self._owners.values() if now - owner.heard_at <= OWNER_SECONDS
        )
        return min(1.0, (fleet.heard + others) / fleet.known) if fleet.known else 1.0

    def _step_one(self, tenant: Tenant, seconds: float, heard_part: float) -> None:
        bucket = self._buckets.setdefault(tenant.name, _Bucket())
        rate = tenant.rate_per_second * heard_part * (1 + RATE_MARGIN)
        most = tenant.burst + SLACK_PART * self._slack
        depth = heard_part * max(most, tenant.rate_per_second * LEAST_DEPTH_SECONDS)
        bucket.level = min(depth, bucket.level + rate * seconds - bucket.used)
        weight = min(1.0, seconds / OFFERED_SECONDS)
        if seconds > 0:
            came = max(0, bucket.offered) / seconds
            bucket.offered_rate += weight * (came - bucket.offered_rate)
        bucket.offered = bucket.used = 0
        allowed = rate + (bucket.level - RESERVE_PART * depth) / LEVEL_SECONDS
        permille = FULL_PERMILLE
        if bucket.offered_rate > allowed:
            permille = max(LEAST_PERMILLE, int(allowed / bucket.offered_rate * FULL_PERMILLE))
        self._tell(tenant.name, bucket, permille)

    def _tell(self, tenant: str, bucket: _Bucket, permille: int) -> None:
        full = permille == FULL_PERMILLE
        if abs(permille - bucket.permille) < LEAST_CHANGE and full == (
            bucket.permille == FULL_PERMILLE
        ):
            return
        bucket.permille = permille
        self.shares_position += 1
        self._shares[tenant] = (permille, self.shares_position)
        self._shares.move_to_end(tenant)

    def _forget_others(self, limited: set[str]) -> None:
        """Drop the buckets of tenants that have no limit any more."""
        for name in [name for name in self._buckets if name not in limited]:
            bucket = self._buckets.pop(name)
            if bucket.permille != FULL_PERMILLE:
                self._tell(name, bucket, FULL_PERMILLE)
