"""Slowness of workers: run time as a multiple of the route's expected latency.

Load does not reveal a slow worker in a lightly loaded service, since it has as few concurrent
requests as the others.
"""

from __future__ import annotations

from cranklane.common.run_times import RunKey

RISE_WEIGHT = 0.05
"""Weight of a run slower than expected in the moving average of a route's latency."""

FALL_WEIGHT = 0.1
"""Weight of a faster run. Larger than :data:`RISE_WEIGHT`, so that one slow worker among several
does not raise the expected latency."""

MIN_LATENCY_SECONDS = 0.001
"""Expected latency up to which run times are not compared, as process scheduling dominates."""

MAX_ROUTES = 4096
"""Routes with an expected latency; beyond this limit all are cleared. Bounds memory."""

SAMPLE_WEIGHT = 0.2
"""Weight of the newest run in the moving average of a worker's slowness."""

MAX_RATIO = 16.0
"""Cap on the ratio of a single run, so that a stuck run does not outweigh later good ones."""

HALF_LIFE_SECONDS = 6.0
"""Time in which slowness halves without runs. A longer half-life sends fewer requests to slow
workers, but delays the return of recovered ones."""

TOLERATED_SLOWNESS = 2.0
"""Multiple of the expected latency that is within the usual variation of machines and requests."""


def latency_ratio(expected: float, seconds: float) -> float:
    """Return a run time as a multiple of the expected latency; 1 if that is unknown or tiny.

    >>> latency_ratio(0.1, 0.4), latency_ratio(0.0, 0.4)
    (4.0, 1.0)
    """
    return seconds / expected if expected > MIN_LATENCY_SECONDS else 1.0


def decayed_slowness(slowness: float, age: float) -> float:
    """Return the value of a slowness ``age`` seconds after it was sampled.

    >>> decayed_slowness(5.0, 0.0), decayed_slowness(5.0, 6.0), decayed_slowness(1.5, 6.0)
    (5.0, 3.0, 1.5)
    """
    if slowness < TOLERATED_SLOWNESS:
        return slowness
    return 1.0 + (slowness - 1.0) * 0.5 ** (age / HALF_LIFE_SECONDS)


class ExpectedLatencies:
    """Moving average of the latency of each route at each service over all workers, in seconds."""

    def __init__(self) -> None:
        self._expected: dict[RunKey, float] = {}

    def of(self, key: RunKey) -> float:
        """Return the expected latency in seconds; 0 if unknown."""
        return self._expected.get(key, 0.0)

    def ratio(self, key: RunKey, seconds: float) -> float:
        """Return a run time as a multiple of the expected latency, and update the latter.

        >>> latencies, key = ExpectedLatencies(), ("pay", "orders")
        >>> latencies.ratio(key, 0.1), round(latencies.ratio(key, 0.4), 3)
        (1.0, 4.0)
        """
        expected = self._expected.get(key)
        if expected is None:
            if len(self._expected) >= MAX_ROUTES:
                self._expected.clear()
            expected = seconds
        weight = RISE_WEIGHT if seconds > expected else FALL_WEIGHT
        self._expected[key] = expected + weight * (seconds - expected)
        return latency_ratio(expected, seconds)


class Slowness:
    """Exponentially weighted slowness of one worker; 1 means as fast as expected."""

    __slots__ = ("_slowness", "_sampled_at")

    def __init__(self) -> None:
        self._slowness = 1.0
        self._sampled_at = 0.0

    def sample(self, now: float, ratio: float) -> None:
        """Record the latency ratio of a run at a monotonic second."""
        current = self.at(now)
        self._slowness = current + SAMPLE_WEIGHT * (min(ratio, MAX_RATIO) - current)
        self._sampled_at = now

    def at(self, now: float) -> float:
        """Return the slowness at a monotonic second."""
        return decayed_slowness(self._slowness, now - self._sampled_at)
