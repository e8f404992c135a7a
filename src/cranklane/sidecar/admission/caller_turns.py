"""Schedules the next requests of callers to a worker with limited starts.

Each reply gets the next turn, and turns are spaced as the worker accepts requests. So callers that
do not know of one another send together about as many requests as the worker accepts, and choose
other workers meanwhile. A turn is advice: a request that comes earlier is admitted if it can start.
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.admission.start_rate import MIN_RATE

MAX_PAUSE_SECONDS = 1.5
"""Longest pause; bounds the time until callers learn that the limit has ended."""


class CallerTurns:
    """The next turns at one worker.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_turn = 0.0

    def next_pause_ms(self, rate: float) -> int:
        """Assign the next turn; return the time until it in milliseconds.

        :param rate: requests per second that the worker accepts.

        >>> turns = CallerTurns(lambda: 10.0)
        >>> [turns.next_pause_ms(4.0) for _ in range(3)], turns.next_pause_ms(0.0)
        ([250, 500, 750], 1500)
        """
        now = self._clock()
        turn = max(now, self._last_turn) + 1 / max(MIN_RATE, rate)
        self._last_turn = min(turn, now + MAX_PAUSE_SECONDS)
        return round((self._last_turn - now) * MILLISECONDS)
