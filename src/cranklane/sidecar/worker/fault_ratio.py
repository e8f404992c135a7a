"""Moving average of the runs that failed by the worker's own fault.

Runs that failed because a call made by them failed are not counted as failed.
"""

from __future__ import annotations

SAMPLE_WEIGHT = 0.1
"""Weight of the newest run in the moving average. About the last ten runs count."""

HALF_LIFE_SECONDS = 3.0
"""Time in which the ratio halves without runs, so that callers try the worker again. A worker that
fails all its runs is avoided for some seconds."""


def decayed(ratio: float, age: float) -> float:
    """Return the value of a ratio ``age`` seconds after it was sampled.

    >>> decayed(0.8, 0.0), decayed(0.8, 3.0)
    (0.8, 0.4)
    """
    return ratio * 0.5 ** (age / HALF_LIFE_SECONDS)


class FaultRatio:
    """Exponentially weighted ratio of failed runs, 0 to 1."""

    def __init__(self) -> None:
        self._ratio = 0.0
        self._sampled_at = 0.0

    def sample(self, now: float, failed: bool) -> None:
        """Record the end of a run at a monotonic second."""
        ratio = self.at(now)
        self._ratio = ratio + SAMPLE_WEIGHT * (failed - ratio)
        self._sampled_at = now

    def at(self, now: float) -> float:
        """Return the ratio at a monotonic second."""
        return decayed(self._ratio, now - self._sampled_at)
