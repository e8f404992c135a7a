"""Departures of the local worker that control is to store before they are acknowledged.

This process may end at any moment after an acknowledgement, and the next one on this machine must
know what was acknowledged. So a departure is acknowledged once control has stored it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from gevent.event import Event

from cranklane.records.messages import DepartureReport
from cranklane.sidecar.worker.instances import MAX_INSTANCES, WorkerInstance, store_bounded


class DepartureReports:
    """Departures that were stated, and those of them that control has stored.

    :ivar pending: set while a departure is not stored.
    """

    def __init__(self) -> None:
        self._unstored: OrderedDict[str, None] = OrderedDict()
        self._stored: OrderedDict[str, None] = OrderedDict()
        self._all_stored = Event()
        self._all_stored.set()
        self.pending = Event()

    def add(self, instance: WorkerInstance) -> None:
        """Have the departure of an instance stored."""
        if instance.label in self._stored:
            return
        store_bounded(self._unstored, instance.label, None, MAX_INSTANCES)
        self._all_stored.clear()
        self.pending.set()

    def confirmed(self, labels: Iterable[str]) -> None:
        """Record that control has stored the departures of these instances."""
        for label in labels:
            self._unstored.pop(label, None)
            store_bounded(self._stored, label, None, MAX_INSTANCES)
        if not self._unstored:
            self._all_stored.set()
            self.pending.clear()

    def wait_until_stored(self, seconds: float) -> bool:
        """Wait until all departures are stored; return False after ``seconds`` without that."""
        return bool(self._all_stored.wait(seconds))

    def report(self) -> DepartureReport | None:
        """Return the report of the departures that are not stored, or None without any."""
        return DepartureReport(list(self._unstored)) if self._unstored else None
