"""Membership changes of a group, one replica at a time, without loss of the quorum.

Runs on every replica and acts only on the leader. The leadership provides which replicas are
alive and caught up; the member sets are log entries.
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

PROMOTION_CHECK_SECONDS = 0.3
"""Interval of checks for learners to promote and silent voters to remove."""

ALIVE_SECONDS = 3.0
"""Longest time since a replica's last reply for which it counts as alive; allows several lost
replies (``REPLY_TIMEOUT_SECONDS``)."""

SILENT_VOTER_SECONDS = 1.5
"""Time without a reply after which a caught-up learner replaces a voter; allows one lost
reply."""

SILENT_SURPLUS_VOTER_SECONDS = 3.0
"""Time without a reply after which a surplus voter is removed."""


class JoinStatus(IntEnum):
    """Status of a reply to a join request."""

    ACCEPTED = 0
    NOT_LEADER = 1
    NO_GROUP = 2
    """The answering replica is not a member of a group."""
    NAME_IN_USE = 3
    BUSY = 4
    """Another membership change is in progress, or there is no quorum."""


class ChangeFailure(IntEnum):
    """Reason why a membership change failed."""

    NOT_LEADER = 1
    BUSY = 2
    UNKNOWN_NAME = 3
    QUORUM_AT_RISK = 4
    """The remaining voters that are alive would not be a quorum."""
    OUTCOME_UNKNOWN = 5
    """The change may have been committed; check the members before a retry."""


class MembershipChange:
    """Adds, promotes and removes replicas while this replica leads.

    :param voters: target number of voters. Above 0, silent surplus voters are removed and a
        caught-up learner replaces a silent voter; at 0, only operators remove replicas.
    """

    def __init__(self, replica: Replica, voters: int = 0) -> None:
        self._replica = replica
        self._target_voters = voters
        replica.runtime.spawn_restarting(self._manage_voters)

    # Requests of replicas and operators.

    def join(self, request: JoinRequest) -> JoinReply:
        """Handle a join request."""
        replica = self._replica
        if not replica.is_member:
            return JoinReply(JoinStatus.NO_GROUP)
        if not replica.may_read:
            leader = replica.leader_member()
            return JoinReply(JoinStatus.NOT_LEADER, leader.address if leader else "")
        if replica.members.find(request.identity) is not None:
            return JoinReply(JoinStatus.ACCEPTED)
        return JoinReply(self._add_learner(request))

    def _add_learner(self, request: JoinRequest) -> JoinStatus:
        """Add a learner, replacing a former replica with the same name.

        The request is refused while the former replica is alive at another address. A former
        replica at the same address has lost its disk.
        """
        former = self._replica.members.find_by_name(request.name)
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
        """Remove a replica from the group; a leader that removes itself steps down."""
        replica = self._replica
        member = replica.members.find_by_name(name)
        if member is None:
            return Err(ChangeFailure.UNKNOWN_NAME)
        remaining = [item for item in replica.members.current if item.identity != member.identity]
        if member.voter and not keeps_quorum(remaining, self._is_alive):
            return Err(ChangeFailure.QUORUM_AT_RISK)
        removed = self._propose_members(remaining)
        if isinstance(removed, Ok) and member.identity == replica.identity:
            with replica.state_lock:
                replica.step_down()
        return removed

    def promote(self, name: str, wanted: bool) -> Result[None, ChangeFailure]:
        """Set whether a learner becomes a voter once it has caught up."""
        member = self._replica.members.find_by_name(name)
        if member is None:
            return Err(ChangeFailure.UNKNOWN_NAME)
        return self._propose_members(self._with_member(member.replaced(promote=wanted)))

    # Automatic changes by the leader.

    def _manage_voters(self) -> None:
        """Promote caught-up learners and remove silent voters; runs until the process ends."""
        while True:
            gevent.sleep(PROMOTION_CHECK_SECONDS)
            leadership = self._replica.leadership
            if leadership is None or not self._replica.may_read:
                continue
            learner = self._ready_learner(leadership)
            if learner is None:
                self._remove_silent(self._target_voters + 1, SILENT_SURPLUS_VOTER_SECONDS)
            elif not self._remove_silent(self._target_voters, SILENT_VOTER_SECONDS):
                self._propose_members(
                    self._with_member(learner.replaced(voter=True, promote=False))
                )

    def _ready_learner(self, leadership: Leadership) -> ReplicaMember | None:
        """Return a caught-up learner with ``promote`` set, or None."""
        for member in self._replica.members.current:
            if member.promote and not member.voter and leadership.caught_up(member.identity):
                return member
        return None

    def _remove_silent(self, min_voters: int, seconds: float) -> bool:
        """Remove a voter that has been silent for ``seconds``; return whether one was removed.

        Without a learner to replace it, a silent voter stays: the group does not shrink below
        its target size. A removed replica that returns joins again.

        :param min_voters: smallest number of voters that allows a removal.
        """
        voters = self._replica.members.voters()
        leadership = self._replica.leadership
        if not self._target_voters or len(voters) < min_voters or leadership is None:
            return False
        if leadership.age() < seconds:
            # Replicas had too little time to answer this leader.
            return False
        for member in voters:
            is_self = member.identity == self._replica.identity
            if not is_self and not leadership.replied_within(member.identity, seconds):
                self._replica.event_log.warning("silent_voter_removed", replica=member.name)
                return isinstance(self.remove(member.name), Ok)
        return False

    # Helpers.

    def _with_member(self, changed: ReplicaMember) -> list[ReplicaMember]:
        return [
            changed if item.identity == changed.identity else item
            for item in self._replica.members.current
        ]

    def _is_alive(self, member: ReplicaMember) -> bool:
        replica = self._replica
        if member.identity == replica.identity:
            return True
        leadership = replica.leadership
        return leadership is not None and leadership.replied_within(member.identity, ALIVE_SECONDS)

    def _propose_members(self, members: list[ReplicaMember]) -> Result[None, ChangeFailure]:
        """Commit a member set that differs from the current one by one replica."""
        replica = self._replica
        leadership = replica.leadership
        if leadership is None:
            return Err(ChangeFailure.NOT_LEADER)
        is_committed = replica.members.index <= replica.commit_index
        if not is_committed or not leadership.has_committed:
            # One change at a time, and only after an entry of this term is committed.
            return Err(ChangeFailure.BUSY)
        done = replica.propose(ReplicaSet(members).pack(), EntryKind.MEMBERS)
        return Err(ChangeFailure.OUTCOME_UNKNOWN) if isinstance(done, Err) else Ok(None)


def keeps_quorum(
    members: Iterable[ReplicaMember], is_alive: Callable[[ReplicaMember], bool]
) -> bool:
    """Return whether a quorum of the voters in ``members`` is alive."""
    voters = [member for member in members if member.voter]
    alive = sum(is_alive(member) for member in voters)
    return bool(voters) and alive >= quorum_of(len(voters))
