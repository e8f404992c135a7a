"""Paces the starts of requests at a worker that accepts a limited number per second.

A token bucket holds the available starts. It keeps few unused ones, so that a pause of callers or
of this process is not followed by a burst. ``slots`` uses one per request.
"""

from __future__ import annotations

from collections.abc import Callable

BURST_SECONDS = 0.5
"""Time at the limited rate for which unused starts are kept."""

MIN_BURST_STARTS = 1.0
"""Unused starts that are always kept; without one, nothing could ever start."""

ROUNDING_STARTS = 1e-6
"""Fraction of a start by which the clock's rounding may leave the bucket short after a wait."""

MIN_RATE = 0.5
"""Starts per second below which a limit is not enforced: its end shows only in an answer."""


class StartRate:
    """Limit on the starts per second; none until it is set.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rate: float | None = None
        self._starts = 0.0
        self._refilled_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether a limit is set."""
        return self._rate is not None

    @property
    def rate(self) -> float | None:
        """The limit in starts per second; None without one."""
        return self._rate

    def set(self, rate: float | None) -> None:
        """Set the limit in starts per second; None for none. A first limit has no start kept."""
        if self._rate is None:
            self._starts, self._refilled_at = 0.0, self._clock()
        else:
            self._refill(self._rate)
        self._rate = None if rate is None else max(MIN_RATE, rate)

    def take(self) -> bool:
        """Take a start; return False if none is available."""
        rate = self._rate
        if rate is None:
            return True
        self._refill(rate)
        if self._starts < 1.0 - ROUNDING_STARTS:
            return False
        self._starts -= 1.0
        return True

    def seconds_to(self, starts: int) -> float:
        """Return the time until a number of starts is available; 0 without a limit."""
        rate = self._rate
        if rate is None:
            return 0.0
        self._refill(rate)
        return max(0.0, (starts - self._starts) / rate)

    def _refill(self, rate: float) -> None:
        now = self._clock()
        refilled = self._starts + (now - self._refilled_at) * rate
        self._starts = min(refilled, max(MIN_BURST_STARTS, rate * BURST_SECONDS))
        self._refilled_at = now
