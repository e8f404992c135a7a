"""Checks whether a history of operations could have happened one after the other.

The search is Wing and Gong's (1993) with the memo of Lowe (2017): it takes any
operation that no finished one must precede, and remembers which sets of
operations were tried in which state.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

FOR_EVER = float("inf")


@dataclass(frozen=True)
class Operation:
    """One operation of a history.

    :ivar started: when it was asked for.
    :ivar ended: when its answer came; FOR_EVER when none did: it may take effect
        at any later time, or never.
    """

    started: float
    ended: float
    asked: Any
    answered: Any = None

    @property
    def may_be_left_out(self) -> bool:
        """Whether it may never have happened."""
        return self.ended == FOR_EVER


Step = Callable[[Any, Operation], Sequence[Hashable]]
"""Returns the states that an operation may leave, none when its answer is
impossible in the given state."""


def is_linearizable(operations: Sequence[Operation], first: Hashable, step: Step) -> bool:
    """Return whether some order explains all answers.

    :param first: the state before all operations.
    """
    ordered = sorted(operations, key=lambda item: item.started)
    tried: set[tuple[frozenset[int], Hashable]] = set()
    stack: list[tuple[frozenset[int], Hashable]] = [(frozenset(range(len(ordered))), first)]
    while stack:
        left, state = stack.pop()
        if all(ordered[number].may_be_left_out for number in left):
            return True
        if (left, state) in tried:
            continue
        tried.add((left, state))
        earliest_end = min(ordered[number].ended for number in left)
        for number in sorted(left):
            operation = ordered[number]
            if operation.started > earliest_end:
                break
            rest = left - {number}
            stack += [(rest, following) for following in step(state, operation)]
    return False
