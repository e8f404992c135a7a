"""Admits less where runs fail because the calls they need are refused.

A worker whose own calls fail deep in the call graph answers 500 or 504 after all
its work was done in vain. What helps the overloaded service is fewer requests at
the top of the tree, the least important first. Each sidecar sees how the runs of
its own worker end, so each adapts by itself: the part of the requests that it
admits falls by a factor while too many runs fail, and grows by steps otherwise.
How many failures are too many depends on the priority, so that the less important
requests have made room before the others are touched.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

TOLERATED_FAILURES = (0.6, 0.35, 0.04)
"""Part of the runs that may fail, by priority from 0; the last holds beyond."""

LEAST_PART = 0.05
DECREASE = 0.6
"""Factor at which the admitted part falls when every run has failed."""

INCREASE = 0.04
ROUND_SECONDS = 0.25
LEAST_SAMPLES = 6
LONGEST_ROUND_SECONDS = 2.0


@dataclass(slots=True)
class _Level:
    """What is admitted of one priority.

    :ivar part: admitted part of the requests, 0 to 1.
    :ivar credit: what is left over of the part; a request needs 1.
    :ivar round: counts the changes; only runs begun since the last one count.
    """

    tolerated: float
    part: float = 1.0
    credit: float = 1.0
    round: int = 0
    begun_at: float = 0.0
    runs: int = 0
    failures: int = 0


class OutcomeLimiter:
    """The admitted part of each priority at one worker."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._levels: dict[int, _Level] = {}

    def _level(self, priority: int) -> _Level:
        level = self._levels.get(priority)
        if level is None:
            last = len(TOLERATED_FAILURES) - 1
            level = _Level(TOLERATED_FAILURES[min(priority, last)], begun_at=self._clock())
            self._levels[priority] = level
        return level

    def part(self, priority: int) -> float:
        """Return the admitted part of a priority."""
        return self._level(priority).part

    def admits(self, priority: int) -> bool:
        """Return whether a request may go on, and count it."""
        level = self._level(priority)
        if level.part >= 1.0:
            return True
        level.credit = min(2.0, level.credit + level.part)
        if level.credit < 1.0:
            return False
        level.credit -= 1.0
        return True

    def began(self, priority: int) -> int:
        """Return the round that a run begins in, to be given back when it ends."""
        return self._level(priority).round

    def ended(self, priority: int, begun_in: int, failed: bool) -> None:
        """Take how a run ended."""
        level = self._level(priority)
        if begun_in != level.round:
            # It tells of what was admitted before the last change.
            return
        level.runs += 1
        level.failures += failed
        age = self._clock() - level.begun_at
        enough = level.runs >= LEAST_SAMPLES or age >= LONGEST_ROUND_SECONDS
        if age >= ROUND_SECONDS and enough:
            self._change(level)

    def _change(self, level: _Level) -> None:
        failing = level.failures / level.runs
        if failing > level.tolerated:
            level.part = max(LEAST_PART, level.part * (1 - DECREASE * failing))
            level.round += 1
        else:
            level.part = min(1.0, level.part + INCREASE)
        level.begun_at = self._clock()
        level.runs = 0
        level.failures = 0
