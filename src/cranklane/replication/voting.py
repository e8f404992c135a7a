"""When a replica grants its vote: the rules alone, without state or input and output.

The replies of a voter to its leader are what the leader's lease rests on, so a voter that may
still support a lease refuses every other candidate.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.records.messages import VoteRequest


@dataclass(frozen=True, slots=True)
class Voter:
    """What a voter knows when it is asked.

    :ivar voted_for: leader of ``term`` once that is known, or else who got this replica's
        vote in it; 0: nobody.
    :ivar last_term: term of its newest entry.
    :ivar last_index: index of its newest entry.
    :ivar leads: whether it leads itself.
    :ivar timer_fresh: whether it may have replied to a leader within the election time.
    """

    term: int
    voted_for: int
    last_term: int
    last_index: int
    leads: bool
    timer_fresh: bool


def may_support_a_lease(voter: Voter, request: VoteRequest) -> bool:
    """Return whether a leader other than the candidate may hold a lease with this voter.

    Whoever asks then has lost touch with that leader. The replies of a voter, also before it
    was restarted, went to the leader of its newest term, whom the vote file names, and to
    earlier leaders, whose leases ran out before that one was elected. When that leader
    stands again, as after a restart, it has no lease; nor has it when its disk is lost, since
    its process has ended then.
    """
    last_leader = voter.voted_for
    lease_is_over = last_leader != 0 and last_leader in (request.candidate, request.lost)
    return voter.leads or (voter.timer_fresh and not lease_is_over)


def is_up_to_date(voter: Voter, request: VoteRequest) -> bool:
    """Return whether the candidate's log has all that may be committed, as the voter knows."""
    candidate_last = (request.last_term, request.last_index)
    return candidate_last >= (voter.last_term, voter.last_index)


def grants_trial(voter: Voter, request: VoteRequest) -> bool:
    """Return whether the voter would vote for a candidate that has not begun its term."""
    return request.term >= voter.term and is_up_to_date(voter, request)


def grants(voter: Voter, request: VoteRequest) -> bool:
    """Return whether the voter, already in the newest term, votes for a candidate of it."""
    is_free = voter.voted_for in (0, request.candidate)
    return request.term == voter.term and is_free and is_up_to_date(voter, request)
