"""Bounds the retries that one root request causes, over its whole call tree.

Owns the count of one call. The other bound, over all calls to a service, is
:mod:`~cranklane.node.retry_budget`.
"""

from __future__ import annotations


class Allowance:
    """One call's share of the root request's retries.

    The sum over the whole tree never grows: a retry spends from it, a child call
    takes some of it, and what the child did not use is returned with its answer. What
    was given to a child whose answer is lost stays spent.

    :ivar remaining: retries this call and its future children may still cause.

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
        """Take the larger half for a child call; parallel children split the rest."""
        granted = (self.remaining + 1) // 2
        self.remaining -= granted
        return granted

    def give_back(self, unused: int) -> None:
        """Return what a child call did not use."""
        self.remaining += unused

    def spend(self) -> bool:
        """Take one retry; return False when none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
