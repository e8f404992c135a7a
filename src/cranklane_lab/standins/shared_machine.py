"""Slow periods of a stand-in worker that shares its machine with other services."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import gevent

from cranklane_lab.standins.routed_worker_state import RoutedWorkerState

_PERCENT = 100
_LENGTH_SPREAD = 0.1
"""Largest deviation of a slow period from the mean length, as a fraction of it."""


@dataclass(frozen=True)
class SlowPeriods:
    """Slow periods at random moments.

    :ivar factor: factor on the work times during a period.
    :ivar fraction: fraction of the time that is slow.
    :ivar seconds: mean length of a period.
    :ivar stated: whether the worker states its relative run time.
    """

    factor: float = 2.5
    fraction: float = 0.15
    seconds: float = 0.6
    stated: bool = True

    def apply(self, state: RoutedWorkerState, random: Random) -> None:
        """Slow a worker down in periods; never returns."""
        usual_seconds = self.seconds * (1.0 - self.fraction) / self.fraction
        while True:
            self._set(state, 1.0)
            gevent.sleep(random.expovariate(1.0 / usual_seconds))
            self._set(state, self.factor)
            gevent.sleep(self.seconds * random.uniform(1.0 - _LENGTH_SPREAD, 1.0 + _LENGTH_SPREAD))

    def _set(self, state: RoutedWorkerState, factor: float) -> None:
        state.work_time_factor = factor
        if self.stated:
            state.run_time_percent = b"%d" % round(factor * _PERCENT)
