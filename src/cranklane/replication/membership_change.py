"""Changes of a group's members: one replica at a time, never giving a quorum away.

Runs on every replica and acts while it leads. Relies on the leadership for who answers and
who has caught up; the members themselves are entries of the log.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum

import gevent
from result import Err, Ok, Result

from cranklane.records.messages import JoinReply, JoinRequest, ReplicaMember, ReplicaSet
from cranklane.replication.leadership import Leadership
from cranklane.replication.members import quorum_of
from cranklane.replication.replica import Replica
from cranklane.replication.state import EntryKind

PROMOTION_SECONDS = 0.3
"""Between looks at learners that are to vote. A choice: well below
``SILENT_VOTER_SECONDS``."""

ALIVE_SECONDS = 3.0
"""Time since its last reply to the leader within which a replica counts as alive. A choice:
several replies may be lost (``REPLY_SECONDS``)."""

SILENT_VOTER_SECONDS = 1.5
"""Time without a reply after which a learner that has caught up replaces a voter. A choice:
above one lost reply, as the learner is ready to vote."""

SURPLUS_SILENT_SECONDS = 3.0
"""Time without a reply after which a voter is removed that the group does not need. A choice:
longer than for a replacement, since nothing waits for it."""


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
    """Adds, promotes and removes replicas while this replica leads.

    :param voters: how many voters the group is to have; with them a learner that
        has caught up takes the place of a voter that is silent. 0: operators
        alone remove replicas.
    """

    def __init__(self, replica: Replica, voters: int = 0) -> None:
        self._replica = replica
        self._voters = voters
        replica.runtime.spawn(self._promote)

    # What replicas and operators ask for.

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
        return JoinReply(self._admit(request))

    def _admit(self, request: JoinRequest) -> JoinStatus:
        """Add a new learner in place of a former replica of its name.

        A name is refused while its replica is alive at another address. Whoever had this
        very address before has lost its disk: one process has an address.
        """
        former = self._replica.members.named(request.name)
        if former is not None:
            moved = former.address != request.address
            if moved and self._is_alive(former):
                return JoinStatus.NAME_IN_USE
            if isinstance(self.remove(former.name), Err):
                return JoinStatus.BUSY
        learner = ReplicaMember(
            request.identity, False, request.voter, request.name, request.address, request.http
        )
        added = self._propose_members([*self._replica.members.current, learner])
        return JoinStatus.BUSY if isinstance(added, Err) else JoinStatus.ACCEPTED

    def remove(self, name: str) -> Result[None, ChangeFailure]:
        """Remove a replica from the group."""
        replica = self._replica
        member = replica.members.named(name)
        if member is None:
            return Err(ChangeFailure.UNKNOWN_NAME)
        rest = [item for item in replica.members.current if item.identity != member.identity]
        if member.voter and not keeps_quorum(rest, self._is_alive):
            return Err(ChangeFailure.QUORUM_AT_RISK)
        removed = self._propose_members(rest)
        if isinstance(removed, Ok) and member.identity == replica.identity:
            with replica.changing:
                replica.step_down()
        return removed

    def promote(self, name: str, wanted: bool) -> Result[None, ChangeFailure]:
        """Set whether a learner is to vote once it has caught up."""
        member = self._replica.members.named(name)
        if member is None:
            return Err(ChangeFailure.UNKNOWN_NAME)
        return self._propose_members(self._with(member.replaced(promote=wanted)))

    # What the leader does by itself.

    def _promote(self) -> None:
        """Let learners vote that are to, once they have caught up, for ever."""
        while True:
            gevent.sleep(PROMOTION_SECONDS)
            leadership = self._replica.leadership
            if leadership is None or not self._replica.may_read:
                continue
            learner = self._ready_learner(leadership)
            if learner is None:
                self._remove_silent(self._voters + 1, SURPLUS_SILENT_SECONDS)
            elif not self._remove_silent(self._voters, SILENT_VOTER_SECONDS):
                self._propose_members(self._with(learner.replaced(voter=True, promote=False)))

    def _ready_learner(self, leadership: Leadership) -> ReplicaMember | None:
        """Return a learner that is to vote and has caught up, or None."""
        for member in self._replica.members.current:
            if member.promote and not member.voter and leadership.caught_up(member.identity):
                return member
        return None

    def _remove_silent(self, min_voters: int, seconds: float) -> bool:
        """Remove a voter that is silent for so long; return whether one was.

        A group never shrinks below the voters it is to have only because somebody
        is away: without a learner to take its place the voter stays, and one
        that was removed and comes back joins again.

        :param min_voters: voters there must be for one to be removed.
        """
        voters = self._replica.members.voters()
        leadership = self._replica.leadership
        if not self._voters or len(voters) < min_voters or leadership is None:
            return False
        if leadership.age() < seconds:
            # Too new to tell who is silent.
            return False
        for member in voters:
            own = member.identity == self._replica.identity
            if not own and not leadership.answered_within(member.identity, seconds):
                self._replica.event_log.warning("silent_voter_removed", replica=member.name)
                return isinstance(self.remove(member.name), Ok)
        return False

    # Parts.

    def _with(self, changed: ReplicaMember) -> list[ReplicaMember]:
        return [
            changed if item.identity == changed.identity else item
            for item in self._replica.members.current
        ]

    def _is_alive(self, member: ReplicaMember) -> bool:
        replica = self._replica
        if member.identity == replica.identity:
            return True
        leadership = replica.leadership
        return leadership is not None and leadership.answered_within(member.identity, ALIVE_SECONDS)

    def _propose_members(self, members: list[ReplicaMember]) -> Result[None, ChangeFailure]:
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


def keeps_quorum(
    members: Iterable[ReplicaMember], is_alive: Callable[[ReplicaMember], bool]
) -> bool:
    """Return whether a quorum of the voters among these members is alive."""
    voters = [member for member in members if member.voter]
    alive = sum(is_alive(member) for member in voters)
    return bool(voters) and alive >= quorum_of(len(voters))
