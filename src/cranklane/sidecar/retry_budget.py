"""How many requests may be sent to a second worker.

All sidecars together keep the operator's bound because each keeps its part: a
ratio of the requests that begin at it, and a small reserve. Calls that a repeated
run makes are repeats too; they are charged where they begin, so that the bound holds
at any depth of a call tree.
"""

from __future__ import annotations

MOST_OWED = 20.0
"""Repeats that are remembered beyond the tokens there were: older ones are over."""


class RetryBudget:
    """Tokens for each service.

    :param ratio: tokens that one request earns.
    :param reserve: most tokens that are kept, and what there is at the start.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens: dict[str, float] = {}

    def earned(self, service: str) -> None:
        """Count a request that begins here."""
        tokens = self._tokens.get(service, self._reserve)
        self._tokens[service] = min(self._reserve, tokens + self._ratio)

    def charge(self, service: str) -> None:
        """Count a repeat that nobody asked for: a call of a run that is one.

        >>> budget = RetryBudget(0.5, 1.0)
        >>> budget.charge("a")
        >>> budget.take("a")
        False
        """
        tokens = self._tokens.get(service, self._reserve) - 1.0
        self._tokens[service] = max(-MOST_OWED, tokens)

    def take(self, service: str) -> bool:
        """Return whether one more arrival at a service is allowed, and count it.

        >>> budget = RetryBudget(0.5, 1.0)
        >>> budget.take("a"), budget.take("a")
        (True, False)
        """
        tokens = self._tokens.get(service, self._reserve)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True
