"""Holds tenants to their rates together with all other sidecars.

Control counts what all sidecars admit and says which fraction of a tenant's requests to admit
(``control/fleet_quotas.py``). The fraction is the same at each sidecar, however unevenly a
tenant's requests come in, and it is 1 for tenants below their rate. While control's last update
has expired, a sidecar uses its own even share of the rate: what it admits is not counted then.

Owns the counts of one sidecar since its last report. Relies on control's clock for nothing: the
age of an update is measured here, from when it was asked for.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from gevent.event import Event

from cranklane.records.messages import TenantShare, TenantUsage
from cranklane.routes.tenants import Tenant
from cranklane.sidecar.admission.even_fraction import EvenFraction
from cranklane.sidecar.admission.retry_after import ADMITTED_ALL_PERMILLE

UPDATE_SECONDS = 1.2
"""Age, in seconds, at which control's last update expires. A choice: twice the time between
heartbeats, so that one that is late changes nothing."""

OWN_SHARE_BURST = 3.0
"""Requests of a tenant that a sidecar without an update admits at once. At 60% of a limit, 71
sidecars and 26 requests/s of a tenant, fewer than 1 in 1,000 is refused in 2 s (Poisson
arrivals, worked out)."""


@dataclass(slots=True)
class _Account:
    """What this sidecar knows of one tenant.

    :ivar permille: fraction of its requests to admit, in thousandths.
    :ivar even: chooses the requests of the fraction.
    :ivar filled_at: monotonic second at which ``tokens`` were filled last.
    :ivar tokens: requests that the own share allows now, while there is no update.
    :ivar offered: requests since the last report.
    :ivar admitted: those of them that were admitted.
    :ivar returned: requests admitted that have not run, since the last report.
    """

    even: EvenFraction
    filled_at: float
    permille: int = ADMITTED_ALL_PERMILLE
    tokens: float = OWN_SHARE_BURST
    offered: int = 0
    admitted: int = 0
    returned: int = 0


class TenantQuota:
    """The tenants' rates at one sidecar.

    :param clock: monotonic seconds.
    :param fleet_size: returns how many sidecars there are.
    :ivar used: set while there is usage to report.
    """

    def __init__(
        self, clock: Callable[[], float], random: Random, fleet_size: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._random = random
        self._fleet_size = fleet_size
        self._accounts: dict[str, _Account] = {}
        self._updated_at = -math.inf
        self.used = Event()

    # Updates of control.

    def updated(self, asked_at: float) -> None:
        """Take that control has answered.

        :param asked_at: monotonic second at which it was asked.
        """
        self._updated_at = max(self._updated_at, asked_at)

    def take_shares(self, whole: bool, shares: list[TenantShare]) -> None:
        """Take the fractions of tenants' requests to admit.

        :param whole: whether all tenants that are not named are below their rates.
        """
        if whole:
            for account in self._accounts.values():
                account.permille = ADMITTED_ALL_PERMILLE
        for share in shares:
            self._account(share.tenant).permille = share.permille

    # Requests.

    def admits(self, tenant: Tenant) -> bool:
        """Return whether a request of a tenant is within its rate, and count it."""
        if tenant.rate_per_second <= 0:
            return True
        account = self._account(tenant.name)
        account.offered += 1
        self.used.set()
        if self._clock() - self._updated_at <= UPDATE_SECONDS:
            admitted = self._within_fraction(account)
        else:
            admitted = self._within_own_share(account, tenant)
        account.admitted += admitted
        return admitted

    def returned(self, tenant: str) -> None:
        """Take that a request that was admitted has not run."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.returned += 1
            self.used.set()

    def permille(self, tenant: str) -> int:
        """Return the fraction of a tenant's requests that is admitted, in thousandths."""
        account = self._accounts.get(tenant)
        return account.permille if account is not None else ADMITTED_ALL_PERMILLE

    @staticmethod
    def _within_fraction(account: _Account) -> bool:
        if account.permille >= ADMITTED_ALL_PERMILLE:
            return True
        return account.even.admits(account.permille / ADMITTED_ALL_PERMILLE)

    def _within_own_share(self, account: _Account, tenant: Tenant) -> bool:
        now = self._clock()
        rate = tenant.rate_per_second / max(1, self._fleet_size())
        account.tokens = min(OWN_SHARE_BURST, account.tokens + (now - account.filled_at) * rate)
        account.filled_at = now
        if account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            # A random start, so that not all sidecars refuse the same one of their requests.
            account = _Account(EvenFraction(self._random.random()), self._clock())
            self._accounts[name] = account
        return account

    def take_usage(self) -> list[TenantUsage]:
        """Return what has come since the last call, for control to count."""
        self.used.clear()
        usage = []
        for name, account in self._accounts.items():
            if account.offered or account.returned:
                usage.append(TenantUsage(account.offered, account.admitted, account.returned, name))
                account.offered = account.admitted = account.returned = 0
        return usage
