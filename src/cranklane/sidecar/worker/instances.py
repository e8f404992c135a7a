"""The order of the worker's starts (instances), as their heartbeats came.

Each heartbeat carries a sequence that grows with each call of its start, so that one that comes
late is recognised.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

MAX_INSTANCES = 64
"""Starts that are remembered. A choice: it bounds memory; the late calls of older starts have
come long before 64 others have followed."""


class InstanceHistory:
    """The starts of one worker: their newest sequences, and which of them have ended."""

    def __init__(self) -> None:
        # In the order in which they were first seen.
        self._sequences: OrderedDict[str, int] = OrderedDict()
        self._ended: OrderedDict[str, None] = OrderedDict()

    def advance(self, instance: str, sequence: int) -> bool:
        """Record the sequence of a heartbeat; return False for one that came late.

        >>> history = InstanceHistory()
        >>> history.advance("a", 1), history.advance("a", 1), history.advance("a", 2)
        (True, False, True)
        """
        if sequence <= self._sequences.get(instance, -1):
            return False
        _remember(self._sequences, instance, sequence)
        return True

    def end(self, instance: str) -> None:
        """Record that a start is leaving or has left; that is final."""
        _remember(self._ended, instance, None)

    def has_ended(self, instance: str) -> bool:
        """Return whether a start has said that it leaves."""
        return instance in self._ended

    def forget_sequence(self, instance: str) -> None:
        """Forget a start, so that its next heartbeat counts whatever its sequence."""
        self._sequences.pop(instance, None)

    def is_older(self, instance: str, other: str) -> bool:
        """Return whether a start was first seen before another one.

        >>> history = InstanceHistory()
        >>> history.advance("a", 1), history.advance("b", 1)
        (True, True)
        >>> history.is_older("a", "b"), history.is_older("b", "a")
        (True, False)
        """
        for known in self._sequences:
            if known in (instance, other):
                return known == instance
        return False


def _remember(known: OrderedDict[str, Any], instance: str, value: Any) -> None:
    known[instance] = value
    while len(known) > MAX_INSTANCES:
        known.popitem(last=False)
