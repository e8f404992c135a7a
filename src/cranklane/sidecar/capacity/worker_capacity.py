"""What the local worker's sidecar knows of its capacity, and what each reply states of it."""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.common.units import MICROSECONDS, MILLISECONDS
from cranklane.sidecar.capacity.advertisement import NO_ADVERTISEMENT, Advertisement
from cranklane.sidecar.capacity.pace import PaceChange, WorkerPace
from cranklane.sidecar.worker.load_header import USUAL_RUN_TIME_PERCENT

ATTEMPT_SECONDS = 0.005
"""Time that another attempt takes at most, with a new connection to another zone."""


class WorkerCapacity:
    """Capacity of the local worker.

    :param clock: returns monotonic seconds.
    :param on_pace: called when a slow period of the worker begins or ends.
    :ivar pace: relative run time of the worker.
    """

    def __init__(self, clock: Callable[[], float], on_pace: Callable[[PaceChange], None]) -> None:
        self.pace = WorkerPace(clock, on_pace)

    def is_better_elsewhere(self, expected_latency_us: int) -> bool:
        """Return whether a slow period costs a run more than another attempt does.

        :param expected_latency_us: usual run time in microseconds; 0 if unknown.
        """
        added_seconds = (self.pace.factor() - 1.0) * expected_latency_us / MICROSECONDS
        return added_seconds > ATTEMPT_SECONDS

    def advertisement(self) -> Advertisement:
        """Return what a reply states now."""
        pace = self.pace
        if not pace.is_stated:
            return NO_ADVERTISEMENT
        percent = round(pace.factor() * USUAL_RUN_TIME_PERCENT)
        if percent == USUAL_RUN_TIME_PERCENT and not pace.is_known_usual:
            return NO_ADVERTISEMENT
        return Advertisement(percent, math.ceil(pace.age() * MILLISECONDS))
