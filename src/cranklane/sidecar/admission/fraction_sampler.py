"""Deterministic sampling of a fraction of requests at even intervals."""

from __future__ import annotations


class FractionSampler:
    """Accumulates the fraction as credit and admits a request for each whole unit.

    :param credit: initial credit, 0 to 1.
    """

    __slots__ = ("_credit",)

    def __init__(self, credit: float) -> None:
        self._credit = credit

    def admits(self, fraction: float) -> bool:
        """Return whether to admit the next request.

        :param fraction: fraction of requests to admit, 0 to 1.

        >>> half = FractionSampler(0.0)
        >>> [half.admits(0.5) for _ in range(6)]
        [False, True, False, True, False, True]
        """
        self._credit += fraction
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
