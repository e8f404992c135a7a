"""How slow a worker is against others of its service.

Load alone tells little of a worker that is slow while there is not much to do: it has
few requests at once, like the others, but each of them takes long.
"""

from __future__ import annotations

RISE_WEIGHT = 0.05
FALL_WEIGHT = 0.1
"""Weights of a new time in a route's typical one. It falls faster than it rises, so
that one slow worker among several does not pass for typical."""

MIN_LATENCY_SECONDS = 0.001
MAX_ROUTES = 4096
"""Routes whose typical times are kept; beyond that all are learnt anew."""

SAMPLE_WEIGHT = 0.2
MAX_RATIO = 16.0

HALF_LIFE_SECONDS = 6.0
"""A worker that is asked no more counts as half as slow after this long, so that it
is tried again."""

TOLERATED = 2.0
"""Up to this many times the typical time is usual: speeds and requests differ."""


def ratio_to(typical: float, seconds: float) -> float:
    """Return how many times the typical time a run took; 1 where none is known.

    >>> ratio_to(0.1, 0.4), ratio_to(0.0, 0.4)
    (4.0, 1.0)
    """
    return seconds / typical if typical > MIN_LATENCY_SECONDS else 1.0


def faded_slowness(ratio: float, age: float) -> float:
    """Return what a ratio learnt some seconds ago counts as now.

    >>> faded_slowness(5.0, 0.0), faded_slowness(5.0, 6.0), faded_slowness(1.5, 6.0)
    (5.0, 3.0, 1.5)
    """
    if ratio < TOLERATED:
        return ratio
    return 1.0 + (ratio - 1.0) * 0.5 ** (age / HALF_LIFE_SECONDS)


class ExpectedLatencies:
    """The typical time of a run of each route, over all workers."""

    def __init__(self) -> None:
        self._typical: dict[str, float] = {}

    def of(self, route: str) -> float:
        """Return a route's typical seconds, 0 when none is known."""
        return self._typical.get(route, 0.0)

    def ratio(self, route: str, seconds: float) -> float:
        """Return how many times the typical time a run took, and learn from it.

        >>> times = ExpectedLatencies()
        >>> times.ratio("r", 0.1), round(times.ratio("r", 0.4), 3)
        (1.0, 4.0)
        """
        typical = self._typical.get(route)
        if typical is None:
            if len(self._typical) >= MAX_ROUTES:
                self._typical.clear()
            typical = seconds
        weight = RISE_WEIGHT if seconds > typical else FALL_WEIGHT
        self._typical[route] = typical + weight * (seconds - typical)
        return ratio_to(typical, seconds)


class Slowness:
    """One worker's times against the typical ones, smoothed."""

    __slots__ = ("_ratio", "_at")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._at = 0.0

    def sample(self, now: float, ratio: float) -> None:
        """Take one run's time as a multiple of the typical one."""
        current = self.ratio(now)
        self._ratio = current + SAMPLE_WEIGHT * (min(ratio, MAX_RATIO) - current)
        self._at = now

    def ratio(self, now: float) -> float:
        """Return the smoothed multiple; 1 without news."""
        return faded_slowness(self._ratio, now - self._at)
