"""Which nodes are there: joins, drains and losses as one ordered list of changes.

Each control process owns the leases of the nodes subscribed to it and reports them to the
others. It takes another process's report on a node as long as that process reports.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Heartbeat, Member, MemberReport, NodeVersion, Subscribe

LEASE_SECONDS = 6.0
"""Time without a heartbeat after which a node counts as silent. A choice: three heartbeats of
a node (``follower.HEARTBEAT_SECONDS``)."""

OWNER_LEASE_SECONDS = 30.0
"""Time that members stay whose control process does not report any more. A choice: those that
are there subscribe elsewhere within it, and callers find out the others."""

SESSION_SHIFT = 10
"""A member's sequence is its session in the high bits and a count of changes in
the low ones, so that the report of a node's newest control process goes first. A choice: 1,024
changes in one session."""


@dataclass
class _Known:
    """A member and why it counts as being there.

    :ivar owner: the control process it is subscribed to; empty: none now.
    :ivar last_heartbeat_at: monotonic second of its last heartbeat, or of the loss of its owner.
    :ivar position: of its last change.
    :ivar presumed: silent only because its owner does not report.
    """

    member: Member
    owner: str
    last_heartbeat_at: float
    position: int = 0
    presumed: bool = False


@dataclass(frozen=True)
class _Version:
    """The version in force at a node, and which control process reported it."""

    number: int
    owner: str
    position: int


class Membership:
    """Members of all services as one control process sees them.

    :param own: this control process's name.
    :param clock: monotonic seconds.
    :param on_change: called after each change.
    """

    def __init__(self, own: str, clock: Callable[[], float], on_change: Callable[[], None]) -> None:
        self._own = own
        self._clock = clock
        self._on_change = on_change
        # In the order of their changes, so that a reader sees only what is new.
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._owner_reported_at: dict[str, float] = {}
        self._versions: OrderedDict[str, _Version] = OrderedDict()
        self._position = 1

    def __len__(self) -> int:
        return len(self.members())

    def members(self) -> list[Member]:
        """Return all members that are there."""
        return [known.member for known in self._known.values() if _is_there(known.member)]

    def incarnation_of(self, node: str) -> int:
        """Return the newest incarnation known of a node, 0 for none."""
        known = self._known.get(node)
        return known.member.incarnation if known is not None else 0

    # Own subscribers.

    def subscribed(self, identity: Subscribe) -> None:
        """Add a node or an edge that has subscribed here, unless a newer one is known."""
        self._set_version(identity.node, identity.version, self._own)
        sequence = identity.session << SESSION_SHIFT
        known = self._known.get(identity.node)
        if known is not None:
            order = (known.member.incarnation, known.member.sequence)
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
        self._put(member, self._own)

    def heartbeat(self, identity: Subscribe, heartbeat: Heartbeat) -> None:
        """Renew a node's lease, and take its state when that has changed."""
        self._set_version(identity.node, heartbeat.version, self._own)
        known = self._known.get(identity.node)
        if known is None or known.owner != self._own:
            return
        if known.member.incarnation != heartbeat.incarnation:
            return
        known.last_heartbeat_at = self._clock()
        self._take_state(known, heartbeat)

    def _take_state(self, known: _Known, heartbeat: Heartbeat) -> None:
        """Put a member whose own state has changed."""
        member = known.member
        stated = (
            heartbeat.state,
            heartbeat.slots,
            heartbeat.instance,
            heartbeat.faults,
            heartbeat.slowness,
        )
        if (member.state, member.slots, member.instance, member.faults, member.slowness) != stated:
            changed = member.replaced(
                sequence=member.sequence + 1,
                state=heartbeat.state,
                slots=heartbeat.slots,
                instance=heartbeat.instance,
                service=heartbeat.service or member.service,
                faults=heartbeat.faults,
                slowness=heartbeat.slowness,
            )
            self._put(changed, known.owner)

    # Other control processes.

    def take_report(self, report: MemberReport) -> None:
        """Take another control process's report on the nodes subscribed to it."""
        owner = report.owner
        self._owner_reported_at[owner] = self._clock()
        for version in report.versions:
            self._set_version(version.node, version.version, owner)
        for member in report.members:
            self._take_member(owner, member)
        if report.whole:
            self._release(owner, named={member.node for member in report.members})

    def _take_member(self, owner: str, member: Member) -> None:
        known = self._known.get(member.node)
        if known is not None:
            order = (known.member.incarnation, known.member.sequence)
            if known.presumed and known.owner == owner:
                order = (known.member.incarnation, 0)
            if order > (member.incarnation, member.sequence):
                return
            if known.member == member and known.owner == owner:
                return
        self._put(member, owner)

    def _release(self, owner: str, named: set[str]) -> None:
        """Let the lease run on those that a restarted owner does not name."""
        for node, known in self._known.items():
            if known.owner == owner and node not in named:
                known.owner = ""
                known.last_heartbeat_at = self._clock()

    # Changes.

    def expire(self) -> list[Member]:
        """Mark members whose lease has run out as silent, and return them.

        They may be cut off from control only: nodes that reach them keep them.
        """
        now = self._clock()
        expired = [
            known
            for known in self._known.values()
            if _is_there(known.member) and self._is_expired(known, now)
        ]
        for known in expired:
            member = known.member
            silent = member.replaced(sequence=member.sequence + 1, state=MemberState.SILENT)
            self._put(silent, known.owner, presumed=self._is_of_another(known))
        return [known.member for known in expired]

    def _is_of_another(self, known: _Known) -> bool:
        """Return whether another control process keeps the member's lease."""
        return known.owner not in ("", self._own)

    def _is_expired(self, known: _Known, now: float) -> bool:
        """Return whether the lease has run out that keeps a member in the list.

        For a member of this process, or of none, that is its own; for one of another control
        process the lease of that process.
        """
        if self._is_of_another(known):
            reported_at = self._owner_reported_at.get(known.owner, known.last_heartbeat_at)
            return now - reported_at > OWNER_LEASE_SECONDS
        return now - known.last_heartbeat_at > LEASE_SECONDS

    def _put(self, member: Member, owner: str, presumed: bool = False) -> None:
        self._position += 1
        self._known[member.node] = _Known(member, owner, self._clock(), self._position, presumed)
        self._known.move_to_end(member.node)
        self._on_change()

    # Readers.

    @property
    def position(self) -> int:
        """The position of the newest change."""
        return self._position

    def since(self, position: int) -> tuple[list[Member], int]:
        """Return the members changed after a position, and the position now."""
        changed = [known.member for known in self._changed_after(position)]
        if position == 0:
            changed = [member for member in changed if _is_there(member)]
        return changed, self._position

    def _changed_after(self, position: int) -> list[_Known]:
        newer = takewhile(lambda known: known.position > position, reversed(self._known.values()))
        changed = list(newer)
        changed.reverse()
        return changed

    def report_since(self, position: int) -> tuple[MemberReport, int]:
        """Return what other control processes need to know after a position."""
        members = [
            known.member for known in self._changed_after(position) if known.owner == self._own
        ]
        newer = takewhile(
            lambda item: item[1].position > position, reversed(self._versions.items())
        )
        versions = [
            NodeVersion(version.number, node)
            for node, version in newer
            if version.owner == self._own
        ]
        report = MemberReport(position == 0, self._own, members, versions)
        return report, self._position

    # Versions in force.

    def _set_version(self, node: str, number: int, owner: str) -> None:
        known = self._versions.get(node)
        if known is not None and (known.number, known.owner) == (number, owner):
            return
        self._position += 1
        self._versions[node] = _Version(number, owner, self._position)
        self._versions.move_to_end(node)

    def version_of(self, node: str) -> int:
        """Return the version in force at a node, as last reported; 0 for none."""
        known = self._versions.get(node)
        return known.number if known is not None else 0


def _is_there(member: Member) -> bool:
    return MemberState(member.state).is_there
