"""Tracks the fault ratio and slowness of a worker, and decides when to report them to callers.

In a large fleet a caller sends too few requests to each worker to detect a bad one, but the
worker's sidecar sees every run. It attaches the condition to each reply, and reports it to
control, which distributes it with the member list.

Receivers let a reported condition decay. The sidecar applies the same decay and sends a report
only when the decayed one differs too much from the current condition, so that a healthy worker
causes no messages.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from cranklane.sidecar.worker.fault_ratio import FaultRatio, decayed
from cranklane.sidecar.worker.slowness import TOLERATED_SLOWNESS, Slowness, decayed_slowness

REPORTED_FAULT_DIFFERENCE = 0.15
"""Difference of fault ratios above which a report is due; smaller ones hardly affect routing."""

REPORTED_SLOWNESS_QUOTIENT = 1.5
"""Quotient of two values of slowness above which a report is due."""

MIN_FAULT_RATIO = 0.05
"""Fault ratio below which a worker counts as healthy. Single runs fail at healthy workers too."""

MIN_REPORT_INTERVAL_SECONDS = 0.4
"""Minimum interval between two reports, in seconds; shorter than the heartbeat interval. Bounds the
messages of a failing worker."""

KEPT_FAULTS_SECONDS = 30.0
"""Time between two starts of the worker within which its fault ratio is kept. One crash fails all
runs in flight, which says little about the next instance; several within this time do."""

_PERCENT = 100
"""Percent in the ratio 1."""

_TENTHS = 10
"""Tenths in the slowness 1."""

_MAX_TENTHS = 255
"""Largest slowness, in tenths, that fits its field of one byte in records."""


@dataclass(frozen=True, slots=True)
class Condition:
    """Health of a worker.

    :ivar faults: ratio of runs that failed by the worker's own fault, 0 to 1.
    :ivar slowness: run time as a multiple of the expected latency.
    """

    faults: float = 0.0
    slowness: float = 1.0

    @classmethod
    def from_wire(cls, faults: int, slowness: int) -> Condition:
        """Decode a condition from the fields of a record.

        :param faults: fault ratio in percent.
        :param slowness: slowness in tenths; 0 if unknown.

        >>> Condition.from_wire(45, 62), Condition.from_wire(0, 0)
        (Condition(faults=0.45, slowness=6.2), Condition(faults=0.0, slowness=1.0))
        """
        if not faults and slowness <= _TENTHS:
            return HEALTHY
        return cls(faults / _PERCENT, max(1.0, slowness / _TENTHS))

    @property
    def wire_faults(self) -> int:
        """The fault ratio in percent."""
        return round(self.faults * _PERCENT)

    @property
    def wire_slowness(self) -> int:
        """The slowness in tenths, up to 25.5 times."""
        return min(_MAX_TENTHS, round(self.slowness * _TENTHS))

    @property
    def is_healthy(self) -> bool:
        """Whether fault ratio and slowness are within the usual range."""
        return self.faults < MIN_FAULT_RATIO and self.slowness < TOLERATED_SLOWNESS

    def decayed(self, age: float) -> Condition:
        """Return the condition as receivers see it ``age`` seconds after the report."""
        return Condition(decayed(self.faults, age), decayed_slowness(self.slowness, age))

    def differs_notably_from(self, other: Condition) -> bool:
        """Return whether the difference is large enough to affect the choice of workers."""
        if abs(self.faults - other.faults) > REPORTED_FAULT_DIFFERENCE:
            return True
        lower, higher = sorted(
            (max(TOLERATED_SLOWNESS, self.slowness), max(TOLERATED_SLOWNESS, other.slowness))
        )
        return higher > REPORTED_SLOWNESS_QUOTIENT * lower


HEALTHY = Condition()
"""Condition of a worker without known faults or slowness."""


def should_report(reported: Condition, age: float, current: Condition) -> bool:
    """Return whether a report to control is due, apart from the minimum interval.

    :param reported: last reported condition.
    :param age: seconds since that report.
    :param current: condition now.
    """
    decayed_report = reported.decayed(age)
    if current.differs_notably_from(decayed_report):
        return True
    # Control stores the last report without decay, so a recovery must be reported as well.
    return current.is_healthy and decayed_report.is_healthy and not reported.is_healthy


class WorkerCondition:
    """Condition of the local worker, and the last report of it.

    :param clock: returns monotonic seconds.
    :param on_report: called with each new condition to report.
    :ivar reported: last reported condition.
    """

    def __init__(self, clock: Callable[[], float], on_report: Callable[[Condition], None]) -> None:
        self._clock = clock
        self._on_report = on_report
        self._faults = FaultRatio()
        self._slowness = Slowness()
        self._reported_at = clock()
        self._started_at = -math.inf
        self.reported = HEALTHY

    def run_ended(self, failed: bool, ratio: float | None) -> None:
        """Record the end of a run, and report the condition if a report is due.

        :param failed: whether the run failed by the worker's own fault.
        :param ratio: run time as a multiple of the route's expected latency; None if the run
            time is not representative.
        """
        now = self._clock()
        self._faults.sample(now, failed)
        if ratio is not None:
            self._slowness.sample(now, ratio)
        if self.renew():
            self._on_report(self.reported)

    def worker_started(self) -> None:
        """Forget the condition of a former instance, but not the faults of one that soon ended."""
        now = self._clock()
        if now - self._started_at >= KEPT_FAULTS_SECONDS:
            self._faults = FaultRatio()
            self.reported = HEALTHY
        self._slowness = Slowness()
        self._started_at = now

    def now(self) -> Condition:
        """Return the current condition."""
        now = self._clock()
        return Condition(self._faults.at(now), self._slowness.at(now))

    def renew(self) -> bool:
        """Update ``reported`` if a report is due; return whether it was updated."""
        age = self._clock() - self._reported_at
        if age < MIN_REPORT_INTERVAL_SECONDS:
            return False
        current = self.now()
        if not should_report(self.reported, age, current):
            return False
        self.reported = HEALTHY if current.is_healthy else current
        self._reported_at = self._clock()
        return True
