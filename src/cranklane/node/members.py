"""The nodes of the services that this node calls.

Owns what this node knows of each: what control says of it, the load it reports, and how
calls to it went. Relies on :mod:`~cranklane.node.ejection` for the rule on failures. The
sidecar keeps more of a destination (:mod:`~cranklane.sidecar.routing.destination`): there
a worker's health and its absence from control's list count, here a member is there as long
as control says so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.distribution.member_state import MemberState
from cranklane.node.ejection import ejection_seconds
from cranklane.records.messages import AnswerHead, LoadReport, Member, MemberDelta
from cranklane.runtime.interface import Address, parse_address

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the smoothed one. A choice: about five answers count."""


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """What a member lately refused to a tenant.

    :ivar below: calls of a lower criticality than this number; 0: none.
    :ivar reported_at: monotonic second of the report.
    """

    below: int
    reported_at: float


@dataclass(slots=True, eq=False)
class MemberView:
    """One destination node and what this node knows of its load.

    :ivar first_seen: monotonic second at which this node learned of it.
    :ivar limit: calls that its worker runs at once at most.
    :ivar reported: calls in flight or waiting there, by its newest report.
    :ivar opened_since: calls this node sent there after that report.
    :ivar in_flight: calls of this node there now.
    :ivar latency: smoothed seconds until an answer's head.
    :ivar failures: attempts there that failed in a row.
    :ivar ejected_until: monotonic second at which its ejection ends.
    :ivar refusals: its newest report by tenant.
    """

    node: str
    incarnation: int
    sequence: int
    zone: str
    address: Address
    first_seen: float
    state: MemberState = MemberState.LIVE
    reported: int = 0
    limit: int = 1
    opened_since: int = 0
    in_flight: int = 0
    latency: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    refusals: dict[str, RefusalReport] = field(default_factory=dict)

    def load(self) -> float:
        """Return the estimated calls there for each of its slots."""
        return max(self.in_flight, self.reported + self.opened_since) / max(1, self.limit)

    def opened(self) -> None:
        """Count a call sent there."""
        self.in_flight += 1
        self.opened_since += 1

    def closed(self) -> None:
        """Count a call ended there."""
        self.in_flight -= 1

    def reported_load(self, report: LoadReport | AnswerHead, queued: int = 0) -> None:
        """Take the load that the node reports; what was sent since then is counted anew."""
        self.reported = report.in_flight + queued
        self.limit = max(1, report.limit)
        self.opened_since = 0
        if report.draining:
            self.state = MemberState.DRAINING

    def answered(self, seconds: float) -> None:
        """Count an answer or a refusal: the node works.

        :param seconds: until it came.
        """
        self.failures = 0
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)

    def failed(self, now: float) -> bool:
        """Count a failure; return True when it ejects the member.

        :param now: monotonic seconds.
        """
        self.failures += 1
        seconds = ejection_seconds(self.failures)
        if not seconds:
            return False
        self.ejected_until = now + seconds
        return True


class MemberTable:
    """Members of each service, kept current from control's deltas."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._members: dict[tuple[str, str], dict[str, MemberView]] = {}

    def of(self, tenant: str, service: str) -> list[MemberView]:
        """Return the members of a service in a stable order."""
        return list(self._members.get((tenant, service), {}).values())

    def apply(self, delta: MemberDelta) -> list[MemberView]:
        """Take a delta; return the members that are gone."""
        gone = []
        if delta.whole:
            named = {(member.tenant, member.service, member.node) for member in delta.members}
            for (tenant, service), members in self._members.items():
                unnamed = [node for node in members if (tenant, service, node) not in named]
                gone += [members.pop(node) for node in unnamed]
        for member in delta.members:
            gone += self._apply(member)
        return gone

    def _apply(self, member: Member) -> list[MemberView]:
        members = self._members.setdefault((member.tenant, member.service), {})
        known = members.get(member.node)
        if known is not None:
            order = (known.incarnation, known.sequence)
            if (member.incarnation, member.sequence) < order:
                return []
        if not MemberState(member.state).is_present:
            removed = members.pop(member.node, None)
            return [removed] if removed is not None else []
        if known is None or known.incarnation != member.incarnation:
            # A machine replaced under the same name or address is a new one.
            members[member.node] = self._view(member)
            return [known] if known is not None else []
        known.sequence = member.sequence
        known.state = MemberState(member.state)
        return []

    def _view(self, member: Member) -> MemberView:
        return MemberView(
            node=member.node,
            incarnation=member.incarnation,
            sequence=member.sequence,
            zone=member.zone,
            address=parse_address(member.address),
            first_seen=self._clock(),
            state=MemberState(member.state),
        )
