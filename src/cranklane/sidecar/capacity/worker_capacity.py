"""What the local worker's sidecar knows of its capacity, and what each reply states of it."""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.capacity.advertisement import NO_ADVERTISEMENT, Advertisement
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

    def advertisement(self) -> Advertisement:
        """Return what a reply states now."""
        pace = self.pace
        if not pace.is_stated:
            return NO_ADVERTISEMENT
        percent = round(pace.factor() * USUAL_RUN_TIME_PERCENT)
        if percent == USUAL_RUN_TIME_PERCENT and not pace.is_known_usual:
            return NO_ADVERTISEMENT
        return Advertisement(percent, math.ceil(pace.age() * MILLISECONDS))
