"""Admits less where runs fail because the calls they need are refused.

A worker whose own calls fail deep in the call graph answers 500 or 504 after all
its work was done in vain. What helps the overloaded service is fewer requests at
the top of the tree, the least important first. Each sidecar sees how the runs of
its own worker end, so each adapts by itself: the part of a route's requests that it
admits falls by a factor while too many runs fail, and grows with time otherwise: fast
up to most of what was admitted before it fell, since a sudden fault may be over, and
slowly from there on.

How many failures are too many depends on the priority, so that the less important
routes have made room before the others are touched. A route that workers call is
left alone: refusing it would waste the trees that it belongs to. It is known by
where its requests begin: those of clients begin at machines of every service,
those of workers at machines of the service that calls it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

TOLERATED_FAILURES = (0.6, 0.35, 0.08)
"""Part of the runs that may fail, by priority from 0; the last holds beyond."""

LEAST_PART = 0.05
DECREASE = 0.6
"""Factor at which the admitted part falls when every run has failed."""

INCREASE = 0.08
"""Growth of the admitted part in a second when few runs have failed: by time, so
that a route with few requests is back as soon as others."""

INCREASE_FACTOR = 0.15
"""Further growth in a second, as a part of the admitted part."""

ROUND_SECONDS = 0.25
LEAST_DECREASE_SECONDS = 0.5
"""Between two decreases: the runs that were admitted before must have ended."""

FAST_INCREASE = 0.4
"""Growth in a second up to the known part of what was admitted before the fall."""

KNOWN_PART = 0.75
CEILING_FADE = 0.95
"""Factor on what was admitted before, for each decrease before it was reached again."""

LEAST_SAMPLES = 20
LONGEST_ROUND_SECONDS = 1.0
LEAST_FAILURES = 2

CALLER_SAMPLES = 40
"""Requests after which it is judged where a route's requests begin."""

ONE_CALLER_PART = 0.95
"""A route with this part of its requests from one service is called by workers."""


@dataclass(slots=True)
class _Level:
    """What is admitted of one route.

    :ivar part: admitted part of the requests, 0 to 1.
    :ivar credit: what is left over of the part; a request needs 1.
    :ivar ceiling: part admitted before it fell.
    :ivar decreased_at: when it fell last.
    :ivar round: counts the decreases; only runs begun since the last one count.
    :ivar callers: requests of the present sample by the service they began at.
    """

    tolerated: float
    begun_at: float
    part: float = 1.0
    credit: float = 1.0
    ceiling: float = 1.0
    decreased_at: float = -math.inf
    round: int = 0
    runs: int = 0
    failures: int = 0
    by_workers: bool = False
    seen: int = 0
    callers: dict[str, int] = field(default_factory=dict)


class OutcomeLimiter:
    """The admitted part of each route at one worker."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._levels: dict[str, _Level] = {}

    def part(self, route: str) -> float:
        """Return the admitted part of a route."""
        level = self._levels.get(route)
        return level.part if level is not None else 1.0

    def admits(self, route: str, priority: int, caller: str) -> bool:
        """Return whether a request may go on, and count it.

        :param caller: service of the machine at which the request began.
        """
        level = self._levels.get(route)
        if level is None:
            last = len(TOLERATED_FAILURES) - 1
            tolerated = TOLERATED_FAILURES[min(priority, last)]
            level = self._levels[route] = _Level(tolerated, self._clock())
        self._count_caller(level, caller)
        if level.part >= 1.0 or level.by_workers:
            return True
        level.credit = min(2.0, level.credit + level.part)
        if level.credit < 1.0:
            return False
        level.credit -= 1.0
        return True

    @staticmethod
    def _count_caller(level: _Level, caller: str) -> None:
        level.callers[caller] = level.callers.get(caller, 0) + 1
        level.seen += 1
        if level.seen >= CALLER_SAMPLES:
            most = max(level.callers.values())
            level.by_workers = most >= ONE_CALLER_PART * level.seen
            level.callers.clear()
            level.seen = 0

    def began(self, route: str) -> int:
        """Return the round that a run begins in, to be given back when it ends."""
        return self._levels[route].round

    def ended(self, route: str, begun_in: int, failed: bool) -> None:
        """Take how a run ended."""
        level = self._levels[route]
        if begun_in != level.round:
            # It tells of what was admitted before the last decrease.
            return
        level.runs += 1
        level.failures += failed
        age = self._clock() - level.begun_at
        if age >= ROUND_SECONDS and level.runs >= LEAST_SAMPLES or age >= LONGEST_ROUND_SECONDS:
            self._change(level)

    def _change(self, level: _Level) -> None:
        failing = level.failures / level.runs
        now = self._clock()
        if failing > level.tolerated and level.failures >= LEAST_FAILURES:
            if now - level.decreased_at >= LEAST_DECREASE_SECONDS:
                self._decrease(level, failing)
        else:
            self._increase(level, min(LONGEST_ROUND_SECONDS, now - level.begun_at))
        level.begun_at = now
        level.runs = 0
        level.failures = 0

    def _decrease(self, level: _Level, failing: float) -> None:
        known = level.part >= KNOWN_PART * level.ceiling
        level.ceiling = level.part if known else level.ceiling * CEILING_FADE
        level.part = max(LEAST_PART, level.part * (1 - DECREASE * failing))
        level.decreased_at = self._clock()
        level.round += 1

    @staticmethod
    def _increase(level: _Level, seconds: float) -> None:
        rate = INCREASE + INCREASE_FACTOR * level.part
        if level.part < KNOWN_PART * level.ceiling:
            rate = max(rate, FAST_INCREASE)
        level.part = min(1.0, level.part + seconds * rate)
