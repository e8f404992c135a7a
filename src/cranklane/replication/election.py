"""Detects that there is no leader and stands for election.

Owns the election timer and the votes of one candidacy; the replica's log, vote and members
belong to :class:`ReplicaState`, and what follows from a won election to a
:class:`Candidate`.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from cranklane.records.messages import ReplicaMember, VoteReply, VoteRequest
from cranklane.replication.state import ReplicaState
from cranklane.replication.timing import (
    CAMPAIGN_RETRY_SECONDS,
    DISK_PAUSE_SECONDS,
    ELECTION_SECONDS,
    TURN_SECONDS,
    VOTE_SECONDS,
    election_timeout,
)


class Candidate(Protocol):
    """The replica on whose behalf an election is held."""

    @property
    def is_leader(self) -> bool:
        """Whether it leads, as far as it knows."""

    def begin_term(self) -> bool:
        """Begin a new term and vote for itself; return False when it leads by now.

        :raises OSError: when the disk refuses the vote.
        """

    def lead(self, term: int) -> None:
        """Begin to lead a term that a quorum has voted for."""

    def newer_term_seen(self, term: int) -> None:
        """Adopt a newer term that a reply has shown."""


class Election:
    """Election timer and candidacies of one replica.

    :ivar lost_leader: the former leader if its disk is known to be lost, else 0.
    """

    def __init__(self, state: ReplicaState, candidate: Candidate) -> None:
        self._state = state
        self._candidate = candidate
        self._timer_started_at = 0.0
        self._timeout = 0.0
        self._leased_heartbeat_at: float | None = None
        self.lost_leader = 0

    # The timer.

    def leased_heartbeat(self) -> None:
        """Note a heartbeat of a leader that states that it has its lease."""
        self._leased_heartbeat_at = self._state.runtime.monotonic()
        self.restart_timer()

    def has_leased_leader(self) -> bool:
        """Return whether a leader with a lease sent a heartbeat within ``ELECTION_SECONDS``."""
        heartbeat_at = self._leased_heartbeat_at
        now = self._state.runtime.monotonic()
        return heartbeat_at is not None and now - heartbeat_at < ELECTION_SECONDS

    def restart_timer(self) -> None:
        """Restart the timer: a heartbeat came, or a vote was given or asked for."""
        self._timer_started_at = self._state.runtime.monotonic()
        self._timeout = election_timeout(self._state.runtime.random)

    def is_timer_fresh(self) -> bool:
        """Return whether the timer was restarted within ``ELECTION_SECONDS``."""
        age = self._state.runtime.monotonic() - self._timer_started_at
        return age < ELECTION_SECONDS

    def pause(self) -> None:
        """Leave it to others to stand, for longer than an election takes."""
        self.restart_timer()
        self._timeout += DISK_PAUSE_SECONDS

    # When to stand.

    def watch(self) -> None:
        """Stand for election whenever the timer has run out, for ever."""
        while True:
            left = self._timer_started_at + self._timeout - self._state.runtime.monotonic()
            if left > 0:
                gevent.sleep(left)
                continue
            self.restart_timer()
            if not self._candidate.is_leader and self._state.is_voter:
                # No leader is there: the timer must not keep this replica from voting.
                self._timer_started_at -= ELECTION_SECONDS
                self._stand()

    def replace_former_leader(self) -> None:
        """Stand at once after a restart, if the former leader can have no lease.

        That is so when it was this very replica, or when its disk is lost. Tries
        until another leader may have been found the usual way.
        """
        state = self._state
        former = state.votes.state.voted_for
        ends_at = state.runtime.monotonic() + ELECTION_SECONDS
        while state.runtime.monotonic() < ends_at:
            if former != state.identity and self._has_lost_its_disk(former):
                self.lost_leader = former
                gevent.sleep(TURN_SECONDS * self._turn())
            if state.leader or not state.is_voter:
                return
            own_or_lost = former in (state.identity, self.lost_leader)
            if former and own_or_lost and not self._stand():
                return
            gevent.sleep(CAMPAIGN_RETRY_SECONDS)

    def _has_lost_its_disk(self, identity: int) -> bool:
        """Return whether another replica answers at a member's address now."""
        member = self._state.members.find(identity)
        if member is None:
            return False
        answering = self._state.link(member).identity_now(VOTE_SECONDS)
        return answering not in (0, identity)

    def _turn(self) -> int:
        """Return how many other voters stand before this one."""
        voters = sorted(member.identity for member in self._state.members.voters())
        return sum(identity < self._state.identity for identity in voters)

    # One candidacy.

    def _stand(self) -> bool:
        """Stand for election; return whether this replica's disk took its vote."""
        try:
            self.campaign()
        except OSError as error:
            # The vote could not be written: others are to stand.
            self._state.event_log.error("disk_failed", error=str(error))
            self.pause()
            return False
        return True

    def campaign(self) -> None:
        """Ask for a trial vote first, so that a replica cut off disturbs nobody.

        :raises OSError: when the disk refuses the vote.
        """
        if self._candidate.is_leader or not self._has_won(self._vote_request(trial=True)):
            return
        if not self._candidate.begin_term():
            return
        request = self._vote_request(trial=False)
        if self._has_won(request):
            self._candidate.lead(request.term)

    def _vote_request(self, trial: bool) -> VoteRequest:
        state = self._state
        return VoteRequest(
            state.term + 1 if trial else state.term,
            state.identity,
            state.log.last_index,
            state.log.last_term,
            trial,
            self.lost_leader,
        )

    def _has_won(self, request: VoteRequest) -> bool:
        """Ask the other voters; return whether a quorum grants in time."""
        state = self._state
        others = [item for item in state.members.voters() if item.identity != state.identity]
        tasks = [state.runtime.spawn(self._ask, member, request) for member in others]
        granted = 1
        for task in gevent.iwait(tasks, timeout=VOTE_SECONDS):
            granted += bool(task.value)
            if granted >= state.members.quorum():
                break
        return granted >= state.members.quorum()

    def _ask(self, member: ReplicaMember, request: VoteRequest) -> bool:
        link = self._state.link(member)
        reply = link.call(request, VoteReply, VOTE_SECONDS)
        if reply is None or link.peer != member.identity:
            # Another identity at the address is not the voter that we know.
            return False
        if reply.term > request.term:
            self._candidate.newer_term_seen(reply.term)
        return reply.granted
