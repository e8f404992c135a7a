"""Lease on the route table: decides whether it is fresh enough to authenticate requests by key.

A revoked key must be rejected everywhere after a configured time, even at a sidecar that is cut
off from control. Requests with a key are therefore served only if a controller has recently
confirmed the table as the newest. The lease starts when the confirmation was requested, because
its response may be delayed.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from cranklane.sidecar.table.adopted_table import AdoptedTable

CLOCK_MARGIN_FRACTION = 0.05
"""Fraction of the revocation time kept in reserve for clocks that run at different rates. Steady
clocks of two machines differ in rate by far less."""


class TableLease:
    """Freshness of the route table of one sidecar.

    :param clock: returns monotonic seconds.
    :param revocation_seconds: time after which an acknowledged revocation must be in effect
        everywhere; 0 exempts sidecars without contact to control.
    """

    def __init__(self, clock: Callable[[], float], revocation_seconds: float) -> None:
        self._clock = clock
        self._lease_seconds = revocation_seconds * (1 - CLOCK_MARGIN_FRACTION)
        self._newest_at = -math.inf
        self._pending_at = -math.inf
        self._pending_revision = 0

    def confirmed(self, newest_at: float, revision: int, in_force: int) -> None:
        """Record that a controller confirmed a revision as the newest.

        :param newest_at: monotonic second at which it certainly was the newest.
        :param revision: confirmed revision.
        :param in_force: revision in force here; if it is older, the confirmation takes effect
            with :meth:`adopted`.
        """
        if in_force >= revision:
            self._newest_at = max(self._newest_at, newest_at)
        elif newest_at >= self._pending_at:
            self._pending_at = newest_at
            self._pending_revision = revision

    def adopted(self, revision: int) -> None:
        """Record that a revision came into force here."""
        if revision >= self._pending_revision:
            self._newest_at = max(self._newest_at, self._pending_at)

    @property
    def age(self) -> float:
        """Seconds since the table in force was last confirmed as the newest."""
        return self._clock() - self._newest_at

    @property
    def is_valid(self) -> bool:
        """Whether requests with a key may be served."""
        return self._lease_seconds <= 0 or self.age <= self._lease_seconds


class TableLeaseLog:
    """Logs when the lease is lost or regained."""

    def __init__(self, lease: TableLease, table: AdoptedTable, log: Any) -> None:
        self._lease = lease
        self._table = table
        self._log = log
        self._was_valid = True

    def check(self) -> None:
        """Log a change since the last check, unless the table has no tenants."""
        is_valid = self._lease.is_valid
        table = self._table.table
        if is_valid == self._was_valid or table.tenants is None:
            return
        self._was_valid = is_valid
        event = "table_lease_regained" if is_valid else "table_lease_lost"
        self._log.warning(event, table=table.version, age=round(self._lease.age, 2))
