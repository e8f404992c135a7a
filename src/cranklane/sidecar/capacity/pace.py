"""Relative run time of workers that share machines: the current run time against the usual one.

Made for slow periods of some tenths of a second to a few seconds, in which a worker takes a few
times as long as usual and which come and go many times a minute. The worker states its relative
run time with its answers. Its own sidecar keeps the figure and repeats it to callers, with the
time since it changed; both use it until the period is presumably over.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from cranklane.sidecar.worker.instances import NO_INSTANCE, WorkerInstance
from cranklane.sidecar.worker.load_header import USUAL_RUN_TIME_PERCENT
from cranklane.sidecar.worker.slowness import MAX_RATIO

MIN_SLOW_FACTOR = 1.25
"""Relative run time from which a period is slow. Smaller ones are within the usual variation."""

INITIAL_PERIOD_SECONDS = 0.5
"""Expected length of a slow period before one has been observed."""

MIN_PERIOD_SECONDS = 0.05
"""Shortest expected length. Shorter periods are over before a caller can avoid them."""

MAX_PERIOD_SECONDS = 5.0
"""Longest slow period. A figure that is stated for longer is not that of a passing period, or it is
false: it no longer counts, and the worker is judged by its run times alone."""

LENGTH_WEIGHT = 0.25
"""Weight of the newest period in the expected length."""

HELD_LENGTHS = 1.2
"""Expected lengths for which a figure holds from the start of its period. Half of the periods are
longer than expected; with 1.0, 4.6% of the runs of the replay began in a slow period, with 1.2
3.6%, with 1.5 as many, and idle workers returned later."""

RESTATED_LENGTHS = 0.25
"""Expected lengths for which a figure holds at least, from its last statement."""


class PeriodLength:
    """Expected length of slow periods, learned from the periods that have ended.

    :ivar seconds: expected length.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = INITIAL_PERIOD_SECONDS

    def ended(self, shortest: float, longest: float) -> None:
        """Learn from a period whose end was not observed exactly; ignored if it was too long.

        :param shortest: seconds from its start to the last sign of it.
        :param longest: seconds from its start to the first sign of its end.

        >>> length = PeriodLength()
        >>> length.ended(0.2, 3.0), length.seconds
        (None, 0.5)
        >>> length.ended(0.9, 1.0), length.seconds
        (None, 0.6)
        """
        if shortest > min(longest, MAX_PERIOD_SECONDS):
            return
        target = min(max(self.seconds, shortest), longest)
        seconds = self.seconds + LENGTH_WEIGHT * (target - self.seconds)
        self.seconds = min(MAX_PERIOD_SECONDS, max(MIN_PERIOD_SECONDS, seconds))


class Pace:
    """Relative run time of one worker, from what was stated of it.

    :param length: expected length of its slow periods; may be shared by several workers.
    :ivar factor: newest relative run time, 1 if it is usual or not stated.
    :ivar until: monotonic second until which ``factor`` holds.
    :ivar since: monotonic second at which the present period began, slow or usual.
    :ivar stated_at: monotonic second of the newest statement.
    """

    __slots__ = ("_length", "factor", "until", "since", "stated_at")

    def __init__(self, length: PeriodLength) -> None:
        self._length = length
        self.factor = 1.0
        self.until = -math.inf
        self.since = -math.inf
        self.stated_at = -math.inf

    def state(self, now: float, factor: float, since: float) -> None:
        """Apply a statement.

        :param since: monotonic second at which the period of this figure began, as far as known.
        """
        if self.factor > 1.0 and factor <= 1.0:
            self._length.ended(self.stated_at - self.since, since - self.since)
        self.factor, self.since, self.stated_at = factor, since, now
        if factor > 1.0:
            expected = self._length.seconds
            until = max(since + HELD_LENGTHS * expected, now + RESTATED_LENGTHS * expected)
            self.until = min(until, since + MAX_PERIOD_SECONDS)

    def at(self, now: float) -> float:
        """Return the relative run time at a monotonic second, 1 if none is known."""
        return self.factor if now < self.until else 1.0


