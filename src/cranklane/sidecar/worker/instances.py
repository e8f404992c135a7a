"""History of worker instances, to reject heartbeats that are late or of superseded instances.

An instance is one start of the worker's process. Its heartbeats carry increasing sequence numbers.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

MAX_INSTANCES = 64
"""Instances that are remembered; bounds memory."""


class InstanceHistory:
    """Newest sequence number of each instance of a worker, and the instances that have ended."""

    def __init__(self) -> None:
        # Ordered by first heartbeat.
        self._sequences: OrderedDict[str, int] = OrderedDict()
        self._ended: OrderedDict[str, None] = OrderedDict()

    def advance(self, instance: str, sequence: int) -> bool:
        """Record a heartbeat's sequence number; return False if the heartbeat is late.

        >>> history = InstanceHistory()
        >>> history.advance("a", 1), history.advance("a", 1), history.advance("a", 2)
        (True, False, True)
        """
        if sequence <= self._sequences.get(instance, -1):
            return False
        _store_bounded(self._sequences, instance, sequence)
        return True

    def end(self, instance: str) -> None:
        """Record that an instance drains or has deregistered; this is final."""
        _store_bounded(self._ended, instance, None)

    def has_ended(self, instance: str) -> bool:
        """Return whether an instance has announced its exit."""
        return instance in self._ended

    def forget_sequence(self, instance: str) -> None:
        """Forget an instance's sequence number, so that its next heartbeat is accepted."""
        self._sequences.pop(instance, None)

    def is_older(self, instance: str, other: str) -> bool:
        """Return whether an instance's first heartbeat preceded that of another one.

        >>> history = InstanceHistory()
        >>> history.advance("a", 1), history.advance("b", 1)
        (True, True)
        >>> history.is_older("a", "b"), history.is_older("b", "a")
        (True, False)
        """
        for entry in self._sequences:
            if entry in (instance, other):
                return entry == instance
        return False


def _store_bounded(entries: OrderedDict[str, Any], instance: str, value: Any) -> None:
    entries[instance] = value
    while len(entries) > MAX_INSTANCES:
        entries.popitem(last=False)
