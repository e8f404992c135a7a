"""What the local worker's sidecar knows of its capacity, and what each reply states of it."""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.common.units import MICROSECONDS, MILLISECONDS
from cranklane.sidecar.capacity.advertisement import (
    MAX_ADMISSION_LEVEL,
    NO_ADVERTISEMENT,
    Advertisement,
)
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

    def advertisement(self, admission_level: int = MAX_ADMISSION_LEVEL) -> Advertisement:
        """Return what a reply states now.

        :param admission_level: last rank of call trees for which there is capacity.
        """
        pace = self.pace
        percent = round(pace.factor() * USUAL_RUN_TIME_PERCENT) if pace.is_stated else 0
        if not percent or (percent == USUAL_RUN_TIME_PERCENT and not pace.is_known_usual):
            if admission_level == MAX_ADMISSION_LEVEL:
                return NO_ADVERTISEMENT
            return Advertisement(admission_level=admission_level)
        age_ms = math.ceil(pace.age() * MILLISECONDS)
        return Advertisement(percent, age_ms, admission_level)
