"""How well a worker does, as its own sidecar sees it, told to every caller.

In a large fleet a caller meets a given worker too seldom to learn of its troubles; the
worker's own sidecar sees every run. Its judgement travels with each answer, and by
control with the members, so that callers that have not met the worker know it too.
Receivers let a judgement fade. The sidecar knows how, and tells a new one only when what
they believe by then is far from what it sees: a worker that is well costs no messages,
a sick one a few.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cranklane.sidecar.worker.fault_ratio import FaultRatio, faded
from cranklane.sidecar.worker.slowness import TOLERATED, Slowness, faded_slowness

FAULT_RATIO_DIFFERENCE = 0.15
"""Difference of two shares of failed runs from which callers are told."""

SLOWNESS_QUOTIENT = 1.5
"""Quotient of two ratios from which callers are told."""

MIN_FAULT_RATIO = 0.05
"""A smaller share of failed runs is nothing to speak of."""

MIN_REPORT_SECONDS = 0.4
"""Least seconds between two judgements told to control."""

_PERCENT = 100
_TENTHS = 10
_MAX_TENTHS = 255


@dataclass(frozen=True, slots=True)
class Condition:
    """A judgement on a worker.

    :ivar faults: part of its runs that failed by its own fault, 0 to 1.
    :ivar slowness: how many times the typical time its runs take.
    """

    faults: float = 0.0
    slowness: float = 1.0

    @classmethod
    def from_wire(cls, faults: int, slowness: int) -> Condition:
        """Return what two fields of a record tell.

        >>> Condition.from_wire(45, 62), Condition.from_wire(0, 0)
        (Condition(faults=0.45, slowness=6.2), Condition(faults=0.0, slowness=1.0))
        """
        if not faults and slowness <= _TENTHS:
            return WELL
        return cls(faults / _PERCENT, max(1.0, slowness / _TENTHS))

    @property
    def wire_faults(self) -> int:
        """The failed part in percent."""
        return round(self.faults * _PERCENT)

    @property
    def wire_slowness(self) -> int:
        """The slowness in tenths, up to 25.5 times."""
        return min(_MAX_TENTHS, round(self.slowness * _TENTHS))

    @property
    def is_well(self) -> bool:
        """Whether the worker is like the others."""
        return self.faults < MIN_FAULT_RATIO and self.slowness < TOLERATED

    def faded(self, age: float) -> Condition:
        """Return what this counts as some seconds later."""
        return Condition(faded(self.faults, age), faded_slowness(self.slowness, age))

    def is_far_from(self, other: Condition) -> bool:
        """Return whether callers would choose otherwise by the other judgement."""
        if abs(self.faults - other.faults) > FAULT_RATIO_DIFFERENCE:
            return True
        ratios = sorted((max(TOLERATED, self.slowness), max(TOLERATED, other.slowness)))
        return ratios[1] > SLOWNESS_QUOTIENT * ratios[0]


WELL = Condition()


class WorkerCondition:
    """The judgement of a sidecar on its own worker, and what it has told of it.

    :param clock: monotonic seconds.
    :param on_report: called when callers should be told of a new judgement.
    :ivar told: what control is to be told.
    """

    def __init__(self, clock: Callable[[], float], on_report: Callable[[Condition], None]) -> None:
        self._clock = clock
        self._on_report = on_report
        self._faults = FaultRatio()
        self._slowness = Slowness()
        self._reported_at = clock()
        self.reported = WELL

    def run_ended(self, failed: bool, ratio: float | None) -> None:
        """Take how a run ended.

        :param failed: whether by the worker's own fault.
        :param ratio: its time as a multiple of what is typical of its route; None where
            it tells nothing.
        """
        now = self._clock()
        self._faults.sample(now, failed)
        if ratio is not None:
            self._slowness.sample(now, ratio)
        if self.renew():
            self._on_report(self.reported)

    def now(self) -> Condition:
        """Return the judgement now."""
        now = self._clock()
        return Condition(self._faults.at(now), self._slowness.ratio(now))

    def renew(self) -> bool:
        """Judge anew what is to be told; return whether that has changed."""
        if not self._should_report():
            return False
        current = self.now()
        self.reported = WELL if current.is_well else current
        self._reported_at = self._clock()
        return True

    def _should_report(self) -> bool:
        age = self._clock() - self._reported_at
        if age < MIN_REPORT_SECONDS:
            return False
        current = self.now()
        believed = self.reported.faded(age)
        if current.is_far_from(believed):
            return True
        # What was told stays with control until something else is.
        return current.is_well and believed.is_well and not self.reported.is_well
