"""Changes of a group's members: one replica at a time, never giving a quorum away."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from cranklane.records.messages import JoinReply, JoinRequest, ReplicaMember, ReplicaSet
from cranklane.replication.replica import EntryKind

if TYPE_CHECKING:
    from cranklane.replication.replica import Replica

PROMOTION_SECONDS = 0.3
"""Seconds between looks at learners that are to vote."""

ALIVE_SECONDS = 3.0
"""A replica that answered the leader within this time counts as there."""


class JoinStatus(IntEnum):
    """Answer to a replica that asks to join."""

    ACCEPTED = 0
    NOT_LEADER = 1
    NO_GROUP = 2
    """The replica that was asked belongs to no group itself."""
    NAME_IN_USE = 3
    BUSY = 4
    """Another change of members is under way, or no quorum answers."""


class ChangeFailure(IntEnum):
    """Why a change of members was not made."""

    NOT_LEADER = 1
    BUSY = 2
    UNKNOWN_NAME = 3
    QUORUM_AT_RISK = 4
    """Without this replica too few voters that answer would be left."""
    NOT_KNOWN = 5
    """Whether the change was made is not known; look again."""


class MembershipChange:
    """Adds, promotes and removes replicas while this replica leads."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        replica.runtime.spawn(self._promote)

    def join(self, request: JoinRequest) -> JoinReply:
        """Answer a replica that asks to become part of the group."""
        replica = self._replica
        if not replica.is_member:
            return JoinReply(JoinStatus.NO_GROUP)
        if not replica.may_read:
            leader = replica.leader_member()
            return JoinReply(JoinStatus.NOT_LEADER, leader.address if leader else "")
        if replica.members.find(request.identity) is not None:
            return JoinReply(JoinStatus.ACCEPTED)
        former = replica.members.named(request.name)
        if former is not None and self._is_there(former):
            return JoinReply(JoinStatus.NAME_IN_USE)
        if former is not None and isinstance(self.remove(former.name), Err):
            return JoinReply(JoinStatus.BUSY)
        learner = ReplicaMember(
            request.identity, False, request.voter, request.name, request.address, request.http
        )
        added = self._state([*replica.members.current, learner])
        return JoinReply(JoinStatus.BUSY if isinstance(added, Err) else JoinStatus.ACCEPTED)

    def remove(self, name: str) -> Result[None, ChangeFailure]:
        """Remove a replica from the group."""
        replica = self._replica
        member = replica.members.named(name)
        if member is None:
            return Err(ChangeFailure.UNKNOWN_NAME)
        rest = [item for item in replica.members.current if item.identity != member.identity]
        if member.voter and not self._would_have_quorum(rest):
            return Err(ChangeFailure.QUORUM_AT_RISK)
        removed = self._state(rest)
        if isinstance(removed, Ok) and member.identity == replica.identity:
            with replica.changing:
                replica.step_down()
        return removed

    def promote(self, name: str, wanted: bool) -> Result[None, ChangeFailure]:
        """State whether a learner is to vote once it has caught up."""
        replica = self._replica
        member = replica.members.named(name)
        if member is None:
            return Err(ChangeFailure.UNKNOWN_NAME)
        changed = ReplicaMember(
            member.identity, member.voter, wanted, member.name, member.address, member.http
        )
        return self._state(self._with(changed))

    def _promote(self) -> None:
        """Let learners vote that are to, once they have caught up."""
        while True:
            gevent.sleep(PROMOTION_SECONDS)
            replica = self._replica
            if not replica.may_read or replica.leadership is None:
                continue
            for member in replica.members.current:
                ready = member.promote and replica.leadership.caught_up(member.identity)
                if ready and not member.voter:
                    voter = ReplicaMember(
                        member.identity, True, False, member.name, member.address, member.http
                    )
                    self._state(self._with(voter))
                    break

    def _with(self, changed: ReplicaMember) -> list[ReplicaMember]:
        return [
            changed if item.identity == changed.identity else item
            for item in self._replica.members.current
        ]

    def _is_there(self, member: ReplicaMember) -> bool:
        replica = self._replica
        if member.identity == replica.identity:
            return True
        leadership = replica.leadership
        return leadership is not None and leadership.answered_within(member.identity, ALIVE_SECONDS)

    def _would_have_quorum(self, members: list[ReplicaMember]) -> bool:
        voters = [member for member in members if member.voter]
        there = sum(self._is_there(member) for member in voters)
        return bool(voters) and there >= len(voters) // 2 + 1

    def _state(self, members: list[ReplicaMember]) -> Result[None, ChangeFailure]:
        """Commit a set of members that differs from the present one by one replica."""
        replica = self._replica
        leadership = replica.leadership
        if leadership is None:
            return Err(ChangeFailure.NOT_LEADER)
        settled = replica.members.index <= replica.commit_index
        if not settled or not leadership.has_committed:
            # Only one change may be under way, and none of an earlier term.
            return Err(ChangeFailure.BUSY)
        done = replica.propose(ReplicaSet(members).pack(), EntryKind.MEMBERS)
        return Err(ChangeFailure.NOT_KNOWN) if isinstance(done, Err) else Ok(None)
