"""Enforces fleet-wide tenant rate limits at one sidecar.

Control aggregates the usage of all sidecars and distributes the fraction of each tenant's requests
to admit (``controller/fleet_quotas.py``): 1 for tenants below their rate, and the same at every
sidecar regardless of how a tenant's requests are distributed. After the last update has expired, a
sidecar falls back to a token bucket with an equal share of the rate.

The age of an update is measured on the local clock from the time of the request to control, so no
clock synchronization is needed.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from gevent.event import Event

from cranklane.records.messages import TenantShare, TenantUsage
from cranklane.routes.tenants import Tenant
from cranklane.sidecar.admission.fraction_sampler import FractionSampler
from cranklane.sidecar.admission.retry_after import ADMITTED_ALL_PERMILLE

UPDATE_TTL_SECONDS = 1.2
"""Age at which control's last update expires: two heartbeat intervals, to tolerate a late one."""

LOCAL_SHARE_BURST = 3.0
"""Token bucket capacity per tenant in the fallback, in requests. At 60% of a limit, with 71
sidecars and 26 requests/s of a tenant, fewer than 1 in 1,000 is refused in 2 s."""


@dataclass(slots=True)
class _Account:
    """Quota state of one tenant at this sidecar.

    :ivar sampler: selects the admitted requests.
    :ivar filled_at: monotonic time of the last token refill, in seconds.
    :ivar permille: fraction of its requests to admit, in thousandths.
    :ivar tokens: requests that the token bucket allows in the fallback.
    :ivar offered: requests received since the last report.
    :ivar admitted: requests admitted since the last report.
    :ivar returned: admitted requests that did not run, since the last report.
    """

    sampler: FractionSampler
    filled_at: float
    permille: int = ADMITTED_ALL_PERMILLE
    tokens: float = LOCAL_SHARE_BURST
    offered: int = 0
    admitted: int = 0
    returned: int = 0


class TenantQuota:
    """Admits tenants' requests within their rates.

    :param clock: monotonic seconds.
    :param fleet_size: returns the number of sidecars.
    :ivar usage_pending: set while there is usage to report.
    """

    def __init__(
        self, clock: Callable[[], float], random: Random, fleet_size: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._random = random
        self._fleet_size = fleet_size
        self._accounts: dict[str, _Account] = {}
        self._updated_at = -math.inf
        self.usage_pending = Event()

    # Updates from control.

    def updated(self, asked_at: float) -> None:
        """Record a response from control, which renews the validity of the fractions.

        :param asked_at: monotonic time of the request to control, in seconds.
        """
        self._updated_at = max(self._updated_at, asked_at)

    def take_shares(self, whole: bool, shares: list[TenantShare]) -> None:
        """Apply an update of the fractions of tenants' requests to admit.

        :param whole: whether the list is complete; tenants missing from it are below their rates.
        """
        if whole:
            for account in self._accounts.values():
                account.permille = ADMITTED_ALL_PERMILLE
        for share in shares:
            self._account(share.tenant).permille = share.permille

    # Admission of requests.

    def admits(self, tenant: Tenant) -> bool:
        """Return whether to admit a tenant's request, and count it."""
        if tenant.rate_per_second <= 0:
            return True
        account = self._account(tenant.name)
        account.offered += 1
        self.usage_pending.set()
        if self._clock() - self._updated_at <= UPDATE_TTL_SECONDS:
            admitted = self._within_fraction(account)
        else:
            admitted = self._within_local_share(account, tenant)
        account.admitted += admitted
        return admitted

    def returned(self, tenant: str) -> None:
        """Record that an admitted request did not run."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.returned += 1
            self.usage_pending.set()

    def permille(self, tenant: str) -> int:
        """Return the admitted fraction of a tenant's requests, in thousandths."""
        account = self._accounts.get(tenant)
        return account.permille if account is not None else ADMITTED_ALL_PERMILLE

    @staticmethod
    def _within_fraction(account: _Account) -> bool:
        if account.permille >= ADMITTED_ALL_PERMILLE:
            return True
        return account.sampler.admits(account.permille / ADMITTED_ALL_PERMILLE)

    def _within_local_share(self, account: _Account, tenant: Tenant) -> bool:
        now = self._clock()
        rate = tenant.rate_per_second / max(1, self._fleet_size())
        account.tokens = min(LOCAL_SHARE_BURST, account.tokens + (now - account.filled_at) * rate)
        account.filled_at = now
        if account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            # Random initial credit, so that sidecars do not refuse in lockstep.
            account = _Account(FractionSampler(self._random.random()), self._clock())
            self._accounts[name] = account
        return account

    def take_usage(self) -> list[TenantUsage]:
        """Return the usage since the last call, for the report to control, and reset it."""
        self.usage_pending.clear()
        usage = []
        for name, account in self._accounts.items():
            if account.offered or account.returned:
                usage.append(TenantUsage(account.offered, account.admitted, account.returned, name))
                account.offered = account.admitted = account.returned = 0
        return usage
