"""Limits the retries towards one service to a ratio of the calls for it.

The sidecar's budget (:mod:`~cranklane.sidecar.routing.retry_budget`) is another rule: it
keeps the operator's bound over the whole fleet in each window, while this one is a bound
of each node by itself, stated by the policy of the called service.
"""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Retries that a quiet service may get in a burst. A choice: enough for the calls in flight
when one member fails."""


class RetryBudget:
    """Token bucket filled by calls and emptied by retries.

    The allowance bounds the retries of one root request; the budget bounds the retries that
    a fault of a whole service causes while every request still has its allowance.

    >>> budget = RetryBudget()
    >>> all(budget.spend() for _ in range(10)), budget.spend()
    (True, False)
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def called(self, ratio: float) -> None:
        """Count a call.

        :param ratio: retries allowed for each call.
        """
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def spend(self) -> bool:
        """Take one retry; return False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
