"""Control processes tell each other of the nodes subscribed to them."""

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
"""Seconds between reports when there is nothing to tell."""

SILENT_SECONDS = 5.0
"""Seconds without a report after which another control process counts as lost."""

MERGE_SECONDS = 0.05
CONNECT_SECONDS = 1.0
RETRY_SECONDS = 0.5


class Exchange:
    """One task for each other control process sends it reports.

    :param others: returns the other control processes.
    :param hello: returns this process's greeting.
    :ivar sidecars: has and takes the sums of tenants' usage; None where there are none.
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
        self._told: dict[str, Event] = {}
        self.sidecars: SidecarSupport | None = None

    def changed(self) -> None:
        """Take that members, versions or usage have changed."""
        for news in self._told.values():
            news.set()

    def run(self) -> None:
        """Start a task for each control process that is new, for ever."""
        while True:
            for other in self._others():
                if other.address not in self._told:
                    self._told[other.address] = Event()
                    self._runtime.spawn(self._tell, other.address)
            gevent.sleep(RETRY_SECONDS)

    def _is_there(self, address: str) -> bool:
        return any(other.address == address for other in self._others())

    def _tell(self, address: str) -> None:
        while self._is_there(address):
            try:
                self._report(address)
            except (OSError, ConnectionLostError, MalformedRecordError):
                gevent.sleep(RETRY_SECONDS * (0.5 + self._runtime.random.random()))
        del self._told[address]

    def _report(self, address: str) -> None:
        connection = self._runtime.connect(parse_address(address), CONNECT_SECONDS)
        records = RecordConnection(connection, SILENT_SECONDS)
        news = self._told[address]
        position = usage_position = 0
        reported_at = -math.inf
        try:
            records.greet(self._hello())
            while self._is_there(address):
                news.clear()
                report, position = self._membership.report_since(position)
                now = self._runtime.monotonic()
                if report.members or report.versions or now - reported_at >= REPORT_SECONDS:
                    reported_at = now
                    records.queue(report)
                if self.sidecars is not None:
                    records.queue(self.sidecars.totals_since(usage_position))
                    usage_position = self.sidecars.usage_position
                records.flush()
                news.wait(REPORT_SECONDS)
                gevent.sleep(MERGE_SECONDS)
        finally:
            records.close()

    def serve(self, records: RecordConnection, first: MemberReport) -> None:
        """Take another process's reports until its connection ends."""
        records.set_silent_after(SILENT_SECONDS)
        self._membership.reported(first)
        try:
            while True:
                self._take(records)
        except (ConnectionLostError, MalformedRecordError):
            pass
        finally:
            records.close()

    def _take(self, records: RecordConnection) -> None:
        """Take one record of another process."""
        _, message = records.receive()
        match message:
            case MemberReport():
                self._membership.reported(message)
            case UsageTotals() if self.sidecars is not None:
                self.sidecars.take_totals(message)
            case _:
                raise MalformedRecordError(f"{type(message).__name__} from a control process")
