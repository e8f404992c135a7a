"""Remembers which criticality was refused lately.

Callers get it with each answer and refuse such calls themselves
(:mod:`~cranklane.node.early_refusal`).
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.outcome import Criticality

MEMORY_SECONDS = 1.0
"""Seconds for which a refusal is reported to callers. A choice: an overload lasts longer than
the gap between two refusals."""


class RefusalMemory:
    """The newest refusal of each tenant's calls, by criticality.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._refused_at: dict[tuple[str, Criticality], float] = {}

    def refused(self, tenant: str, criticality: Criticality) -> None:
        """Take that a call was refused."""
        self._refused_at[tenant, criticality] = self._clock()

    def refused_below(self, tenant: str) -> int:
        """Return one more than the highest criticality refused lately, or 0.

        >>> memory = RefusalMemory(lambda: 5.0)
        >>> memory.refused("t", Criticality.NORMAL)
        >>> memory.refused_below("t"), memory.refused_below("other")
        (3, 0)
        """
        oldest = self._clock() - MEMORY_SECONDS
        levels = [
            level + 1
            for level in Criticality
            if self._refused_at.get((tenant, level), oldest) > oldest
        ]
        return max(levels, default=0)
