"""Run times of workers: slow periods as on shared machines, and a slow time after each restart.

A worker states its run time in percent of the usual one in its load header. Some workers state it
wrongly or not at all.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import gevent

from cranklane_lab.soak.site import SoakSite
from cranklane_lab.standins.routed_worker import RoutedWorker

SLOW_FACTOR = 2.5
MEAN_SLOW_SECONDS = 0.6
SLOW_FRACTION = 0.15
"""Factor of the run time in slow periods, their mean length and their share of the time."""

FALSE_PERCENTAGES = (b"", b"0", b"-250", b"99999999999", b"slow", b"100,7")
"""Values in a load header that are missing, invalid or have further fields."""

FALSE_FRACTION = 0.2
"""Fraction of changes after which a load header states a wrong value."""

USUAL_PERCENT = 100


@dataclass(frozen=True)
class SlowPeriods:
    """Lets each worker change between its usual run time and slow periods.

    :ivar site: its workers may be replaced at any time.
    """

    site: SoakSite
    random: Random

    def run(self, number: int) -> None:
        """Change one worker until the greenlet is killed."""
        usual_seconds = MEAN_SLOW_SECONDS * (1 - SLOW_FRACTION) / SLOW_FRACTION
        while True:
            self._change(self.site.workers[number], 1.0)
            gevent.sleep(self.random.expovariate(1 / usual_seconds))
            self._change(self.site.workers[number], SLOW_FACTOR)
            gevent.sleep(self.random.expovariate(1 / MEAN_SLOW_SECONDS))

    def end(self) -> None:
        """Return all workers to their usual run time."""
        for worker in self.site.workers:
            self.site.set_slow_factor(worker, 1.0)

    def _change(self, worker: RoutedWorker, factor: float) -> None:
        self.site.set_slow_factor(worker, factor)
        worker.state.run_time_percent = b"%d" % int(factor * USUAL_PERCENT)
        if self.random.random() < FALSE_FRACTION:
            worker.state.run_time_percent = self.random.choice(FALSE_PERCENTAGES)
