"""Which nodes are there: joins, drains and losses as one ordered list of changes.

Each control process keeps the leases of the nodes subscribed to it, its own, and
tells the others of them. It believes another process's word on a node as long as
it hears from that process.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Heartbeat, Member, MemberReport, NodeVersion, Subscribe

LEASE_SECONDS = 6.0
"""Seconds without a heartbeat after which a node counts as gone."""

OWNER_LEASE_SECONDS = 30.0
"""Seconds that members stay whose control process is not heard any more: those
that are there subscribe elsewhere, and the others are found out by their callers."""

SESSION_SHIFT = 10
"""A member's sequence is its session in the high bits and a count of changes in
the low ones, so that what a node's newest control process says goes first."""


@dataclass
class _Known:
    """A member and why it is believed to be there.

    :ivar owner: the control process it is subscribed to; empty: nobody's now.
    :ivar heard_at: last heartbeat, or when its owner was lost.
    :ivar presumed: silent only because its owner was not heard.
    """

    member: Member
    owner: str
    heard_at: float
    position: int = 0
    presumed: bool = False


@dataclass(frozen=True)
class _Version:
    """The version in force at a node, and which control process said so."""

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
        self._owner_heard: dict[str, float] = {}
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

    def joined(self, identity: Subscribe) -> None:
        """Take a node or an edge that has subscribed."""
        self._saw_version(identity.node, identity.version, self._own)
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
        self._saw_version(identity.node, heartbeat.version, self._own)
        known = self._known.get(identity.node)
        if known is None or known.owner != self._own:
            return
        if known.member.incarnation != heartbeat.incarnation:
            return
        known.heard_at = self._clock()
        member = known.member
        told = (
            heartbeat.state,
            heartbeat.slots,
            heartbeat.instance,
            heartbeat.faults,
            heartbeat.slowness,
        )
        if (member.state, member.slots, member.instance, member.faults, member.slowness) != told:
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

    def reported(self, report: MemberReport) -> None:
        """Take another control process's word on the nodes subscribed to it."""
        owner = report.owner
        self.owner_heard(owner)
        for version in report.versions:
            self._saw_version(version.node, version.version, owner)
        for member in report.members:
            self._take_report(owner, member)
        if report.whole:
            self._release(owner, {member.node for member in report.members})

    def owner_heard(self, owner: str) -> None:
        """Take that another control process is there."""
        self._owner_heard[owner] = self._clock()

    def _take_report(self, owner: str, member: Member) -> None:
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
                known.heard_at = self._clock()

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
            presumed = known.owner not in ("", self._own)
            self._set_state(known, MemberState.SILENT, presumed)
        return [known.member for known in expired]

    def _is_expired(self, known: _Known, now: float) -> bool:
        own = known.owner in ("", self._own)
        lease = LEASE_SECONDS if own else OWNER_LEASE_SECONDS
        return now - self._heard_at(known) > lease

    def _heard_at(self, known: _Known) -> float:
        if known.owner in ("", self._own):
            return known.heard_at
        return self._owner_heard.get(known.owner, known.heard_at)

    def _set_state(self, known: _Known, state: MemberState, presumed: bool = False) -> None:
        changed = known.member.replaced(sequence=known.member.sequence + 1, state=state)
        self._put(changed, known.owner, presumed)

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
        changed = []
        for known in reversed(self._known.values()):
            if known.position <= position:
                break
            changed.append(known)
        changed.reverse()
        return changed

    def report_since(self, position: int) -> tuple[MemberReport, int]:
        """Return what other control processes need to know after a position."""
        members = [
            known.member for known in self._changed_after(position) if known.owner == self._own
        ]
        versions = []
        for node, version in reversed(self._versions.items()):
            if version.position <= position:
                break
            if version.owner == self._own:
                versions.append(NodeVersion(version.number, node))
        report = MemberReport(position == 0, self._own, members, versions)
        return report, self._position

    # Versions in force.

    def _saw_version(self, node: str, number: int, owner: str) -> None:
        known = self._versions.get(node)
        if known is not None and (known.number, known.owner) == (number, owner):
            return
        self._position += 1
        self._versions[node] = _Version(number, owner, self._position)
        self._versions.move_to_end(node)

    def version_of(self, node: str) -> int:
        """Return the version in force at a node, as last told; 0 for none."""
        known = self._versions.get(node)
        return known.number if known is not None else 0


def _is_there(member: Member) -> bool:
    return MemberState(member.state).is_there
