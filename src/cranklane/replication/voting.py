"""Rules for granting votes, as pure functions.

A leader's lease relies on the replies of its voters, so a voter refuses other candidates while
its last reply may still support a lease.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.records.messages import VoteRequest


@dataclass(frozen=True, slots=True)
class Voter:
    """State of a voter at a vote request.

    :ivar voted_for: leader of ``term``, once known, or else the candidate that got this
        replica's vote; 0 for none.
    :ivar last_term: term of its newest entry.
    :ivar last_index: index of its newest entry.
    :ivar leads: whether the voter is itself a leader.
    :ivar timer_restarted_recently: whether its election timer was restarted within
        ``MIN_ELECTION_TIMEOUT_SECONDS``, so that it may have replied to a leader in that time.
    """

    term: int
    voted_for: int
    last_term: int
    last_index: int
    leads: bool
    timer_restarted_recently: bool


def may_support_a_lease(voter: Voter, request: VoteRequest) -> bool:
    """Return whether this voter's replies may support the lease of another leader.

    Only the leader of the voter's newest term, recorded in the vote file, can have a lease:
    leases of earlier leaders expired before its election. It has no lease if it is itself the
    candidate, as after a restart, or if its disk is lost, because its process has ended.
    """
    last_leader = voter.voted_for
    lease_is_over = last_leader != 0 and last_leader in (request.candidate, request.lost)
    return voter.leads or (voter.timer_restarted_recently and not lease_is_over)


def is_up_to_date(voter: Voter, request: VoteRequest) -> bool:
    """Return whether the candidate's log is at least as up to date as the voter's."""
    candidate_last = (request.last_term, request.last_index)
    return candidate_last >= (voter.last_term, voter.last_index)


def grants_pre_vote(voter: Voter, request: VoteRequest) -> bool:
    """Return whether the voter grants a pre-vote, before the candidate starts its term."""
    return request.term >= voter.term and is_up_to_date(voter, request)


def grants_vote(voter: Voter, request: VoteRequest) -> bool:
    """Return whether the voter, after adopting the request's term, grants its vote."""
    is_free = voter.voted_for in (0, request.candidate)
    return request.term == voter.term and is_free and is_up_to_date(voter, request)
