"""A planned stop of a process: which requests it can still finish, and the wait for their ends.

The platform ends the process at a fixed time after its signal, however late the process notices
the signal. So the process has to write its last response some time before that: the rest is for
the way of the response to its caller, for late timers and for the exit.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.common.units import MILLISECONDS
from cranklane.runtime.timer_delay import TimerDelay

RESTART_SECONDS = 1.0
"""Time from the end of the process until the next one accepts requests."""

EXIT_SECONDS = 0.3
"""Time reserved for closing connections, the last log lines and the exit of the process, which take
several times longer on a busy machine."""

MAX_EXIT_FRACTION = 1 / 6
"""Upper limit on the time reserved for the exit, as a fraction of the stop."""

RESPONSE_SECONDS = 0.1
"""Time from a worker's response, or from a deadline, until the response has been written to the
caller: it passes two sidecars."""

IDLE_CHECK_INTERVAL_SECONDS = 0.02
"""Seconds between checks whether all requests have ended."""

WAIT_STEP_SECONDS = 0.1
"""Length of the sleeps that make up a longer wait; each of them measures the delay of timers."""


def end_of_stop(signalled_at: float, stop_seconds: float) -> float:
    """Return the monotonic second at which a process has to begin its exit.

    :param signalled_at: monotonic second of the signal.
    :param stop_seconds: time from the signal until the process is killed.

    >>> end_of_stop(100.0, 6.0), end_of_stop(100.0, 0.6)
    (105.7, 100.5)
    """
    return signalled_at + stop_seconds - min(EXIT_SECONDS, stop_seconds * MAX_EXIT_FRACTION)


class PlannedStop:
    """Whether this process is stopping, and which requests can finish before it ends.

    :param clock: returns monotonic seconds.
    :ivar begun: whether the stop has begun.
    :ivar timer_delay: how late the timers of this process fire during the stop.
    """

    __slots__ = ("_clock", "_ends_at", "_estimates_until", "begun", "timer_delay")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ends_at = math.inf
        self._estimates_until = math.inf
        self.begun = False
        self.timer_delay = TimerDelay(clock)

    def begin(self, ends_at: float, estimates_until: float = -math.inf) -> None:
        """Begin the stop.

        :param ends_at: monotonic second at which the process begins its exit at the latest.
        :param estimates_until: monotonic second from which a request of unknown duration may
            begin only if its deadline lies within the stop.
        """
        self.begun = True
        self._ends_at = ends_at
        self._estimates_until = estimates_until

    @property
    def ends_at(self) -> float:
        """Monotonic second at which requests in flight are aborted; ``math.inf`` before the stop.

        Where timers are late, the signal was noticed late as well, and the exit takes longer.
        """
        return self._ends_at - self.timer_delay.longest

    @property
    def last_response_at(self) -> float:
        """Monotonic second by which a worker must have answered for its caller to get it all."""
        return self.ends_at - RESPONSE_SECONDS - self.timer_delay.longest

    def longest_or_estimate(self, learnt_seconds: float | None, estimate_seconds: float) -> float:
        """Return the longest time of a request; ``math.inf`` if only its deadline bounds it.

        :param learnt_seconds: longest time learnt from requests that have ended; None if unknown.
        :param estimate_seconds: stands in for it in the first part of the stop.
        """
        if learnt_seconds is not None:
            return learnt_seconds
        return estimate_seconds if self._clock() < self._estimates_until else math.inf

    def can_finish(self, deadline: float, longest_seconds: float) -> bool:
        """Return whether a request that starts now is answered before the process ends.

        :param deadline: monotonic second at which the request is answered at the latest.
        :param longest_seconds: time that it is expected to take at most.
        """
        return min(deadline, self._clock() + longest_seconds) <= self.last_response_at

    def start_within(self, deadline: float, longest_seconds: float) -> float:
        """Return the seconds in which a request must start to be answered before the end."""
        if deadline <= self.last_response_at:
            return math.inf
        return max(0.0, self.last_response_at - longest_seconds - self._clock())

    def wait(self, seconds: float) -> None:
        """Wait, and measure how late timers fire."""
        until = self._clock() + seconds
        while (remaining := until - self._clock()) > 0:
            self.timer_delay.sleep(min(remaining, WAIT_STEP_SECONDS))

    def wait_until_idle(self, is_busy: Callable[[], bool], until: float = math.inf) -> bool:
        """Wait until no request is in flight, at most until a monotonic second or the stop's end.

        :returns: whether no request is in flight.
        """
        while is_busy():
            if self._clock() >= min(until, self.ends_at):
                return False
            self.timer_delay.sleep(IDLE_CHECK_INTERVAL_SECONDS)
        return True

    def milliseconds_until_restart(self) -> int:
        """Return the time after which the next process accepts requests, at the latest."""
        seconds = max(0.0, self._ends_at - self._clock()) + RESTART_SECONDS
        return int(seconds * MILLISECONDS)
