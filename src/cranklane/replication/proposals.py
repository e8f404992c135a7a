"""Pending proposals of a leader, by the index of their log entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from cranklane.records.messages import LogEntry

PROPOSAL_TIMEOUT_SECONDS = 5.0
"""Timeout of a proposal; longer than an election, so that a proposal survives a short loss of
the quorum."""


class ProposalFailure(Enum):
    """Reason why a proposal has no answer."""

    NOT_LEADER = "not_leader"
    """The proposal was not written to the log."""
    UNKNOWN = "unknown"
    """The proposal may have been committed."""


@dataclass(frozen=True, eq=False, slots=True)
class Proposal:
    """A pending proposal.

    :ivar index: index of its log entry.
    :ivar term: term of its log entry.
    :ivar answer: result of the proposal, once resolved.
    """

    index: int
    term: int
    answer: AsyncResult = field(default_factory=AsyncResult)


class Proposals:
    """Pending proposals of one replica."""

    def __init__(self) -> None:
        self._waiting: dict[int, Proposal] = {}

    def add(self, index: int, term: int) -> Proposal:
        """Register a proposal whose entry was appended to the log."""
        proposal = self._waiting[index] = Proposal(index, term)
        return proposal

    def wait(self, proposal: Proposal) -> Result[Any, ProposalFailure]:
        """Wait for a proposal; the result is UNKNOWN after ``PROPOSAL_TIMEOUT_SECONDS``."""
        try:
            return proposal.answer.get(timeout=PROPOSAL_TIMEOUT_SECONDS)
        except gevent.Timeout:
            return Err(ProposalFailure.UNKNOWN)
        finally:
            if self._waiting.get(proposal.index) is proposal:
                del self._waiting[proposal.index]

    def resolve(self, entry: LogEntry, answer: Any) -> None:
        """Resolve the proposal at the index of an applied entry.

        The result is UNKNOWN when the entry has another term: it replaced the proposal's entry.
        """
        proposal = self._waiting.get(entry.index)
        if proposal is not None:
            same = proposal.term == entry.term
            proposal.answer.set(Ok(answer) if same else Err(ProposalFailure.UNKNOWN))

    def fail(self, entry: LogEntry) -> None:
        """Resolve the proposal of an entry that could not be applied as UNKNOWN."""
        proposal = self._waiting.get(entry.index)
        if proposal is not None:
            proposal.answer.set(Err(ProposalFailure.UNKNOWN))

    def abandon(self) -> None:
        """Resolve all pending proposals as UNKNOWN when their leadership ends."""
        for proposal in self._waiting.values():
            proposal.answer.set(Err(ProposalFailure.UNKNOWN))
        self._waiting.clear()
