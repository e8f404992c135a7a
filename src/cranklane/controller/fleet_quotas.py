"""Holds tenants to their rates over the whole fleet.

Each controller adds up what its sidecars report, several times a second, and sends the others
its totals, so that every one of them knows the usage of the whole fleet with a delay of some
tenths of a second. From a token bucket for each tenant it works out the ratio of the tenant's
requests to admit, and sends it to its sidecars. A ratio, unlike a share of the rate for each
sidecar, fits however few requests come in at each of them.

Owns the buckets and the ratios in force; :mod:`tenant_usage` counts, :mod:`quota_bucket`
decides.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from itertools import takewhile

from cranklane.controller.quota_bucket import FULL_PERMILLE, QuotaBucket, limit_of
from cranklane.controller.tenant_usage import FleetCount, FleetUsage
from cranklane.records.messages import TenantShare, TenantUsage, UsageTotals
from cranklane.routes.tenants import Tenant

STEP_SECONDS = 0.1
"""Between two steps of all buckets: the delay of a total that passes three processes (sidecar,
controller, controller) stays below half of ``quota_bucket.LEVEL_SECONDS``."""


class FleetQuotas:
    """Ratios to admit of all tenants, as one controller works them out.

    :param own: this controller's name.
    :param clock: monotonic seconds.
    :param tenants: returns the tenants in force.
    :param fleet: returns how many sidecars there are.
    :param slack: requests of a tenant that may run beyond its limit in a window.
    :ivar shares_position: of the newest change of a ratio.
    """

    def __init__(
        self,
        own: str,
        clock: Callable[[], float],
        tenants: Callable[[], Iterable[Tenant]],
        fleet: Callable[[], FleetCount],
        slack: float = 0.0,
    ) -> None:
        self._clock = clock
        self._tenants = tenants
        self._slack = slack
        self._usage = FleetUsage(own, clock, fleet)
        self._stepped_at = clock()
        self._buckets: dict[str, QuotaBucket] = {}
        # In the order of their changes, so that a reader sees only what is new.
        self._shares: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.shares_position = 0

    # Usage.

    def take_usage(self, usage: Sequence[TenantUsage]) -> None:
        """Add a sidecar's report."""
        self._usage.take_usage(usage)
        self._fill(usage)

    def take_totals(self, totals: UsageTotals) -> None:
        """Add what another controller's totals show to be new."""
        self._fill(self._usage.take_totals(totals))

    def _fill(self, usage: Iterable[TenantUsage]) -> None:
        for item in usage:
            self._buckets.setdefault(item.tenant, QuotaBucket()).add(item)

    @property
    def position(self) -> int:
        """Position of the newest report of an own sidecar."""
        return self._usage.position

    def totals_since(self, position: int) -> UsageTotals:
        """Return the totals that have changed after a position, for other controllers."""
        return self._usage.totals_since(position)

    # Ratios.

    def shares_since(self, position: int) -> list[TenantShare]:
        """Return the ratios that have changed after a position, for sidecars."""
        newer = takewhile(lambda item: item[1][1] > position, reversed(self._shares.items()))
        return [TenantShare(permille, name) for name, (permille, _) in newer]

    def step(self) -> bool:
        """Work out the ratios anew; return whether one has changed."""
        now = self._clock()
        seconds = now - self._stepped_at
        self._stepped_at = now
        reporting_ratio = self._usage.reporting_ratio(now)
        before = self.shares_position
        limited = [tenant for tenant in self._tenants() if tenant.rate_per_second > 0]
        for tenant in limited:
            bucket = self._buckets.setdefault(tenant.name, QuotaBucket())
            permille = bucket.step(limit_of(tenant, reporting_ratio, self._slack), seconds)
            if bucket.is_worth_sending(permille):
                self._put(tenant.name, bucket, permille)
        self._drop_all_but({tenant.name for tenant in limited})
        return self.shares_position != before

    def _put(self, tenant: str, bucket: QuotaBucket, permille: int) -> None:
        bucket.permille = permille
        self.shares_position += 1
        self._shares[tenant] = (permille, self.shares_position)
        self._shares.move_to_end(tenant)

    def _drop_all_but(self, limited: set[str]) -> None:
        """Drop the buckets of tenants that have no limit any more."""
        for name in [name for name in self._buckets if name not in limited]:
            bucket = self._buckets.pop(name)
            if bucket.permille != FULL_PERMILLE:
                self._put(name, bucket, FULL_PERMILLE)
