"""Limits a node's retries to one service to a fraction of its calls to that service.

The called service's policy sets the fraction. The sidecar's fleet-wide budget is in
:mod:`~cranklane.sidecar.routing.retry_budget`.
"""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Capacity of the token bucket in retries; covers the calls in flight when a member fails."""


class RetryBudget:
    """Token bucket: calls add a fraction of a token, each retry spends one token.

    The allowance limits the retries of one root request; the budget limits the retries of all
    requests when a whole service fails.

    >>> budget = RetryBudget()
    >>> all(budget.spend() for _ in range(10)), budget.spend()
    (True, False)
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_call(self, ratio: float) -> None:
        """Add tokens for a call.

        :param ratio: retries allowed per call.
        """
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def spend(self) -> bool:
        """Spend a token on a retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
