"""A planned stop of a process: which requests it can still finish, and the wait for their ends."""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent

from cranklane.common.units import MILLISECONDS
from cranklane.runtime.interface import Runtime

RESTART_SECONDS = 1.0
"""Time from the end of the process until the next one accepts requests."""

IDLE_CHECK_INTERVAL_SECONDS = 0.02
"""Seconds between checks whether all requests have ended."""


class PlannedStop:
    """Whether this process is stopping, and which requests can finish before it ends.

    :param clock: returns monotonic seconds.
    :ivar begun: whether the stop has begun.
    :ivar ends_at: monotonic second after which requests in flight are aborted; ``math.inf`` before
        the stop.
    """

    __slots__ = ("_clock", "begun", "ends_at")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.begun = False
        self.ends_at = math.inf

    def begin(self, ends_at: float) -> None:
        """Begin the stop, which lasts until a monotonic second at most."""
        self.begun = True
        self.ends_at = ends_at

    def can_finish(self, deadline: float, longest_seconds: float) -> bool:
        """Return whether a request that starts now ends before the process does.

        :param deadline: monotonic second at which the request is answered at the latest.
        :param longest_seconds: time that it is expected to take at most.
        """
        return min(deadline, self._clock() + longest_seconds) <= self.ends_at

    def start_within(self, deadline: float, longest_seconds: float) -> float:
        """Return the seconds in which a request must start to end before the process does."""
        if deadline <= self.ends_at:
            return math.inf
        return max(0.0, self.ends_at - longest_seconds - self._clock())

    def milliseconds_until_restart(self) -> int:
        """Return the time after which the next process accepts requests, at the latest."""
        seconds = max(0.0, self.ends_at - self._clock()) + RESTART_SECONDS
        return int(seconds * MILLISECONDS)


def wait_until_idle(runtime: Runtime, is_busy: Callable[[], bool], ends_at: float) -> bool:
    """Wait until no request is in flight, at most until the monotonic second ``ends_at``.

    :returns: whether no request is in flight.
    """
    while is_busy():
        if runtime.monotonic() >= ends_at:
            return False
        gevent.sleep(IDLE_CHECK_INTERVAL_SECONDS)
    return True
