"""Worker instances, and their history to reject late heartbeats and those of superseded instances.

An instance is one start of the worker's process. A worker may start again under the id that it had,
so an instance is identified by the id and the time of the start. Its heartbeats carry increasing
sequence numbers, which start anew with each instance.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

MAX_INSTANCES = 64
"""Limit on the remembered instances; bounds memory. Late messages of an instance arrive before 64
others have followed it."""


UNKNOWN_START = 0
"""Start time of an instance that has not stated it."""


class WorkerInstance(NamedTuple):
    """One start of a worker's process.

    :ivar id: id that the worker states in its answers; several starts may share it.
    :ivar started_at_ms: Unix time of the start in milliseconds; ``UNKNOWN_START`` if not stated.
    """

    id: str
    started_at_ms: int = UNKNOWN_START

    @property
    def label(self) -> str:
        """Text that differs between the starts of a worker.

        >>> WorkerInstance("i-7", 1700000000000).label, WorkerInstance("i-7").label
        ('i-7@1700000000000', 'i-7')
        """
        return f"{self.id}@{self.started_at_ms}" if self.started_at_ms else self.id

    @classmethod
    def from_label(cls, label: str) -> WorkerInstance:
        """Return the instance that a label was made of.

        >>> WorkerInstance.from_label("i-7@1700"), WorkerInstance.from_label("i-7")
        (WorkerInstance(id='i-7', started_at_ms=1700), WorkerInstance(id='i-7', started_at_ms=0))
        """
        instance_id, separator, start = label.rpartition("@")
        if separator and start.isascii() and start.isdigit():
            return cls(instance_id, int(start))
        return cls(label)

    def may_be(self, other: WorkerInstance) -> bool:
        """Return whether both may be the same start, as one of them may state its id alone.

        >>> probed, first, second = (WorkerInstance("i-7", start) for start in (0, 1000, 2000))
        >>> probed.may_be(first), first.may_be(probed), first.may_be(second)
        (True, True, False)
        """
        if self.id != other.id:
            return False
        starts = (self.started_at_ms, other.started_at_ms)
        return UNKNOWN_START in starts or starts[0] == starts[1]


NO_INSTANCE = WorkerInstance("")
"""Stands for the instance of a worker that is not known yet."""


class InstanceHistory:
    """Newest sequence number of each worker instance, and the announced planned exits."""

    def __init__(self) -> None:
        # Ordered by first heartbeat.
        self._sequences: OrderedDict[WorkerInstance, int] = OrderedDict()
        self._planned_exits: OrderedDict[WorkerInstance, None] = OrderedDict()

    def advance(self, instance: WorkerInstance, sequence: int) -> bool:
        """Record a heartbeat's sequence number; return False if the heartbeat is late.

        >>> history = InstanceHistory()
        >>> first, again = WorkerInstance("a", 1000), WorkerInstance("a", 2000)
        >>> history.advance(first, 7), history.advance(first, 7), history.advance(again, 1)
        (True, False, True)
        """
        if sequence <= self._sequences.get(instance, -1):
            return False
        _store_bounded(self._sequences, instance, sequence)
        return True

    def record_planned_exit(self, instance: WorkerInstance) -> None:
        """Record that an instance drains or has deregistered; it never becomes ready again."""
        _store_bounded(self._planned_exits, instance, None)

    def has_planned_exit(self, instance: WorkerInstance) -> bool:
        """Return whether an instance drains or has deregistered."""
        return instance in self._planned_exits

    def forget_sequences(self, instance_id: str) -> None:
        """Forget the sequence numbers of an id, so that its next heartbeat is accepted."""
        for instance in [known for known in self._sequences if known.id == instance_id]:
            del self._sequences[instance]

    def newest(self, instance_id: str) -> WorkerInstance:
        """Return the instance of an id whose first heartbeat was the last; or its id alone."""
        for instance in reversed(self._sequences):
            if instance.id == instance_id:
                return instance
        return WorkerInstance(instance_id)

    def is_older(self, instance: WorkerInstance, other: WorkerInstance) -> bool:
        """Return whether an instance's first heartbeat preceded that of another one.

        >>> history = InstanceHistory()
        >>> first, other = WorkerInstance("a"), WorkerInstance("b")
        >>> history.advance(first, 1), history.advance(other, 1)
        (True, True)
        >>> history.is_older(first, other), history.is_older(other, first)
        (True, False)
        """
        for entry in self._sequences:
            if entry in (instance, other):
                return entry == instance
        return False


def _store_bounded(
    entries: OrderedDict[WorkerInstance, Any], instance: WorkerInstance, value: Any
) -> None:
    entries[instance] = value
    while len(entries) > MAX_INSTANCES:
        entries.popitem(last=False)
