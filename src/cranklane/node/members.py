"""Members of the called services: the nodes that calls can be sent to.

For each member, keeps the state published by control, its reported load and the results of
calls to it. :mod:`~cranklane.node.ejection` decides on ejections.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.distribution.member_state import MemberState
from cranklane.node.ejection import ejection_seconds
from cranklane.records.messages import AnswerHead, LoadReport, Member, MemberDelta
from cranklane.runtime.interface import Address, parse_address

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the moving average."""


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """A member's report of its recent refusals to a tenant.

    :ivar refused_below: one more than the highest refused criticality; 0 for no refusals.
    :ivar reported_at: monotonic second of the report.
    """

    refused_below: int
    reported_at: float


@dataclass(slots=True, eq=False)
class MemberView:
    """A destination node, with its load and health as seen by this node.

    :ivar first_seen: monotonic second at which this node learned of the member.
    :ivar limit: concurrency limit of its worker.
    :ivar reported_calls: running and queued calls in its newest report.
    :ivar opened_since_report: calls that this node has sent since that report.
    :ivar in_flight: this node's calls in flight to the member.
    :ivar latency: moving average of the seconds until an answer's head.
    :ivar failures: consecutive failed attempts.
    :ivar ejected_until: monotonic second at which its ejection ends.
    :ivar refusals: its newest report of refusals by tenant.
    """

    node: str
    incarnation: int
    sequence: int
    zone: str
    address: Address
    first_seen: float
    state: MemberState = MemberState.LIVE
    reported_calls: int = 0
    limit: int = 1
    opened_since_report: int = 0
    in_flight: int = 0
    latency: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    refusals: dict[str, RefusalReport] = field(default_factory=dict)

    def load(self) -> float:
        """Return the estimated calls per slot of the member."""
        return max(self.in_flight, self.reported_calls + self.opened_since_report) / max(
            1, self.limit
        )

    def opened(self) -> None:
        """Count a call sent to the member."""
        self.in_flight += 1
        self.opened_since_report += 1

    def closed(self) -> None:
        """Count the end of a call to the member."""
        self.in_flight -= 1

    def reported_load(self, report: LoadReport | AnswerHead, queued: int = 0) -> None:
        """Update the load from a report and reset the count of calls sent since."""
        self.reported_calls = report.in_flight + queued
        self.limit = max(1, report.limit)
        self.opened_since_report = 0
        if report.draining:
            self.state = MemberState.DRAINING

    def answered(self, seconds: float) -> None:
        """Record an answer or a refusal, which ends a series of failures.

        :param seconds: latency of the answer's head.
        """
        self.failures = 0
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)

    def failed(self, now: float) -> bool:
        """Record a failure; return whether it ejects the member.

        :param now: current time in monotonic seconds.
        """
        self.failures += 1
        seconds = ejection_seconds(self.failures)
        if not seconds:
            return False
        self.ejected_until = now + seconds
        return True


class MemberTable:
    """Members of each service, updated by deltas from control."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._members: dict[tuple[str, str], dict[str, MemberView]] = {}

    def of(self, tenant: str, service: str) -> list[MemberView]:
        """Return the members of a service in a stable order."""
        return list(self._members.get((tenant, service), {}).values())

    def apply(self, delta: MemberDelta) -> list[MemberView]:
        """Apply a delta; return the removed members."""
        removed = []
        if delta.whole:
            listed = {(member.tenant, member.service, member.node) for member in delta.members}
            for (tenant, service), members in self._members.items():
                unlisted = [node for node in members if (tenant, service, node) not in listed]
                removed += [members.pop(node) for node in unlisted]
        for member in delta.members:
            removed += self._apply(member)
        return removed

    def _apply(self, member: Member) -> list[MemberView]:
        members = self._members.setdefault((member.tenant, member.service), {})
        view = members.get(member.node)
        if view is not None:
            current_version = (view.incarnation, view.sequence)
            if (member.incarnation, member.sequence) < current_version:
                return []
        if not MemberState(member.state).is_present:
            removed = members.pop(member.node, None)
            return [removed] if removed is not None else []
        if view is None or view.incarnation != member.incarnation:
            # Another incarnation under the same name is a new member.
            members[member.node] = self._new_view(member)
            return [view] if view is not None else []
        view.sequence = member.sequence
        view.state = MemberState(member.state)
        return []

    def _new_view(self, member: Member) -> MemberView:
        return MemberView(
            node=member.node,
            incarnation=member.incarnation,
            sequence=member.sequence,
            zone=member.zone,
            address=parse_address(member.address),
            first_seen=self._clock(),
            state=MemberState(member.state),
        )
