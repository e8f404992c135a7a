"""Bounds how many log lines of a kind are written."""

from __future__ import annotations

from collections.abc import Callable


class RateLimit:
    """Bounds how many lines of a kind are written, and counts those left out.

    :param per_second: lines that are written at most, with a burst of one second.
    :ivar left_out: lines left out since :meth:`take_left_out` was last called.
    """

    def __init__(self, clock: Callable[[], float], per_second: float) -> None:
        self._clock = clock
        self._per_second = per_second
        self._tokens = per_second
        self._filled_at = clock()
        self.left_out = 0

    def allows(self) -> bool:
        """Return whether one more line may be written."""
        now = self._clock()
        earned = (now - self._filled_at) * self._per_second
        self._filled_at = now
        self._tokens = min(self._per_second, self._tokens + earned)
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out, and count from zero again."""
        left_out, self.left_out = self.left_out, 0
        return left_out
