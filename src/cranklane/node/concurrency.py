"""Limits how many calls the worker runs at once, and measures how long one takes.

Owns the limit and the measurement; :mod:`~cranklane.node.admission` counts the calls.
"""

from __future__ import annotations

SHED_FACTOR = 0.8
"""Factor on the limit for each call that the worker refuses. A choice: a fifth off, as one
refusal already states that the worker is at capacity."""

TIME_WEIGHT = 0.1
"""Weight of the newest call in the smoothed times. A choice: about ten calls count."""

ASSUMED_SECONDS = 0.05
"""Seconds a call is taken to need before one was measured. A choice: an ordinary
service's, so that the first deadlines are judged roughly."""

DEVIATIONS = 2.0
"""Deviations above the smoothed time within which most calls are done. Measured: with two, 78
accepted calls of a surge of twice the capacity passed their deadline, with none 264."""


class ConcurrencyLimit:
    """Adaptive limit: at most the worker's stated slots, less while it sheds.

    The worker's own refusals show its overload at once, while the load that it reports
    lags. Each refusal takes a fifth off the limit, and as many finished calls as the
    limit give one back.

    :ivar service_time: smoothed seconds a call takes in the worker.
    :ivar deviation: smoothed distance of single calls from it, in seconds.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self.service_time = ASSUMED_SECONDS
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
            self._limit = float(slots)

    @property
    def likely_time(self) -> float:
        """Seconds within which most calls are done."""
        return self.service_time + DEVIATIONS * self.deviation

    def finished(self, seconds: float) -> None:
        """Count a call that the worker ran."""
        weight = TIME_WEIGHT if self._measured else 1.0
        error = seconds - self.service_time
        self.service_time += weight * error
        if self._measured:
            self.deviation += TIME_WEIGHT * (abs(error) - self.deviation)
        self._measured = True
        self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)

    def shed(self) -> None:
        """Count a call that the worker refused."""
        self._limit = max(1.0, self._limit * SHED_FACTOR)
