"""Admits a fraction of a sequence of requests, evenly spread over it."""

from __future__ import annotations


class EvenFraction:
    """Admits each request for which enough credit has come together.

    :param credit: what the first request starts with, 0 to 1; it needs 1.
    """

    __slots__ = ("_credit",)

    def __init__(self, credit: float) -> None:
        self._credit = credit

    def admits(self, fraction: float) -> bool:
        """Return whether the next request is one of the fraction, 0 to 1.

        >>> half = EvenFraction(0.0)
        >>> [half.admits(0.5) for _ in range(6)]
        [False, True, False, True, False, True]
        """
        self._credit += fraction
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
