"""What the local worker's sidecar knows of its capacity, and what each reply states of it."""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.capacity.advertisement import (
    MAX_ADMISSION_LEVEL,
    NO_ADVERTISEMENT,
    Advertisement,
)
from cranklane.sidecar.capacity.pace import PaceChange, WorkerPace
from cranklane.sidecar.worker.load_header import USUAL_RUN_TIME_PERCENT


class WorkerCapacity:
    """Capacity of the local worker.

    :param clock: returns monotonic seconds.
    :param on_pace: called when a slow period of the worker begins or ends.
    :ivar pace: relative run time of the worker.
    """

    def __init__(self, clock: Callable[[], float], on_pace: Callable[[PaceChange], None]) -> None:
        self.pace = WorkerPace(clock, on_pace)

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
