"""Fleet-wide rate limits of tenants.

Each controller sums the usage that its sidecars report several times a second and exchanges
totals with the other controllers, so each one knows the usage of the whole fleet within some
tenths of a second. A token bucket per tenant yields the tenant's admission ratio, which the
controller publishes to its sidecars. A ratio works however unevenly requests are spread over
sidecars; a fixed rate per sidecar would not.

Owns the buckets and the published ratios; :mod:`tenant_usage` counts usage, :mod:`quota_bucket`
computes the ratios.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from itertools import takewhile

from cranklane.controller.quota_bucket import FULL_PERMILLE, QuotaBucket, limit_of
from cranklane.controller.tenant_usage import FleetCount, FleetUsage
from cranklane.records.messages import TenantShare, TenantUsage, UsageTotals
from cranklane.routes.tenants import Tenant

QUOTA_INTERVAL_SECONDS = 0.1
"""Interval at which all buckets are updated. Usage totals pass through three processes (sidecar,
controller, controller); their delay stays below half of
``quota_bucket.LEVEL_CORRECTION_SECONDS``."""


class FleetQuotas:
    """Admission ratios of all tenants, computed by one controller.

    :param controller_name: name of this controller.
    :param clock: returns monotonic seconds.
    :param tenants: returns the tenants of the route table in force.
    :param fleet_count: returns the number of sidecars.
    :param slack: requests by which a tenant may exceed its limit in a window.
    :ivar shares_position: position of the latest change of a ratio.
    """

    def __init__(
        self,
        controller_name: str,
        clock: Callable[[], float],
        tenants: Callable[[], Iterable[Tenant]],
        fleet_count: Callable[[], FleetCount],
        slack: float = 0.0,
    ) -> None:
        self._clock = clock
        self._tenants = tenants
        self._slack = slack
        self._usage = FleetUsage(controller_name, clock, fleet_count)
        self._last_step_at = clock()
        self._buckets: dict[str, QuotaBucket] = {}
        # Ordered by latest change, so that readers stop at the first one they have.
        self._shares: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.shares_position = 0

    def take_usage(self, usage: Sequence[TenantUsage]) -> None:
        """Add a sidecar's usage report."""
        self._usage.take_usage(usage)
        self._add_to_buckets(usage)

    def take_totals(self, totals: UsageTotals) -> None:
        """Add the usage since another controller's previous totals."""
        self._add_to_buckets(self._usage.take_totals(totals))

    def _add_to_buckets(self, usage: Iterable[TenantUsage]) -> None:
        for tenant_usage in usage:
            self._buckets.setdefault(tenant_usage.tenant, QuotaBucket()).add(tenant_usage)

    @property
    def position(self) -> int:
        """Position of the latest usage report from a sidecar of this controller."""
        return self._usage.position

    def totals_since(self, position: int) -> UsageTotals:
        """Return the usage totals changed after a position, for other controllers."""
        return self._usage.totals_since(position)

    def shares_since(self, position: int) -> list[TenantShare]:
        """Return the admission ratios changed after a position, for sidecars."""
        newer = takewhile(lambda item: item[1][1] > position, reversed(self._shares.items()))
        return [TenantShare(permille, name) for name, (permille, _) in newer]

    def step(self) -> bool:
        """Recompute the admission ratios; return whether a published ratio has changed."""
        now = self._clock()
        elapsed = now - self._last_step_at
        self._last_step_at = now
        reporting_ratio = self._usage.reporting_ratio(now)
        position_before = self.shares_position
        limited = [tenant for tenant in self._tenants() if tenant.rate_per_second > 0]
        for tenant in limited:
            bucket = self._buckets.setdefault(tenant.name, QuotaBucket())
            permille = bucket.step(limit_of(tenant, reporting_ratio, self._slack), elapsed)
            if bucket.is_worth_sending(permille):
                self._set_ratio(tenant.name, bucket, permille)
        self._drop_unlimited({tenant.name for tenant in limited})
        return self.shares_position != position_before

    def _set_ratio(self, tenant: str, bucket: QuotaBucket, permille: int) -> None:
        bucket.published_permille = permille
        self.shares_position += 1
        self._shares[tenant] = (permille, self.shares_position)
        self._shares.move_to_end(tenant)

    def _drop_unlimited(self, limited_names: set[str]) -> None:
        """Drop the buckets of tenants without a limit, and reset their published ratios."""
        for name in [name for name in self._buckets if name not in limited_names]:
            bucket = self._buckets.pop(name)
            if bucket.published_permille != FULL_PERMILLE:
                self._set_ratio(name, bucket, FULL_PERMILLE)
