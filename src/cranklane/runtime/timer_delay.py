"""Measures how late the timers of this process fire.

On a busy machine, or beside a long computation, a task continues later than it asked to. What has
to be done by a fixed second must then begin earlier.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

MAX_DELAY_SECONDS = 0.5
"""Upper limit on the delay that is taken to recur: a longer one was a suspension of the process."""


class TimerDelay:
    """The longest delay of the sleeps made with it.

    :param clock: returns monotonic seconds.
    :ivar longest: longest delay so far, in seconds; at most ``MAX_DELAY_SECONDS``.
    """

    __slots__ = ("_clock", "longest")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.longest = 0.0

    def sleep(self, seconds: float) -> None:
        """Sleep, and record how late the sleep ended."""
        due_at = self._clock() + seconds
        gevent.sleep(seconds)
        delay = min(self._clock() - due_at, MAX_DELAY_SECONDS)
        self.longest = max(self.longest, delay)