def factor_of(percent: int) -> float:
    """Return the relative run time that counts for a stated percentage.

    A figure below the usual one counts as usual: a false one would attract all requests.

    >>> [factor_of(percent) for percent in (250, 110, 1, 10_000)]
    [2.5, 1.0, 1.0, 16.0]
    """
    factor = percent / USUAL_RUN_TIME_PERCENT
    return min(factor, MAX_RATIO) if factor >= MIN_SLOW_FACTOR else 1.0


class PaceChange(NamedTuple):
    """A change of the relative run time that the worker states.

    :ivar factor: relative run time from now on; 1 if usual.
    :ivar held_seconds: time since the former change; infinite before the first one.
    """

    instance: WorkerInstance
    factor: float
    held_seconds: float


class WorkerPace:
    """Relative run time of the local worker, by its newest answers.

    :param clock: returns monotonic seconds.
    :param on_change: called when a slow period begins or ends.
    :ivar is_stated: whether the present instance has stated its relative run time.
    """

    def __init__(self, clock: Callable[[], float], on_change: Callable[[PaceChange], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        # The length of the periods is a property of the machine and outlives the instance.
        self._length = PeriodLength()
        self._instance = NO_INSTANCE
        self._pace = Pace(self._length)
        self._lost_seconds = 0.0
        self._counted_at = -math.inf
        self._slow_factor = 1.0
        self.is_stated = False

    def follow(self, instance: WorkerInstance) -> None:
        """Forget the figure if another instance than this one has stated it."""
        if instance is self._instance:
            return
        if not instance.may_be(self._instance):
            self._count_lost()
            self._pace = Pace(self._length)
            self.is_stated = False
        self._instance = instance

    def answered(self, instance: WorkerInstance, percent: int | None) -> None:
        """Apply what an answer states.

        :param instance: the instance that answered; ignored if it is not the current one.
        :param percent: run time in percent of the usual one; None if not stated.
        """
        if percent is None or not instance.may_be(self._instance):
            return
        now = self._clock()
        self._count_lost()
        factor, former = factor_of(percent), self._pace
        has_changed = not self.is_stated or (factor > 1.0) != (former.factor > 1.0)
        if factor > 1.0:
            self._slow_factor = factor
            if has_changed and self.is_stated:
                # The period began at some time after the former statement.
                self._lost_seconds += (now - former.stated_at) * (1.0 - 1.0 / factor)
        if has_changed and (self.is_stated or factor > 1.0):
            self._on_change(PaceChange(instance, factor, now - former.since))
        former.state(now, factor, now if has_changed else former.since)
        self.is_stated = True

    def factor(self) -> float:
        """Return the present relative run time, 1 if it is usual or not known."""
        return self._pace.at(self._clock())

    @property
    def is_known_usual(self) -> bool:
        """Whether the newest statement is that the run time is usual."""
        return self.is_stated and self._pace.factor <= 1.0

    def age(self) -> float:
        """Return the seconds since the present period began; infinite if none was stated."""
        return self._clock() - self._pace.since

    def lost_seconds(self) -> float:
        """Return the sum of the seconds that slow periods have added to a run so far.

        A run is as long as usual apart from what this sum grew by while it ran.
        """
        self._count_lost()
        return self._lost_seconds

    def usual_seconds(self, seconds: float, lost_before: float) -> float:
        """Return the usual length of a run that ends now.

        :param lost_before: ``lost_seconds`` at its start.
        """
        lost_seconds = self.lost_seconds() - lost_before
        return max(seconds / self._slow_factor, seconds - lost_seconds)

    def _count_lost(self) -> None:
        now, pace = self._clock(), self._pace
        if pace.until > self._counted_at and pace.factor > 1.0:
            slow_seconds = min(now, pace.until) - max(self._counted_at, pace.since)
            self._lost_seconds += max(0.0, slow_seconds) * (1.0 - 1.0 / pace.factor)
        self._counted_at = now


def usual_seconds_at(seconds: float, factor: float, age: float) -> float | None:
    """Return the usual run time of a run that ended as its worker stated a figure.

    None if the figure changed during the run, as the former figure and the exact moment are not
    known.

    :param age: seconds since the figure changed.

    >>> usual_seconds_at(0.5, 2.5, 2.0), usual_seconds_at(0.5, 1.0, 2.0)
    (0.2, 0.5)
    >>> usual_seconds_at(0.5, 1.0, 0.2)
    """
    return seconds / factor if age >= seconds else None
