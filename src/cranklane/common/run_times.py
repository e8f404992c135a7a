"""Estimates how long the requests of a route take at most, from those that have ended.

The estimate is the moving average plus a multiple of the mean deviation, as TCP computes its
retransmission timeout (RFC 6298).
"""

from __future__ import annotations

AVERAGE_WEIGHT = 1 / 8
"""Weight of the newest time in the average."""

DEVIATION_WEIGHT = 1 / 4
"""Weight of the newest deviation in the mean deviation."""

INITIAL_DEVIATION_FRACTION = 1 / 16
"""Mean deviation after the first request, as a fraction of its time."""

DEVIATIONS = 4
"""Mean deviations added to the average."""

MIN_ALLOWANCE_SECONDS = 0.05
"""Least time added to the average; covers the scheduling of processes."""

MAX_ROUTES = 4096
"""Routes with an estimate; beyond this limit all are cleared. Bounds memory."""


RunKey = tuple[str, str]
"""Names of a route and of the service that runs its requests: a route may change its service."""


class RunTimes:
    """Estimated longest time of the requests of each route and service, in seconds."""

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[RunKey, tuple[float, float]] = {}

    def record(self, key: RunKey, seconds: float) -> None:
        """Record the time that a request of a route took until its response was complete."""
        estimate = self._estimates.get(key)
        if estimate is None:
            if len(self._estimates) >= MAX_ROUTES:
                self._estimates.clear()
            self._estimates[key] = (seconds, seconds * INITIAL_DEVIATION_FRACTION)
            return
        average, deviation = estimate
        difference = seconds - average
        self._estimates[key] = (
            average + AVERAGE_WEIGHT * difference,
            deviation + DEVIATION_WEIGHT * (abs(difference) - deviation),
        )

    def longest(self, key: RunKey) -> float | None:
        """Return the longest time that a request of a route is expected to take; None if unknown.

        >>> times = RunTimes()
        >>> key = ("pay", "orders")
        >>> times.longest(key), times.record(key, 0.1), times.longest(key)
        (None, None, 0.15000000000000002)
        """
        estimate = self._estimates.get(key)
        if estimate is None:
            return None
        average, deviation = estimate
        return average + max(MIN_ALLOWANCE_SECONDS, DEVIATIONS * deviation)
