"""Exchange of members and tenant usage between control processes.

Owns one reporting task for each other control process; members and usage belong to
:class:`Membership` and :class:`SidecarSupport`.
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

REPORT_INTERVAL_SECONDS = 1.0
"""Interval of reports without changes; several fit into ``IDLE_TIMEOUT_SECONDS``."""

IDLE_TIMEOUT_SECONDS = 5.0
"""Time without received bytes after which a connection to a control process is lost."""

MERGE_DELAY_SECONDS = 0.05
"""Delay after a report that merges further changes into the next one."""

CONNECT_TIMEOUT_SECONDS = 1.0
"""Connect timeout."""

RETRY_DELAY_SECONDS = 0.5
"""Mean delay before a failed connection is reopened, and interval of checks for new control
processes."""


class MemberExchange:
    """Sends reports to other control processes and receives theirs.

    :param other_controls: returns the other control processes.
    :param hello: returns this process's Hello record.
    :ivar sidecars: provides and receives totals of tenant usage, None without sidecars.
    """

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        other_controls: Callable[[], list[ReplicaMember]],
        hello: Callable[[], Hello],
    ) -> None:
        self._runtime = runtime
        self._membership = membership
        self._other_controls = other_controls
        self._hello = hello
        self._wakeups: dict[str, Event] = {}
        self.sidecars: SidecarSupport | None = None

    def changed(self) -> None:
        """Wake the reporting tasks after a change of members, versions or usage."""
        for wakeup in self._wakeups.values():
            wakeup.set()

    def run(self) -> None:
        """Start a task for each new control process; runs until the process ends."""
        while True:
            for replica in self._other_controls():
                if replica.address not in self._wakeups:
                    self._wakeups[replica.address] = Event()
                    self._runtime.spawn_restarting(self._keep_reporting, replica.address)
            gevent.sleep(RETRY_DELAY_SECONDS)

    def _is_member(self, address: str) -> bool:
        return any(replica.address == address for replica in self._other_controls())

    def _keep_reporting(self, address: str) -> None:
        while self._is_member(address):
            try:
                self._report(address)
            except (OSError, ConnectionLostError, MalformedRecordError):
                # The next connection starts with a complete report.
                gevent.sleep(RETRY_DELAY_SECONDS * (0.5 + self._runtime.random.random()))
        del self._wakeups[address]

    def _report(self, address: str) -> None:
        """Report on one connection until it fails or the process leaves the group."""
        connection = self._runtime.connect(parse_address(address), CONNECT_TIMEOUT_SECONDS)
        records = RecordConnection(connection, IDLE_TIMEOUT_SECONDS)
        wakeup = self._wakeups[address]
        position = usage_position = 0
        reported_at = -math.inf
        try:
            records.handshake(self._hello())
            while self._is_member(address):
                wakeup.clear()
                report, position = self._membership.report_since(position)
                now = self._runtime.monotonic()
                if (
                    report.members
                    or report.versions
                    or now - reported_at >= REPORT_INTERVAL_SECONDS
                ):
                    reported_at = now
                    records.queue(report)
                if self.sidecars is not None:
                    records.queue(self.sidecars.totals_since(usage_position))
                    usage_position = self.sidecars.usage_position
                records.flush()
                wakeup.wait(REPORT_INTERVAL_SECONDS)
                gevent.sleep(MERGE_DELAY_SECONDS)
        finally:
            records.close()

    def serve(self, records: RecordConnection, first: MemberReport) -> None:
        """Receive the reports of another control process until its connection closes."""
        records.set_idle_timeout(IDLE_TIMEOUT_SECONDS)
        self._membership.apply_report(first)
        try:
            while True:
                self._receive(records)
        except (ConnectionLostError, MalformedRecordError):
            # The other process reconnects; its members stay until its lease expires.
            return
        finally:
            records.close()

    def _receive(self, records: RecordConnection) -> None:
        _, message = records.receive()
        match message:
            case MemberReport():
                self._membership.apply_report(message)
            case UsageTotals() if self.sidecars is not None:
                self.sidecars.take_totals(message)
            case _:
                raise MalformedRecordError(
                    f"{type(message).__name__} is not expected from a control process"
                )
