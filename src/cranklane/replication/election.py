"""Watches for a leader and, when there is none, tries to become it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from cranklane.records.messages import ReplicaMember, VoteReply, VoteRequest
from cranklane.replication.timing import ELECTION_SECONDS

if TYPE_CHECKING:
    from cranklane.replication.replica import Replica

PAUSE_SECONDS = 4.0
"""Seconds that a replica whose disk failed leaves elections to the others."""

VOTE_SECONDS = 0.5
"""Seconds a vote is waited for."""

RETRY_SECONDS = 0.1
"""Seconds between the tries to replace a former leader at once after a restart."""

TURN_SECONDS = 0.1
"""Seconds by which replicas that would replace a lost leader follow each other."""


class Election:
    """The part of a replica that follows and replaces leaders.

    :ivar lost_leader: the former leader if its disk is known to be lost, else 0.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._heard_at = 0.0
        self._patience = 0.0
        self._leader_heard_at: float | None = None
        self.lost_leader = 0

    def leader_heard(self) -> None:
        """Take the word of a leader that leads for certain."""
        self._leader_heard_at = self._replica.runtime.monotonic()
        self.heard()

    def leader_heard_lately(self) -> bool:
        """Return whether a leader spoke within the shortest election time."""
        heard_at = self._leader_heard_at
        now = self._replica.runtime.monotonic()
        return heard_at is not None and now - heard_at < ELECTION_SECONDS

    def heard(self) -> None:
        """Start the election timer anew: a leader spoke, or a vote was given or asked for."""
        self._heard_at = self._replica.runtime.monotonic()
        self._patience = ELECTION_SECONDS * (1 + self._replica.runtime.random.random())

    def heard_lately(self) -> bool:
        """Return whether the timer was started within the shortest election time."""
        age = self._replica.runtime.monotonic() - self._heard_at
        return age < ELECTION_SECONDS

    def watch(self) -> None:
        """Stand for election whenever no leader was heard for long enough."""
        replica = self._replica
        while True:
            left = self._heard_at + self._patience - replica.runtime.monotonic()
            if left > 0:
                gevent.sleep(left)
                continue
            self.heard()
            if not replica.is_leader and replica.members.is_voter(replica.identity):
                self._heard_at -= ELECTION_SECONDS
                self._campaigned()

    def _campaigned(self) -> bool:
        """Stand for election; return whether this replica's disk took its vote."""
        try:
            self.campaign()
        except OSError as error:
            # The vote could not be written: others are to stand.
            self._replica.event_log.error("disk_failed", error=str(error))
            self.pause()
            return False
        return True

    def replace_former_leader(self) -> None:
        """Stand at once after a restart, if the former leader can have no lease.

        That is so when it was this very replica, or when its disk is lost. Tries
        until another leader may have been found the usual way.
        """
        replica = self._replica
        former = replica.votes.state.voted_for
        ends_at = replica.runtime.monotonic() + ELECTION_SECONDS
        while replica.runtime.monotonic() < ends_at:
            if former != replica.identity and self._has_lost_its_disk(former):
                self.lost_leader = former
                gevent.sleep(TURN_SECONDS * self._turn())
            if replica.leader or not replica.members.is_voter(replica.identity):
                return
            own_or_lost = former in (replica.identity, self.lost_leader)
            if former and own_or_lost and not self._campaigned():
                return
            gevent.sleep(RETRY_SECONDS)

    def _has_lost_its_disk(self, identity: int) -> bool:
        """Return whether another replica answers at a member's address now."""
        replica = self._replica
        member = replica.members.find(identity)
        if member is None:
            return False
        answering = replica.link(member).identity_now(VOTE_SECONDS)
        return answering not in (0, identity)

    def _turn(self) -> int:
        """Return how many other voters stand before this one."""
        voters = sorted(member.identity for member in self._replica.members.voters())
        return sum(identity < self._replica.identity for identity in voters)

    def pause(self) -> None:
        """Leave it to others to stand, for longer than an election takes."""
        self.heard()
        self._patience += PAUSE_SECONDS

    def campaign(self) -> None:
        """Ask for a trial vote first, so that a replica cut off disturbs nobody."""
        replica = self._replica
        if replica.is_leader or not self._won(replica.vote_request(trial=True)):
            return
        request = replica.stand()
        if request is not None and self._won(request):
            replica.lead(request.term)

    def _won(self, request: VoteRequest) -> bool:
        replica = self._replica
        voters = replica.members.voters()
        others = [member for member in voters if member.identity != replica.identity]
        tasks = [replica.runtime.spawn(self._ask, member, request) for member in others]
        granted = 1
        for task in gevent.iwait(tasks, timeout=VOTE_SECONDS):
            granted += bool(task.value)
            if granted >= replica.members.quorum():
                break
        return granted >= replica.members.quorum()

    def _ask(self, member: ReplicaMember, request: VoteRequest) -> bool:
        link = self._replica.link(member)
        reply = link.call(request, VoteReply, VOTE_SECONDS)
        if reply is None or link.peer != member.identity:
            # Another identity at the address is not the voter that we know.
            return False
        if reply.term > request.term:
            self._replica.newer_term_seen(reply.term)
        return reply.granted
