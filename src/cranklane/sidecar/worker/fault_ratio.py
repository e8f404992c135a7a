"""The part of a worker's runs that it failed by itself, as its own sidecar sees them.

Every answer tells it to the asking sidecars, so that one run that failed warns all of
them. Runs that failed since a call they made failed do not count.
"""

from __future__ import annotations

SAMPLE_WEIGHT = 0.1
HALF_LIFE_SECONDS = 3.0
"""Without news the part halves in this time, so that the worker is tried again."""


def faded(ratio: float, age: float) -> float:
    """Return what a part told some seconds ago counts as now.

    >>> faded(0.8, 0.0), faded(0.8, 3.0)
    (0.8, 0.4)
    """
    return ratio * 0.5 ** (age / HALF_LIFE_SECONDS)


class FaultRatio:
    """The smoothed part of runs that failed, 0 to 1."""

    def __init__(self) -> None:
        self._ratio = 0.0
        self._at = 0.0

    def sample(self, now: float, failed: bool) -> None:
        """Take how a run ended."""
        ratio = self.at(now)
        self._ratio = ratio + SAMPLE_WEIGHT * (failed - ratio)
        self._at = now

    def at(self, now: float) -> float:
        """Return the part now."""
        return faded(self._ratio, now - self._at)
