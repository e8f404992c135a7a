"""Adaptive concurrency limit of the worker and the moving average of its service time.

:mod:`~cranklane.node.admission` counts the calls.
"""

from __future__ import annotations

SHED_FACTOR = 0.8
"""Multiplies the limit for each call that the worker refuses."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest call in the moving averages of service time and deviation."""

INITIAL_SERVICE_TIME_SECONDS = 0.05
"""Service time in seconds assumed before the first call finishes."""

LIKELY_TIME_DEVIATIONS = 2.0
"""Mean deviations added to the service time to cover most calls."""


class ConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease.

    The limit starts at the configured slots, which are its maximum. A refusal by the worker
    multiplies it by :data:`SHED_FACTOR`; it grows by one for every ``limit`` finished calls.

    :ivar service_time: moving average of the seconds a call takes in the worker.
    :ivar deviation: moving average of the absolute deviation from it, in seconds.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self.service_time = INITIAL_SERVICE_TIME_SECONDS
        self.deviation = 0.0
        self._measured = False

    @property
    def limit(self) -> int:
        """Calls that may run in the worker concurrently; at least 1."""
        return max(1, int(self._limit))

    def set_slots(self, slots: int) -> None:
        """Set the configured slots; a changed number resets the limit."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    @property
    def likely_service_time(self) -> float:
        """Seconds within which the worker finishes most calls."""
        return self.service_time + LIKELY_TIME_DEVIATIONS * self.deviation

    def finished(self, seconds: float) -> None:
        """Record the service time in seconds of a finished call and raise the limit."""
        weight = SERVICE_TIME_WEIGHT if self._measured else 1.0
        error = seconds - self.service_time
        self.service_time += weight * error
        if self._measured:
            self.deviation += SERVICE_TIME_WEIGHT * (abs(error) - self.deviation)
        self._measured = True
        self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)

    def shed(self) -> None:
        """Lower the limit after the worker refused a call."""
        self._limit = max(1.0, self._limit * SHED_FACTOR)
