"""Results of pending proposals."""

from __future__ import annotations

import gevent
from result import Err, Ok

from cranklane.records.messages import LogEntry
from cranklane.replication import proposals as proposals_module
from cranklane.replication.proposals import ProposalFailure, Proposals


def entry(index, term):
    return LogEntry(term, index, 1, b"")


def test_a_proposal_gets_the_answer_of_its_entry():
    proposals = Proposals()
    proposal = proposals.add(7, term=2)
    proposals.resolve(entry(6, 2), "another")
    proposals.resolve(entry(7, 2), "answer")
    assert proposals.wait(proposal) == Ok("answer")


def test_a_proposal_whose_entry_was_replaced_is_unknown():
    proposals = Proposals()
    proposal = proposals.add(7, term=2)
    proposals.resolve(entry(7, 3), "answer")
    assert proposals.wait(proposal) == Err(ProposalFailure.UNKNOWN)


def test_proposals_of_an_ended_leadership_are_unknown():
    proposals = Proposals()
    waiting = [gevent.spawn(proposals.wait, proposals.add(index, 2)) for index in (1, 2)]
    gevent.idle()
    proposals.abandon()
    assert [task.get(timeout=1) for task in waiting] == [Err(ProposalFailure.UNKNOWN)] * 2


def test_a_proposal_that_times_out_is_unknown_and_removed(monkeypatch):
    monkeypatch.setattr(proposals_module, "PROPOSAL_TIMEOUT_SECONDS", 0.01)
    proposals = Proposals()
    late = proposals.add(7, term=2)
    assert proposals.wait(late) == Err(ProposalFailure.UNKNOWN)
    # A later leadership may reuse the index.
    again = proposals.add(7, term=3)
    proposals.resolve(entry(7, 3), "answer")
    assert proposals.wait(again) == Ok("answer")
