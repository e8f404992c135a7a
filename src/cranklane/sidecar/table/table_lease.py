"""Decides how long the route table in force here may be trusted to be the newest.

A key that an operator has revoked must run nowhere after a stated time, also at a sidecar that
is cut off from control. So requests with a key are served only while a controller has confirmed
recently enough that no newer table is in force. What counts is the moment at which the
confirmation was asked for: its answer may have been under way for long.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from cranklane.sidecar.table.adopted_table import AdoptedTable

CLOCK_MARGIN = 0.05
"""Fraction of the time after which a revocation must hold that is kept in reserve. A choice: the
steady clocks of two machines differ in rate by far less."""


class TableLease:
    """Freshness of the route table of one sidecar.

    :param clock: monotonic seconds.
    :param revocation_seconds: after its acknowledgement, a revocation must hold everywhere
        after these seconds; 0: it need not hold at sidecars that are out of touch.
    """

    def __init__(self, clock: Callable[[], float], revocation_seconds: float) -> None:
        self._clock = clock
        self._seconds = revocation_seconds * (1 - CLOCK_MARGIN)
        self._newest_at = -math.inf
        self._pending_at = -math.inf
        self._pending_revision = 0

    def confirmed(self, newest_at: float, revision: int, in_force: int) -> None:
        """Record that a revision was the newest at a moment of this process's clock.

        :param newest_at: that moment, in monotonic seconds.
        :param revision: the revision that was confirmed.
        :param in_force: the revision in force here; an older one waits for :meth:`adopted`.
        """
        if in_force >= revision:
            self._newest_at = max(self._newest_at, newest_at)
        elif newest_at >= self._pending_at:
            self._pending_at = newest_at
            self._pending_revision = revision

    def adopted(self, revision: int) -> None:
        """Record that a revision is in force here now."""
        if revision >= self._pending_revision:
            self._newest_at = max(self._newest_at, self._pending_at)

    @property
    def age(self) -> float:
        """Seconds since the table in force was certainly the newest."""
        return self._clock() - self._newest_at

    @property
    def holds(self) -> bool:
        """Whether requests with a key may be served."""
        return self._seconds <= 0 or self.age <= self._seconds


class TableLeaseLog:
    """Logs when requests with a key begin or cease to be served."""

    def __init__(self, lease: TableLease, table: AdoptedTable, log: Any) -> None:
        self._lease = lease
        self._table = table
        self._log = log
        self._held = True

    def check(self) -> None:
        """Log a change since the last check; nothing where no request needs a key."""
        holds = self._lease.holds
        table = self._table.table
        if holds == self._held or table.tenants is None:
            return
        self._held = holds
        event = "table_lease_regained" if holds else "table_lease_lost"
        self._log.warning(event, table=table.version, age=round(self._lease.age, 2))
