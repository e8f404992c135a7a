"""Which nodes are there: joins, drains and losses as one ordered list of changes."""

from __future__ import annotations

from collections.abc import Callable

from cranklane.node.members import MemberState
from cranklane.records.messages import Heartbeat, Member, Subscribe

LEASE_SECONDS = 6.0
"""Seconds without a heartbeat after which a node counts as gone."""


class Membership:
    """Members of all services at one control process.

    :param clock: monotonic seconds.
    :param on_change: called after each change.
    """

    def __init__(self, clock: Callable[[], float], on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._members: dict[str, Member] = {}
        self._changed_at: dict[str, int] = {}
        self._heard_at: dict[str, float] = {}
        self._position = 1

    def __len__(self) -> int:
        return sum(member.state != MemberState.GONE for member in self._members.values())

    def members(self) -> list[Member]:
        """Return all members that are not gone."""
        return [m for m in self._members.values() if m.state != MemberState.GONE]

    def joined(self, identity: Subscribe) -> None:
        """Take a node that has subscribed; an edge serves nobody and is not listed."""
        if not identity.service:
            return
        self._heard_at[identity.node] = self._clock()
        known = self._members.get(identity.node)
        if known is not None and known.incarnation > identity.incarnation:
            return
        same = known is not None and known.incarnation == identity.incarnation
        if known is not None and same and known.state == MemberState.LIVE:
            return
        self._put(
            Member(
                incarnation=identity.incarnation,
                sequence=known.sequence + 1 if known is not None and same else 1,
                state=MemberState.LIVE,
                node=identity.node,
                tenant=identity.tenant,
                service=identity.service,
                zone=identity.zone,
                address=identity.address,
            )
        )

    def heard(self, identity: Subscribe, heartbeat: Heartbeat) -> None:
        """Take a node's heartbeat."""
        member = self._members.get(identity.node)
        if member is None or member.incarnation != heartbeat.incarnation:
            return
        self._heard_at[identity.node] = self._clock()
        if member.state != heartbeat.state:
            self._set_state(member, MemberState(heartbeat.state))

    def lost(self, identity: Subscribe) -> None:
        """Take that a node's connection ended; its lease runs on."""

    def expire(self) -> list[Member]:
        """Mark members whose lease has run out as gone, and return them."""
        oldest = self._clock() - LEASE_SECONDS
        expired = [
            member
            for name, member in self._members.items()
            if member.state != MemberState.GONE and self._heard_at.get(name, 0.0) < oldest
        ]
        for member in expired:
            self._set_state(member, MemberState.GONE)
        return expired

    def _set_state(self, member: Member, state: MemberState) -> None:
        self._put(
            Member(
                incarnation=member.incarnation,
                sequence=member.sequence + 1,
                state=state,
                node=member.node,
                tenant=member.tenant,
                service=member.service,
                zone=member.zone,
                address=member.address,
            )
        )

    def _put(self, member: Member) -> None:
        self._position += 1
        self._members[member.node] = member
        self._changed_at[member.node] = self._position
        self._on_change()

    def since(self, position: int) -> tuple[list[Member], int]:
        """Return the members changed after a position, and the position now."""
        changed = [
            member for name, member in self._members.items() if self._changed_at[name] > position
        ]
        if position == 0:
            changed = [member for member in changed if member.state != MemberState.GONE]
        return changed, self._position
