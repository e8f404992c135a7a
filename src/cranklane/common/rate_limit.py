"""Rate limit for log lines."""

from __future__ import annotations

from collections.abc import Callable


class RateLimit:
    """Token bucket that counts suppressed lines.

    :param per_second: lines allowed per second; also the burst size.
    :ivar left_out: lines suppressed since the last call of :meth:`take_left_out`.
    """

    def __init__(self, clock: Callable[[], float], per_second: float) -> None:
        self._clock = clock
        self._per_second = per_second
        self._tokens = per_second
        self._refilled_at = clock()
        self.left_out = 0

    def allows(self) -> bool:
        """Return whether a line may be written now, and count it if not."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._per_second
        self._refilled_at = now
        self._tokens = min(self._per_second, self._tokens + refill)
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Return the number of suppressed lines and reset it."""
        left_out, self.left_out = self.left_out, 0
        return left_out
