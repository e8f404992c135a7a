"""Which ratio of a tenant's requests sidecars admit: a token bucket for the whole fleet.

The bucket is filled by the tenant's rate and emptied by what was admitted. From its level and
from what is offered follows the ratio to admit. The constants were set together in the model
of ``tests/test_tenants.py`` (71 sidecars, reports 0.2 s old): in a surge of 7.5 times the
fullest window had 0.57 to 0.86 of its bound, at 60% of a limit at most 1.2% was refused.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.records.messages import TenantUsage
from cranklane.routes.tenants import Tenant

LEVEL_SECONDS = 0.5
"""Time in which a bucket comes close to its reserve at what is admitted: longer than the
delay of the totals, so that the ratio does not swing."""

OFFERED_SECONDS = 0.25
"""Time over which the rate of what is offered is smoothed. A choice: some reports long."""

RESERVE_RATIO = 0.2
"""Ratio of a bucket's depth that is kept for what is admitted before a surge is seen."""

RATE_MARGIN = 0.03
"""Ratio of a rate that is admitted beyond it, so that errors of the totals do not refuse what
is within it."""

SLACK_RATIO = 0.4
"""Ratio of the tolerated overrun by which a bucket is deeper than the burst: the rest is for
what is admitted before a surge is seen."""

MIN_DEPTH_SECONDS = 0.2
"""A bucket holds at least the rate of this time: what comes in one delay of the totals."""

MIN_CHANGE_PERMILLE = 30
"""Thousandths by which a ratio must change before sidecars get it. A choice: fewer records, at
an error within ``RATE_MARGIN``."""

MIN_PERMILLE = 10
"""Smallest ratio, in thousandths. A choice: what is offered stays visible in what runs."""

FULL_PERMILLE = 1000


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What a tenant may use of the fleet.

    :ivar rate: tokens a second.
    :ivar depth: tokens that the bucket holds.
    """

    rate: float
    depth: float


def limit_of(tenant: Tenant, reporting_ratio: float, slack: float) -> QuotaLimit:
    """Return what a controller gives out of a tenant's limit.

    :param reporting_ratio: ratio of all sidecars whose usage the controller knows. It gives out
        only as much, so that two halves of a cut fleet together keep the limit.
    :param slack: requests that may run beyond a limit in a window.
    """
    rate = tenant.rate_per_second * reporting_ratio * (1 + RATE_MARGIN)
    depth = max(tenant.burst + SLACK_RATIO * slack, tenant.rate_per_second * MIN_DEPTH_SECONDS)
    return QuotaLimit(rate, reporting_ratio * depth)


@dataclass(slots=True)
class QuotaBucket:
    """One tenant's state for the whole fleet.

    :ivar offered: requests that came since the last step, less those that were admitted and
        did not run; ``used`` of them count.
    :ivar level: tokens; below zero when more was admitted than there were.
    :ivar offered_rate: smoothed, in requests a second.
    :ivar permille: ratio that sidecars have, in thousandths.
    """

    offered: int = 0
    used: int = 0
    level: float = 0.0
    offered_rate: float = 0.0
    permille: int = FULL_PERMILLE

    def add(self, usage: TenantUsage) -> None:
        """Add usage since the last step.

        What was admitted and did not run is no demand on the rate: it may well come again.
        """
        self.offered += usage.offered - usage.returned
        self.used += usage.admitted - usage.returned

    def step(self, limit: QuotaLimit, seconds: float) -> int:
        """Close a step of some seconds; return the ratio to admit, in thousandths."""
        self.level = min(limit.depth, self.level + limit.rate * seconds - self.used)
        weight = min(1.0, seconds / OFFERED_SECONDS)
        if seconds > 0:
            came = max(0, self.offered) / seconds
            self.offered_rate += weight * (came - self.offered_rate)
        self.offered = self.used = 0
        allowed = limit.rate + (self.level - RESERVE_RATIO * limit.depth) / LEVEL_SECONDS
        if self.offered_rate <= allowed:
            return FULL_PERMILLE
        return max(MIN_PERMILLE, int(allowed / self.offered_rate * FULL_PERMILLE))

    def is_worth_sending(self, permille: int) -> bool:
        """Return whether sidecars are to get a ratio in place of the one they have.

        Small changes are left out, but never the change to or from admitting everything.
        """
        full_changes = (permille == FULL_PERMILLE) != (self.permille == FULL_PERMILLE)
        return full_changes or abs(permille - self.permille) >= MIN_CHANGE_PERMILLE
