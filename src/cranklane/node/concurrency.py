"""How many calls the worker gets at once, and how long one takes."""

from __future__ import annotations

_SHED_FACTOR = 0.8
_TIME_WEIGHT = 0.1
_FIRST_TIME = 0.05
_DEVIATIONS = 2.0


class ConcurrencyLimit:
    """Adaptive limit: at most the worker's stated slots, less while it sheds.

    The worker's own refusal is the one sign of overload that its lagging load
    endpoint cannot blur: each one takes a fifth off the limit, and each limit's
    worth of finished calls gives one back.

    :ivar service_time: smoothed seconds a call takes in the worker.
    :ivar deviation: smoothed distance of single calls from it, in seconds.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self.service_time = _FIRST_TIME
        self.deviation = 0.0
        self._measured = False

    @property
    def limit(self) -> int:
        """Calls that may run in the worker now; at least 1."""
        return max(1, int(self._limit))

    def set_slots(self, slots: int) -> None:
        """Take a new stated number of slots."""
        if slots != self._slots:
            self._slots = slots
            self._limit = min(self._limit, float(slots)) if slots < self._limit else float(slots)

    @property
    def likely_time(self) -> float:
        """Seconds within which most calls are done."""
        return self.service_time + _DEVIATIONS * self.deviation

    def finished(self, seconds: float) -> None:
        """Count a call that the worker ran."""
        weight = _TIME_WEIGHT if self._measured else 1.0
        error = seconds - self.service_time
        self.service_time += weight * error
        if self._measured:
            self.deviation += _TIME_WEIGHT * (abs(error) - self.deviation)
        self._measured = True
        self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)

    def shed(self) -> None:
        """Count a call that the worker refused."""
        self._limit = max(1.0, self._limit * _SHED_FACTOR)
