"""Reports between control processes on the nodes subscribed to them.

One task for each other control process sends it what is new. Owns those tasks; members and
usage belong to :class:`Membership` and :class:`SidecarSupport`.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent
from gevent.event import Event

from cranklane.distribution.membership import Membership
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, MemberReport, ReplicaMember, UsageTotals
from cranklane.runtime.interface import Runtime, parse_address

REPORT_SECONDS = 1.0
"""Between reports when nothing is new. A choice: several fit into ``SILENT_SECONDS``."""

SILENT_SECONDS = 5.0
"""Time without a byte after which another control process counts as lost. A choice."""

MERGE_SECONDS = 0.05
"""Time over which changes are gathered after a report. A choice, as for subscribers."""

CONNECT_SECONDS = 1.0
"""Wait for a connection. A choice."""

RETRY_SECONDS = 0.5
"""Mean time before a failed report is sent again, and between looks for new control
processes. A choice."""


class Exchange:
    """Reports to and from the other control processes.

    :param others: returns the other control processes.
    :param hello: returns this process's greeting.
    :ivar sidecars: has and takes the totals of tenants' usage; None where there are none.
    """

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        others: Callable[[], list[ReplicaMember]],
        hello: Callable[[], Hello],
    ) -> None:
        self._runtime = runtime
        self._membership = membership
        self._others = others
        self._hello = hello
        self._wakeups: dict[str, Event] = {}
        self.sidecars: SidecarSupport | None = None

    def changed(self) -> None:
        """Report soon: members, versions or usage have changed."""
        for wakeup in self._wakeups.values():
            wakeup.set()

    def run(self) -> None:
        """Start a task for each control process that is new, for ever."""
        while True:
            for other in self._others():
                if other.address not in self._wakeups:
                    self._wakeups[other.address] = Event()
                    self._runtime.spawn(self._keep_reporting, other.address)
            gevent.sleep(RETRY_SECONDS)

    def _is_member(self, address: str) -> bool:
        return any(other.address == address for other in self._others())

    def _keep_reporting(self, address: str) -> None:
        while self._is_member(address):
            try:
                self._report(address)
            except (OSError, ConnectionLostError, MalformedRecordError):
                # The next connection starts with a whole report.
                gevent.sleep(RETRY_SECONDS * (0.5 + self._runtime.random.random()))
        del self._wakeups[address]

    def _report(self, address: str) -> None:
        """Report on one connection until it ends or the process is no member any more."""
        connection = self._runtime.connect(parse_address(address), CONNECT_SECONDS)
        records = RecordConnection(connection, SILENT_SECONDS)
        wakeup = self._wakeups[address]
        position = usage_position = 0
        reported_at = -math.inf
        try:
            records.greet(self._hello())
            while self._is_member(address):
                wakeup.clear()
                report, position = self._membership.report_since(position)
                now = self._runtime.monotonic()
                if report.members or report.versions or now - reported_at >= REPORT_SECONDS:
                    reported_at = now
                    records.queue(report)
                if self.sidecars is not None:
                    records.queue(self.sidecars.totals_since(usage_position))
                    usage_position = self.sidecars.usage_position
                records.flush()
                wakeup.wait(REPORT_SECONDS)
                gevent.sleep(MERGE_SECONDS)
        finally:
            records.close()

    def serve(self, records: RecordConnection, first: MemberReport) -> None:
        """Take another process's reports until its connection ends."""
        records.set_silent_after(SILENT_SECONDS)
        self._membership.take_report(first)
        try:
            while True:
                self._take(records)
        except (ConnectionLostError, MalformedRecordError):
            # The other process connects again; its members stay for its lease.
            return
        finally:
            records.close()

    def _take(self, records: RecordConnection) -> None:
        _, message = records.receive()
        match message:
            case MemberReport():
                self._membership.take_report(message)
            case UsageTotals() if self.sidecars is not None:
                self.sidecars.take_totals(message)
            case _:
                raise MalformedRecordError(f"{type(message).__name__} from a control process")
