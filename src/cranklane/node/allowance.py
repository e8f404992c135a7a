"""Limits the retries that one root request causes across its call tree.

:mod:`~cranklane.node.retry_budget` limits the retries of all calls to one service.
"""

from __future__ import annotations


class Allowance:
    """One call's part of the root request's retries.

    The sum over the call tree never grows. A retry spends one; a child call is granted some
    and returns the unused ones with its answer. If that answer is lost, the granted retries
    stay spent.

    :ivar remaining: retries left for this call and its future child calls.

    >>> allowance = Allowance(3)
    >>> allowance.grant(), allowance.remaining
    (2, 1)
    >>> allowance.give_back(2)
    >>> allowance.spend(), allowance.remaining
    (True, 2)
    """

    __slots__ = ("remaining",)

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def grant(self) -> int:
        """Grant a child call half of the retries, rounded up; later child calls share the rest."""
        granted = (self.remaining + 1) // 2
        self.remaining -= granted
        return granted

    def give_back(self, unused: int) -> None:
        """Add the retries that a child call did not use."""
        self.remaining += unused

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
