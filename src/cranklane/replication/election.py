"""Election timer and candidacies of a replica.

Log, vote and members belong to :class:`ReplicaState`; changes of term and role belong to
:class:`Candidate`.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from cranklane.records.messages import ReplicaMember, VoteReply, VoteRequest
from cranklane.replication.state import ReplicaState
from cranklane.replication.timing import (
    CAMPAIGN_RETRY_SECONDS,
    CANDIDACY_STAGGER_SECONDS,
    DISK_FAILURE_PAUSE_SECONDS,
    MIN_ELECTION_TIMEOUT_SECONDS,
    VOTE_TIMEOUT_SECONDS,
    election_timeout,
)


class Candidate(Protocol):
    """Replica operations that an election needs."""

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads its term."""

    def begin_term(self) -> bool:
        """Start a new term with a vote for this replica; return False if it already leads.

        :raises OSError: when the vote cannot be written.
        """

    def lead(self, term: int) -> None:
        """Become leader of a term won by a quorum of votes."""

    def on_newer_term(self, term: int) -> None:
        """Adopt a newer term found in a reply."""


class Election:
    """Election timer and candidacies of one replica.

    :ivar disk_lost_leader: identity of the former leader if its disk is known to be lost,
        else 0.
    """

    def __init__(self, state: ReplicaState, candidate: Candidate) -> None:
        self._state = state
        self._candidate = candidate
        self._timer_started_at = 0.0
        self._timeout = 0.0
        self._leased_heartbeat_at: float | None = None
        self.disk_lost_leader = 0

    # Election timer.

    def record_leased_heartbeat(self) -> None:
        """Record a heartbeat of a leader that has the lease."""
        self._leased_heartbeat_at = self._state.runtime.monotonic()
        self.restart_timer()

    def has_leased_leader(self) -> bool:
        """Return whether a leased leader sent a heartbeat within the shortest election timeout."""
        heartbeat_at = self._leased_heartbeat_at
        now = self._state.runtime.monotonic()
        return heartbeat_at is not None and now - heartbeat_at < MIN_ELECTION_TIMEOUT_SECONDS

    def restart_timer(self) -> None:
        """Restart the timer with a new random timeout."""
        self._timer_started_at = self._state.runtime.monotonic()
        self._timeout = election_timeout(self._state.runtime.random)

    def was_timer_restarted_recently(self) -> bool:
        """Return whether the timer was restarted within ``MIN_ELECTION_TIMEOUT_SECONDS``."""
        age = self._state.runtime.monotonic() - self._timer_started_at
        return age < MIN_ELECTION_TIMEOUT_SECONDS

    def pause(self) -> None:
        """Restart the timer with ``DISK_FAILURE_PAUSE_SECONDS`` added to the timeout."""
        self.restart_timer()
        self._timeout += DISK_FAILURE_PAUSE_SECONDS

    # Start of candidacies.

    def run_timer(self) -> None:
        """Start a candidacy each time the timer expires; runs until the process ends."""
        while True:
            remaining_seconds = (
                self._timer_started_at + self._timeout - self._state.runtime.monotonic()
            )
            if remaining_seconds > 0:
                gevent.sleep(remaining_seconds)
                continue
            self.restart_timer()
            if not self._candidate.is_leader and self._state.is_voter:
                # Without a leader, the restarted timer must not make this replica refuse votes.
                self._timer_started_at -= MIN_ELECTION_TIMEOUT_SECONDS
                self._try_campaign()

    def replace_former_leader(self) -> None:
        """Start candidacies right after a restart, if the former leader cannot have a lease.

        This is the case if the former leader is this replica or has lost its disk. Stops
        after ``MIN_ELECTION_TIMEOUT_SECONDS`` at the latest, when ordinary elections begin.
        """
        state = self._state
        former = state.votes.state.voted_for
        ends_at = state.runtime.monotonic() + MIN_ELECTION_TIMEOUT_SECONDS
        while state.runtime.monotonic() < ends_at:
            if former != state.identity and self._has_lost_its_disk(former):
                self.disk_lost_leader = former
                gevent.sleep(CANDIDACY_STAGGER_SECONDS * self._candidacy_rank())
            if state.leader or not state.is_voter:
                return
            self_or_lost = former in (state.identity, self.disk_lost_leader)
            if former and self_or_lost and not self._try_campaign():
                return
            gevent.sleep(CAMPAIGN_RETRY_SECONDS)

    def _has_lost_its_disk(self, identity: int) -> bool:
        """Return whether another identity answers at a member's address: its disk is lost."""
        member = self._state.members.find(identity)
        if member is None:
            return False
        answering = self._state.link(member).probe_identity(VOTE_TIMEOUT_SECONDS)
        return answering not in (0, identity)

    def _candidacy_rank(self) -> int:
        """Return the number of voters with a lower identity."""
        voters = sorted(member.identity for member in self._state.members.voters())
        return sum(identity < self._state.identity for identity in voters)

    # Candidacy.

    def _try_campaign(self) -> bool:
        """Run a candidacy; return False when this replica's vote could not be written."""
        try:
            self.campaign()
        except OSError as error:
            # Leave the election to replicas with a working disk.
            self._state.event_log.error("disk_failed", error=str(error))
            self.pause()
            return False
        return True

    def campaign(self) -> None:
        """Request pre-votes, then votes; become leader with a quorum of both.

        Pre-votes keep a partitioned replica from raising the term of the group.

        :raises OSError: when this replica's vote cannot be written.
        """
        if self._candidate.is_leader or not self._has_won(self._vote_request(pre_vote=True)):
            return
        if not self._candidate.begin_term():
            return
        request = self._vote_request(pre_vote=False)
        if self._has_won(request):
            self._candidate.lead(request.term)

    def _vote_request(self, pre_vote: bool) -> VoteRequest:
        state = self._state
        return VoteRequest(
            state.term + 1 if pre_vote else state.term,
            state.identity,
            state.log.last_index,
            state.log.last_term,
            pre_vote,
            self.disk_lost_leader,
        )

    def _has_won(self, request: VoteRequest) -> bool:
        """Request votes from the other voters; return whether a quorum grants them in time."""
        state = self._state
        other_voters = [
            voter for voter in state.members.voters() if voter.identity != state.identity
        ]
        tasks = [
            state.runtime.spawn(self._request_vote, member, request) for member in other_voters
        ]
        granted = 1
        for task in gevent.iwait(tasks, timeout=VOTE_TIMEOUT_SECONDS):
            granted += bool(task.value)
            if granted >= state.members.quorum():
                break
        return granted >= state.members.quorum()

    def _request_vote(self, member: ReplicaMember, request: VoteRequest) -> bool:
        link = self._state.link(member)
        reply = link.call(request, VoteReply, VOTE_TIMEOUT_SECONDS)
        if reply is None or link.peer_identity != member.identity:
            # A replica with another identity at the address is not this voter.
            return False
        if reply.term > request.term:
            self._candidate.on_newer_term(reply.term)
        return reply.granted
