"""Limits retries towards one service to a part of its calls."""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Retries that a quiet service may get in a burst."""


class RetryBudget:
    """Token bucket filled by calls and emptied by retries.

    The allowance bounds what one request may cause; this bounds what a fault of
    a whole service may cause while every request still has its allowance.

    >>> budget = RetryBudget()
    >>> all(budget.spend() for _ in range(10)), budget.spend()
    (True, False)
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def called(self, ratio: float) -> None:
        """Count a call; ``ratio`` is the part of calls that may be retried."""
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def spend(self) -> bool:
        """Take one retry; return False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
