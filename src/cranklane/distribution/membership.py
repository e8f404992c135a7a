"""Members of the fleet, with joins, drains and losses as an ordered list of changes.

Each control process tracks the leases of its subscribers and reports them to the others.
Members from another process's reports stay while that process reports.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Heartbeat, Member, MemberReport, NodeVersion, Subscribe

LEASE_SECONDS = 6.0
"""Time without a heartbeat after which a member is silent: three heartbeat intervals
(``subscription_callbacks.HEARTBEAT_INTERVAL_SECONDS``)."""

OWNER_LEASE_SECONDS = 30.0
"""Time without reports of a control process after which its members are silent. Long enough for
live members to subscribe elsewhere."""

SESSION_SHIFT = 10
"""Bits of a member's sequence that count changes in a session. The session is in the bits above,
so that the report of the control process with the newest session takes precedence."""


@dataclass
class _TrackedMember:
    """A member with its owner and lease.

    :ivar owner: name of the control process it is subscribed to, empty for none.
    :ivar last_heartbeat_at: monotonic second of the last heartbeat, or of the loss of the owner.
    :ivar position: position of the member's last change.
    :ivar owner_silent: whether the member is silent only because its owner stopped reporting.
    """

    member: Member
    owner: str
    last_heartbeat_at: float
    position: int = 0
    owner_silent: bool = False


@dataclass(frozen=True)
class _ReportedVersion:
    """Configuration version of a node, and the control process that reported it."""

    number: int
    owner: str
    position: int


class Membership:
    """Members of all services, as tracked by one control process.

    :param control_name: name of this control process.
    :param clock: returns monotonic seconds.
    :param on_change: called after each change of a member.
    """

    def __init__(
        self, control_name: str, clock: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        self._control_name = control_name
        self._clock = clock
        self._on_change = on_change
        # Ordered by last change, so that readers scan only new changes from the end.
        self._tracked_members: OrderedDict[str, _TrackedMember] = OrderedDict()
        self._owner_reported_at: dict[str, float] = {}
        self._versions: OrderedDict[str, _ReportedVersion] = OrderedDict()
        self._position = 1

    def __len__(self) -> int:
        return len(self.members())

    def members(self) -> list[Member]:
        """Return all present members."""
        return [
            tracked.member
            for tracked in self._tracked_members.values()
            if _is_present(tracked.member)
        ]

    def incarnation_of(self, node: str) -> int:
        """Return the newest incarnation of a node, 0 when the node is unknown."""
        tracked = self._tracked_members.get(node)
        return tracked.member.incarnation if tracked is not None else 0

    # Subscribers of this control process.

    def add_subscriber(self, identity: Subscribe) -> None:
        """Add a subscribed node or edge, unless a newer session of it is tracked."""
        self._set_version(identity.node, identity.version, self._control_name)
        sequence = identity.session << SESSION_SHIFT
        tracked = self._tracked_members.get(identity.node)
        if tracked is not None:
            order = (tracked.member.incarnation, tracked.member.sequence)
            if order > (identity.incarnation, sequence):
                return
        member = Member(
            incarnation=identity.incarnation,
            sequence=sequence,
            state=identity.state,
            slots=identity.slots,
            instance=identity.instance,
            node=identity.node,
            tenant=identity.tenant,
            service=identity.service,
            zone=identity.zone,
            address=identity.address,
        )
        self._store(member, self._control_name)

    def heartbeat(self, identity: Subscribe, heartbeat: Heartbeat) -> None:
        """Renew the lease of a subscriber and update its state.

        The lease is not renewed for a member of another owner or incarnation.
        """
        self._set_version(identity.node, heartbeat.version, self._control_name)
        tracked = self._tracked_members.get(identity.node)
        if tracked is None or tracked.owner != self._control_name:
            return
        if tracked.member.incarnation != heartbeat.incarnation:
            return
        tracked.last_heartbeat_at = self._clock()
        self._update_state(tracked, heartbeat)

    def _update_state(self, tracked: _TrackedMember, heartbeat: Heartbeat) -> None:
        """Store the member if the heartbeat changes its state."""
        member = tracked.member
        new_state = (
            heartbeat.state,
            heartbeat.slots,
            heartbeat.instance,
            heartbeat.faults,
            heartbeat.slowness,
        )
        if (
            member.state,
            member.slots,
            member.instance,
            member.faults,
            member.slowness,
        ) != new_state:
            changed = member.replaced(
                sequence=member.sequence + 1,
                state=heartbeat.state,
                slots=heartbeat.slots,
                instance=heartbeat.instance,
                service=heartbeat.service or member.service,
                faults=heartbeat.faults,
                slowness=heartbeat.slowness,
            )
            self._store(changed, tracked.owner)

    # Reports of other control processes.

    def apply_report(self, report: MemberReport) -> None:
        """Apply another control process's report on its subscribers."""
        owner = report.owner
        self._owner_reported_at[owner] = self._clock()
        for version in report.versions:
            self._set_version(version.node, version.version, owner)
        for member in report.members:
            self._apply_reported_member(owner, member)
        if report.whole:
            self._release_unlisted(owner, listed_nodes={member.node for member in report.members})

    def _apply_reported_member(self, owner: str, member: Member) -> None:
        tracked = self._tracked_members.get(member.node)
        if tracked is not None:
            order = (tracked.member.incarnation, tracked.member.sequence)
            if tracked.owner_silent and tracked.owner == owner:
                order = (tracked.member.incarnation, 0)
            if order > (member.incarnation, member.sequence):
                return
            if tracked.member == member and tracked.owner == owner:
                return
        self._store(member, owner)

    def _release_unlisted(self, owner: str, listed_nodes: set[str]) -> None:
        """Start the leases of members that a restarted owner does not list."""
        for node, tracked in self._tracked_members.items():
            if tracked.owner == owner and node not in listed_nodes:
                tracked.owner = ""
                tracked.last_heartbeat_at = self._clock()

    # Expiry.

    def expire(self) -> list[Member]:
        """Mark members with an expired lease as silent, and return them.

        A silent member may be partitioned only from control; nodes that reach it keep using it.
        """
        now = self._clock()
        expired = [
            tracked
            for tracked in self._tracked_members.values()
            if _is_present(tracked.member) and self._is_expired(tracked, now)
        ]
        for tracked in expired:
            member = tracked.member
            silent = member.replaced(sequence=member.sequence + 1, state=MemberState.SILENT)
            self._store(silent, tracked.owner, owner_silent=self._is_remote(tracked))
        return [tracked.member for tracked in expired]

    def _is_remote(self, tracked: _TrackedMember) -> bool:
        """Return whether another control process tracks the member's lease."""
        return tracked.owner not in ("", self._control_name)

    def _is_expired(self, tracked: _TrackedMember, now: float) -> bool:
        """Return whether the lease that keeps a member listed has expired.

        This is the owner's lease for a member of another control process, and the member's own
        lease otherwise.
        """
        if self._is_remote(tracked):
            reported_at = self._owner_reported_at.get(tracked.owner, tracked.last_heartbeat_at)
            return now - reported_at > OWNER_LEASE_SECONDS
        return now - tracked.last_heartbeat_at > LEASE_SECONDS

    def _store(self, member: Member, owner: str, owner_silent: bool = False) -> None:
        self._position += 1
        self._tracked_members[member.node] = _TrackedMember(
            member, owner, self._clock(), self._position, owner_silent
        )
        self._tracked_members.move_to_end(member.node)
        self._on_change()

    # Readers.

    @property
    def position(self) -> int:
        """Position of the newest change."""
        return self._position

    def since(self, position: int) -> tuple[list[Member], int]:
        """Return the members changed after a position, and the current position.

        From position 0, only present members are returned.
        """
        changed = [tracked.member for tracked in self._changed_after(position)]
        if position == 0:
            changed = [member for member in changed if _is_present(member)]
        return changed, self._position

    def _changed_after(self, position: int) -> list[_TrackedMember]:
        newer = takewhile(
            lambda tracked: tracked.position > position, reversed(self._tracked_members.values())
        )
        changed = list(newer)
        changed.reverse()
        return changed

    def report_since(self, position: int) -> tuple[MemberReport, int]:
        """Return the report of changes after a position, and the current position.

        The report contains only subscribers of this process.
        """
        members = [
            tracked.member
            for tracked in self._changed_after(position)
            if tracked.owner == self._control_name
        ]
        newer = takewhile(
            lambda item: item[1].position > position, reversed(self._versions.items())
        )
        versions = [
            NodeVersion(version.number, node)
            for node, version in newer
            if version.owner == self._control_name
        ]
        report = MemberReport(position == 0, self._control_name, members, versions)
        return report, self._position

    # Configuration versions.

    def _set_version(self, node: str, number: int, owner: str) -> None:
        reported = self._versions.get(node)
        if reported is not None and (reported.number, reported.owner) == (number, owner):
            return
        self._position += 1
        self._versions[node] = _ReportedVersion(number, owner, self._position)
        self._versions.move_to_end(node)

    def version_of(self, node: str) -> int:
        """Return the configuration version that a node reported last, 0 for none."""
        reported = self._versions.get(node)
        return reported.number if reported is not None else 0


def _is_present(member: Member) -> bool:
    return MemberState(member.state).is_present
