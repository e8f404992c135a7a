"""Rules of elections, leases, membership changes and log compaction."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from cranklane.records.messages import ReplicaMember, VoteRequest
from cranklane.replication import applier, group_bootstrap, membership_change, timing, voting
from cranklane.replication.members import quorum_of
from cranklane.replication.proposals import PROPOSAL_TIMEOUT_SECONDS
from cranklane.replication.voting import Voter

VOTER = Voter(
    term=5, voted_for=0, last_term=4, last_index=9, leads=False, timer_restarted_recently=False
)
REQUEST = VoteRequest(term=6, candidate=2, last_index=9, last_term=4, trial=False, lost=0)


@pytest.mark.parametrize(
    ("voter", "request_", "supports"),
    [
        (VOTER, REQUEST, False),
        (replace(VOTER, leads=True), REQUEST, True),
        (replace(VOTER, timer_restarted_recently=True), REQUEST, True),
        (replace(VOTER, timer_restarted_recently=True, voted_for=3), REQUEST, True),
        # The former leader is the candidate: it was restarted and has no lease.
        (replace(VOTER, timer_restarted_recently=True, voted_for=2), REQUEST, False),
        # The former leader's disk is lost, so its process has ended.
        (
            replace(VOTER, timer_restarted_recently=True, voted_for=3),
            REQUEST.replaced(lost=3),
            False,
        ),
        (
            replace(VOTER, timer_restarted_recently=True, voted_for=4),
            REQUEST.replaced(lost=3),
            True,
        ),
        # The voter is itself the leader.
        (replace(VOTER, leads=True, voted_for=2), REQUEST, True),
    ],
)
def test_a_voter_that_may_support_a_lease_refuses_other_candidates(voter, request_, supports):
    assert voting.may_support_a_lease(voter, request_) is supports


@pytest.mark.parametrize(
    ("last_term", "last_index", "up_to_date"),
    [(4, 9, True), (4, 10, True), (5, 1, True), (4, 8, False), (3, 99, False)],
)
def test_a_candidate_needs_an_up_to_date_log(last_term, last_index, up_to_date):
    request = REQUEST.replaced(last_term=last_term, last_index=last_index)
    assert voting.is_up_to_date(VOTER, request) is up_to_date
    assert voting.grants_pre_vote(VOTER, request) is up_to_date
    assert voting.grants_vote(replace(VOTER, term=6), request) is up_to_date


@pytest.mark.parametrize(("term", "granted"), [(4, False), (5, True), (6, True)])
def test_a_pre_vote_is_refused_for_an_older_term(term, granted):
    assert voting.grants_pre_vote(VOTER, REQUEST.replaced(term=term)) is granted


@pytest.mark.parametrize(
    ("term", "voted_for", "granted"),
    [(6, 0, True), (6, 2, True), (6, 3, False), (5, 0, False), (7, 0, False)],
)
def test_a_voter_votes_once_per_term(term, voted_for, granted):
    assert voting.grants_vote(replace(VOTER, term=term, voted_for=voted_for), REQUEST) is granted


def test_a_lease_expires_before_an_election_despite_clock_rate_drift():
    assert timing.LEASE_SECONDS * 1.5 < timing.MIN_ELECTION_TIMEOUT_SECONDS
    assert timing.HEARTBEAT_INTERVAL_SECONDS * 3 <= timing.LEASE_SECONDS + 1e-9
    assert timing.REPLY_TIMEOUT_SECONDS < timing.MIN_ELECTION_TIMEOUT_SECONDS
    assert timing.VOTE_TIMEOUT_SECONDS < timing.MIN_ELECTION_TIMEOUT_SECONDS


def test_election_timeouts_are_spread_up_to_twice_the_shortest():
    random = Random(1)
    timeouts = [timing.election_timeout(random) for _ in range(1000)]
    assert (
        timing.MIN_ELECTION_TIMEOUT_SECONDS
        <= min(timeouts)
        < 1.05 * timing.MIN_ELECTION_TIMEOUT_SECONDS
    )
    assert (
        1.95 * timing.MIN_ELECTION_TIMEOUT_SECONDS
        < max(timeouts)
        <= 2 * timing.MIN_ELECTION_TIMEOUT_SECONDS
    )


def test_timeouts_are_ordered():
    assert group_bootstrap.LEADER_CONTACT_TIMEOUT_SECONDS > 2 * timing.MIN_ELECTION_TIMEOUT_SECONDS
    assert timing.DISK_FAILURE_PAUSE_SECONDS >= 4 * timing.MIN_ELECTION_TIMEOUT_SECONDS
    assert PROPOSAL_TIMEOUT_SECONDS > 2 * timing.MIN_ELECTION_TIMEOUT_SECONDS
    assert membership_change.SILENT_VOTER_SECONDS > timing.REPLY_TIMEOUT_SECONDS
    assert membership_change.SILENT_SURPLUS_VOTER_SECONDS > membership_change.SILENT_VOTER_SECONDS


@pytest.mark.parametrize(
    ("voters", "learners", "alive", "keeps"),
    [
        ((1, 2), (), {1, 2}, True),
        ((1, 2), (), {1}, False),
        ((1, 2, 3), (), {1, 3}, True),
        ((1, 2, 3), (4,), {1, 4}, False),
        ((1, 2, 3, 4), (), {1, 2}, False),
        ((1,), (), {1}, True),
        ((), (4,), {4}, False),
    ],
)
def test_a_removal_must_leave_an_alive_quorum(voters, learners, alive, keeps):
    members = [ReplicaMember(identity, True) for identity in voters]
    members += [ReplicaMember(identity, False) for identity in learners]
    assert membership_change.keeps_quorum(members, lambda item: item.identity in alive) is keeps


def test_quorums_of_consecutive_member_sets_overlap():
    for voters in range(1, 10):
        assert 2 * quorum_of(voters) > voters
        assert quorum_of(voters) + quorum_of(voters + 1) > voters + 1


@pytest.mark.parametrize(
    ("snapshot_bytes", "threshold"),
    [
        (0, applier.MIN_SNAPSHOT_BYTES),
        (applier.MIN_SNAPSHOT_BYTES // 2, applier.MIN_SNAPSHOT_BYTES),
        (applier.MIN_SNAPSHOT_BYTES, 2 * applier.MIN_SNAPSHOT_BYTES),
    ],
)
def test_the_compaction_threshold_grows_with_the_snapshot(snapshot_bytes, threshold):
    assert applier.snapshot_threshold(snapshot_bytes) == threshold
