"""Linearizability checker for histories of concurrent operations.

Wing and Gong's search (1993) with Lowe's memoization (2017): linearizes any
operation that no completed one must precede, and caches the visited pairs of
remaining operations and state.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

NO_RESPONSE = float("inf")


@dataclass(frozen=True)
class Operation:
    """One operation of a history.

    :ivar started: time of the invocation.
    :ivar ended: time of the response; NO_RESPONSE without one: the operation may take effect
        at any later time, or never.
    """

    started: float
    ended: float
    invocation: Any
    response: Any = None

    @property
    def is_pending(self) -> bool:
        """Whether it got no response, so that a linearization may omit it."""
        return self.ended == NO_RESPONSE


Step = Callable[[Any, Operation], Sequence[Hashable]]
"""Returns the states that may follow an operation; none if its response is impossible
in the given state."""


def is_linearizable(operations: Sequence[Operation], first: Hashable, step: Step) -> bool:
    """Return whether a history is linearizable.

    :param first: state before all operations.
    :param step: returns the states that may follow an operation in a state.
    """
    ordered = sorted(operations, key=lambda operation: operation.started)
    tried: set[tuple[frozenset[int], Hashable]] = set()
    stack: list[tuple[frozenset[int], Hashable]] = [(frozenset(range(len(ordered))), first)]
    while stack:
        remaining, state = stack.pop()
        if all(ordered[number].is_pending for number in remaining):
            return True
        if (remaining, state) in tried:
            continue
        tried.add((remaining, state))
        earliest_end = min(ordered[number].ended for number in remaining)
        for number in sorted(remaining):
            operation = ordered[number]
            if operation.started > earliest_end:
                break
            next_remaining = remaining - {number}
            stack += [(next_remaining, following) for following in step(state, operation)]
    return False
