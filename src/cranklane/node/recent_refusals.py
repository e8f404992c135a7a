"""Tracks the criticality of recently refused calls.

Each answer reports it to the caller, which then refuses such calls early
(:mod:`~cranklane.node.early_refusal`).
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.outcome import Criticality

RECENT_REFUSAL_SECONDS = 1.0
"""Seconds for which a refusal is reported to callers; longer than the gap between two refusals
in an overload."""


class RecentRefusals:
    """Time of the latest refusal by tenant and criticality.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._refused_at: dict[tuple[str, Criticality], float] = {}

    def record(self, tenant: str, criticality: Criticality) -> None:
        """Record a refused call."""
        self._refused_at[tenant, criticality] = self._clock()

    def refused_below(self, tenant: str) -> int:
        """Return one more than the highest criticality recently refused to a tenant, or 0.

        >>> recent = RecentRefusals(lambda: 5.0)
        >>> recent.record("t", Criticality.NORMAL)
        >>> recent.refused_below("t"), recent.refused_below("other")
        (3, 0)
        """
        oldest = self._clock() - RECENT_REFUSAL_SECONDS
        levels = [
            level + 1
            for level in Criticality
            if self._refused_at.get((tenant, level), oldest) > oldest
        ]
        return max(levels, default=0)
