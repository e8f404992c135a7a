"""Admission ratio of a tenant, from a token bucket for the whole fleet.

The bucket fills at the tenant's rate and drains with admitted requests. The ratio follows from
the bucket's level and the offered rate. The constants depend on each other:
``tests/test_tenants.py`` simulates them together.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.records.messages import TenantUsage
from cranklane.routes.tenants import Tenant

LEVEL_CORRECTION_SECONDS = 0.5
"""Time constant with which the ratio steers the level back to the reserve. Longer than the delay
of usage totals, to avoid oscillation."""

OFFERED_SMOOTHING_SECONDS = 0.25
"""Time constant of the smoothed offered rate; covers several usage reports."""

RESERVE_FRACTION = 0.2
"""Fraction of a bucket's depth kept as a reserve for requests admitted before a surge shows in
usage reports."""

RATE_MARGIN_FRACTION = 0.03
"""Fraction by which the fill rate exceeds a tenant's rate, so that errors of the totals do not
refuse requests within the limit."""

SLACK_BURST_FRACTION = 0.4
"""Fraction of the tolerated overrun that is added to the burst. The rest covers requests admitted
before a surge shows in usage reports."""

MIN_DEPTH_SECONDS = 0.2
"""Minimum depth of a bucket, as time at the tenant's rate: the requests of one delay of usage
totals."""

MIN_CHANGE_PERMILLE = 30
"""Smallest change of a ratio that is published, in thousandths. Saves records; the error stays
within ``RATE_MARGIN_FRACTION``."""

MIN_PERMILLE = 10
"""Minimum ratio, in thousandths: some requests of a tenant far over its limit still run."""

FULL_PERMILLE = 1000
"""Ratio that admits every request, in thousandths."""


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """Fill rate and depth of a tenant's bucket.

    :ivar rate: tokens per second.
    :ivar depth: maximum number of tokens.
    """

    rate: float
    depth: float


def limit_of(tenant: Tenant, reporting_ratio: float, slack: float) -> QuotaLimit:
    """Return the part of a tenant's limit that one controller enforces.

    :param reporting_ratio: fraction of all sidecars whose usage the controller knows. The limit
        is scaled by it, so that both sides of a network partition together keep the limit.
    :param slack: requests by which a tenant may exceed its limit in a window.
    """
    rate = tenant.rate_per_second * reporting_ratio * (1 + RATE_MARGIN_FRACTION)
    depth = max(
        tenant.burst + SLACK_BURST_FRACTION * slack, tenant.rate_per_second * MIN_DEPTH_SECONDS
    )
    return QuotaLimit(rate, reporting_ratio * depth)


@dataclass(slots=True)
class QuotaBucket:
    """Token bucket of one tenant.

    :ivar offered: requests received since the last step, without those admitted but not run.
    :ivar used: requests admitted and run since the last step.
    :ivar level: tokens; negative after more admissions than there were tokens.
    :ivar offered_rate: smoothed rate of offered requests per second.
    :ivar published_permille: ratio last published to sidecars, in thousandths.
    """

    offered: int = 0
    used: int = 0
    level: float = 0.0
    offered_rate: float = 0.0
    published_permille: int = FULL_PERMILLE

    def add(self, usage: TenantUsage) -> None:
        """Add usage since the last step.

        Admitted requests that did not run are not counted: their retries are.
        """
        self.offered += usage.offered - usage.returned
        self.used += usage.admitted - usage.returned

    def step(self, limit: QuotaLimit, seconds: float) -> int:
        """Update level and offered rate; return the admission ratio in thousandths.

        :param seconds: time since the previous step.
        """
        self.level = min(limit.depth, self.level + limit.rate * seconds - self.used)
        weight = min(1.0, seconds / OFFERED_SMOOTHING_SECONDS)
        if seconds > 0:
            current_rate = max(0, self.offered) / seconds
            self.offered_rate += weight * (current_rate - self.offered_rate)
        self.offered = self.used = 0
        allowed_rate = (
            limit.rate + (self.level - RESERVE_FRACTION * limit.depth) / LEVEL_CORRECTION_SECONDS
        )
        if self.offered_rate <= allowed_rate:
            return FULL_PERMILLE
        if allowed_rate <= 0.0:
            # There may be no requests, to which a ratio of them would refer.
            return MIN_PERMILLE
        return max(MIN_PERMILLE, int(allowed_rate / self.offered_rate * FULL_PERMILLE))

    def is_worth_sending(self, permille: int) -> bool:
        """Return whether a ratio differs enough from the published one.

        A change to or from ``FULL_PERMILLE`` is always published.
        """
        full_changes = (permille == FULL_PERMILLE) != (self.published_permille == FULL_PERMILLE)
        return full_changes or abs(permille - self.published_permille) >= MIN_CHANGE_PERMILLE
