"""Fraction of the requests to each service that its workers refuse without running them.

For services whose workers refuse at random and for seconds at a time. Each sidecar knows what it
has seen itself, so that a restarted one starts with 0.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import exp, inf

TIME_CONSTANT_SECONDS = 0.35
"""Time in which the weight of an arrival falls to 37%. After a change, 94% of the difference is
followed within a second."""

PRIOR_ARRIVALS = 0.5
"""Arrivals that count as accepted before the first one."""

FORGET_SECONDS = 1.0
"""Time without a refusal after which a service counts as recovered, even if it gets none."""


@dataclass(slots=True)
class _Service:
    """Decayed numbers of arrivals and refusals. Times are monotonic seconds.

    :ivar counted_at: time of the last arrival.
    :ivar refused_at: time of the last refusal.
    """

    counted_at: float
    refused_at: float = -inf
    arrivals: float = 0.0
    refused: float = 0.0


class RefusedFractions:
    """Refused fraction of each service as seen at this sidecar.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._services: dict[str, _Service] = {}

    def record(self, service: str, refused: bool) -> None:
        """Count a request that reached a worker of a service."""
        now = self._clock()
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _Service(now)
        kept = exp((counts.counted_at - now) / TIME_CONSTANT_SECONDS)
        counts.counted_at = now
        counts.arrivals = counts.arrivals * kept + 1.0
        counts.refused = counts.refused * kept + refused
        if refused:
            counts.refused_at = now

    def of(self, service: str) -> float:
        """Return the fraction of a service, from 0 to 1.

        >>> now = 5.0
        >>> fractions = RefusedFractions(lambda: now)
        >>> for number in range(20):
        ...     fractions.record("stock", refused=number % 2 == 0)
        >>> round(fractions.of("stock"), 2), fractions.of("price")
        (0.49, 0.0)
        >>> now = 6.5
        >>> fractions.of("stock")
        0.0
        """
        counts = self._services.get(service)
        if counts is None or self._clock() - counts.refused_at > FORGET_SECONDS:
            return 0.0
        return counts.refused / (counts.arrivals + PRIOR_ARRIVALS)
