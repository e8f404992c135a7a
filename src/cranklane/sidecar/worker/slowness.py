"""How slow a worker is, as a multiple of the latency that is expected of each route.

Load alone does not show a slow worker while there is little to do: it has few requests at
once, like the others, but each of them takes long.
"""

from __future__ import annotations

RISE_WEIGHT = 0.05
"""Weight of a longer time in a route's expected latency. A choice, as below."""

FALL_WEIGHT = 0.1
"""Weight of a shorter time. A choice: the expected latency falls faster than it rises, so that one
slow worker among several does not raise what is expected of all."""

MIN_LATENCY_SECONDS = 0.001
"""Expected seconds up to which times are not compared. A choice: below a millisecond the
scheduling of processes decides, not the worker."""

MAX_ROUTES = 4096
"""Routes whose expected latencies are kept; beyond that all are learnt anew. A choice that bounds
memory: a few hundred bytes each."""

SAMPLE_WEIGHT = 0.2
"""Weight of the newest run in a worker's slowness. With 0.2 and a half-life of 3 s, 3.6% of
requests went to slow workers; with 0.1 and 2 s it was 6.5% (model of 195 callers of 93 workers,
15% of them five times slower, each request to workers drawn anew)."""

MAX_RATIO = 16.0
"""Largest multiple of one run that counts. A choice: a single stuck run must not outweigh the
good runs that follow it."""

HALF_LIFE_SECONDS = 6.0
"""Seconds in which slowness halves without a run, so that the worker is tried again. Requests to
slow workers in that model, with subsets of 16 workers for each caller: 3.51% with 4 s, 1.50% with
6 s, 0.52% with 8 s. A choice of 6 s: the longer, the later a recovered worker is used again."""

TOLERATED = 2.0
"""Multiple of the expected latency that counts as usual. A choice: machines and requests differ
by about as much."""


def ratio_to(expected: float, seconds: float) -> float:
    """Return a run's time as a multiple of the expected latency; 1 where none is known.

    >>> ratio_to(0.1, 0.4), ratio_to(0.0, 0.4)
    (4.0, 1.0)
    """
    return seconds / expected if expected > MIN_LATENCY_SECONDS else 1.0


def decayed_slowness(slowness: float, age: float) -> float:
    """Return what a slowness that was learnt some seconds ago counts as now.

    >>> decayed_slowness(5.0, 0.0), decayed_slowness(5.0, 6.0), decayed_slowness(1.5, 6.0)
    (5.0, 3.0, 1.5)
    """
    if slowness < TOLERATED:
        return slowness
    return 1.0 + (slowness - 1.0) * 0.5 ** (age / HALF_LIFE_SECONDS)


class ExpectedLatencies:
    """The expected latency of each route, over all workers, in seconds."""

    def __init__(self) -> None:
        self._expected: dict[str, float] = {}

    def of(self, route: str) -> float:
        """Return a route's expected seconds, 0 when none are known."""
        return self._expected.get(route, 0.0)

    def ratio(self, route: str, seconds: float) -> float:
        """Return a run's time as a multiple of what was expected, and learn from it.

        >>> latencies = ExpectedLatencies()
        >>> latencies.ratio("r", 0.1), round(latencies.ratio("r", 0.4), 3)
        (1.0, 4.0)
        """
        expected = self._expected.get(route)
        if expected is None:
            if len(self._expected) >= MAX_ROUTES:
                self._expected.clear()
            expected = seconds
        weight = RISE_WEIGHT if seconds > expected else FALL_WEIGHT
        self._expected[route] = expected + weight * (seconds - expected)
        return ratio_to(expected, seconds)


class Slowness:
    """The smoothed slowness of one worker; 1 is as expected."""

    __slots__ = ("_slowness", "_sampled_at")

    def __init__(self) -> None:
        self._slowness = 1.0
        self._sampled_at = 0.0

    def sample(self, now: float, ratio: float) -> None:
        """Record one run's time as a multiple of the expected latency, at a monotonic second."""
        current = self.at(now)
        self._slowness = current + SAMPLE_WEIGHT * (min(ratio, MAX_RATIO) - current)
        self._sampled_at = now

    def at(self, now: float) -> float:
        """Return the slowness at a monotonic second."""
        return decayed_slowness(self._slowness, now - self._sampled_at)
