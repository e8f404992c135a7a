"""Worker instances, and their history to reject late heartbeats and those of superseded instances.

An instance is one start of the worker's process. A worker may start again under the id that it had,
so an instance is identified by the id and the time of the start. Its heartbeats carry increasing
sequence numbers, which start anew with each instance.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeVar

MAX_INSTANCES = 64
"""Limit on the remembered instances; bounds memory. Late messages of an instance arrive before 64
others have followed it."""


_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

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
    """Newest sequence number of each worker instance, and the departed instances.

    An instance has departed once it has drained, deregistered or stated in an answer that it
    leaves. That is final: only another start of the worker is used again.
    """

    def __init__(self) -> None:
        # Ordered by first heartbeat.
        self._sequences: OrderedDict[WorkerInstance, int] = OrderedDict()
        # With the Unix time of the record in milliseconds.
        self._planned_exits: OrderedDict[WorkerInstance, int] = OrderedDict()

    def is_newer(self, instance: WorkerInstance, sequence: int) -> bool:
        """Return whether a heartbeat follows all others of its instance."""
        return sequence > self._sequences.get(instance, -1)

    def advance(self, instance: WorkerInstance, sequence: int) -> bool:
        """Record a heartbeat's sequence number; return False if the heartbeat is late.

        >>> history = InstanceHistory()
        >>> first, again = WorkerInstance("a", 1000), WorkerInstance("a", 2000)
        >>> history.advance(first, 7), history.advance(first, 7), history.advance(again, 1)
        (True, False, True)
        """
        if not self.is_newer(instance, sequence):
            return False
        store_bounded(self._sequences, instance, sequence)
        return True

    def record_planned_exit(self, instance: WorkerInstance, recorded_at_ms: int = 0) -> None:
        """Record that an instance has departed; it never becomes ready again.

        :param recorded_at_ms: Unix time in milliseconds. If the start time of the instance is not
            known, all starts of its id up to then have departed; 0: none that states its time.
        """
        store_bounded(self._planned_exits, instance, recorded_at_ms)

    def has_planned_exit(self, instance: WorkerInstance) -> bool:
        """Return whether an instance has departed.

        An instance whose start time is not known may be any start of its id, so it has departed if
        one of them has.

        >>> history = InstanceHistory()
        >>> history.record_planned_exit(WorkerInstance("a", 2000), 5000)
        >>> history.record_planned_exit(WorkerInstance("b"), 5000)
        >>> [history.has_planned_exit(WorkerInstance("a", start)) for start in (0, 1000, 2000)]
        [True, False, True]
        >>> [history.has_planned_exit(WorkerInstance("b", start)) for start in (0, 4000, 6000)]
        [True, True, False]
        """
        if instance in self._planned_exits:
            return True
        if instance.started_at_ms == UNKNOWN_START:
            return any(departed.id == instance.id for departed in self._planned_exits)
        recorded_at_ms = self._planned_exits.get(WorkerInstance(instance.id), 0)
        return instance.started_at_ms <= recorded_at_ms

    def latest_start(self, instance_id: str) -> WorkerInstance:
        """Return the known start of an id with the latest start time; or the id alone.

        >>> history = InstanceHistory()
        >>> history.advance(WorkerInstance("a", 1000), 7)
        True
        >>> history.record_planned_exit(WorkerInstance("a", 2000))
        >>> history.latest_start("a"), history.latest_start("b")
        (WorkerInstance(id='a', started_at_ms=2000), WorkerInstance(id='b', started_at_ms=0))
        """
        known = (*self._sequences, *self._planned_exits)
        starts = [instance for instance in known if instance.id == instance_id]
        return max(starts, default=WorkerInstance(instance_id))

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


class ConsecutiveHeartbeats:
    """Counts the heartbeats of an instance that arrive one soon after the other.

    A running worker keeps sending them; late ones are few.
    """

    def __init__(self) -> None:
        self._instance = NO_INSTANCE
        self._counted_at = 0.0
        self._count = 0

    def count(self, instance: WorkerInstance, now: float, max_gap: float) -> int:
        """Count a heartbeat; return the number of consecutive ones of its instance.

        :param max_gap: longest time in seconds between two consecutive heartbeats.

        >>> heartbeats, first = ConsecutiveHeartbeats(), WorkerInstance("a", 1000)
        >>> [heartbeats.count(first, now, 2.0) for now in (1.0, 2.0, 4.5, 5.0)]
        [1, 2, 1, 2]
        """
        if instance != self._instance or now - self._counted_at > max_gap:
            self._count = 0
        self._instance = instance
        self._counted_at = now
        self._count += 1
        return self._count


def store_bounded(
    entries: OrderedDict[_Key, _Value], key: _Key, value: _Value, limit: int = MAX_INSTANCES
) -> None:
    """Store an entry, and drop the oldest ones beyond a limit."""
    entries[key] = value
    while len(entries) > limit:
        entries.popitem(last=False)
