"""The ratio of a worker's runs that failed by the worker's own fault, as its sidecar sees it.

Runs that failed because a call they made failed do not count. The ratio travels to callers
with each answer, so one failed run warns all of them.
"""

from __future__ import annotations

SAMPLE_WEIGHT = 0.1
"""Weight of the newest run in the ratio. A choice: about the last ten runs count."""

HALF_LIFE_SECONDS = 3.0
"""Seconds in which the ratio halves without a run, so that callers try the worker again. A
choice: a worker that fails all its runs is avoided for some seconds."""


def decayed(ratio: float, age: float) -> float:
    """Return what a ratio that was reported some seconds ago counts as now.

    >>> decayed(0.8, 0.0), decayed(0.8, 3.0)
    (0.8, 0.4)
    """
    return ratio * 0.5 ** (age / HALF_LIFE_SECONDS)


class FaultRatio:
    """The smoothed ratio of runs that failed, 0 to 1."""

    def __init__(self) -> None:
        self._ratio = 0.0
        self._sampled_at = 0.0

    def sample(self, now: float, failed: bool) -> None:
        """Record how a run ended, at a monotonic second."""
        ratio = self.at(now)
        self._ratio = ratio + SAMPLE_WEIGHT * (failed - ratio)
        self._sampled_at = now

    def at(self, now: float) -> float:
        """Return the ratio at a monotonic second."""
        return decayed(self._ratio, now - self._sampled_at)
