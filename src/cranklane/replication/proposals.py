"""Proposals of a leader that wait until their entries are applied.

Owns which proposal waits for which entry; knows nothing of the log.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from cranklane.records.messages import LogEntry

PROPOSAL_SECONDS = 5.0
"""Seconds a proposal waits until its entry is applied. A choice: above the time of an
election, so that a proposal outlives a short loss of the quorum."""


class ProposalFailure(Enum):
    """Why a proposal has no answer."""

    NOT_LEADER = "not_leader"
    """It was not written anywhere."""
    UNKNOWN = "unknown"
    """It may be committed or not."""


@dataclass(frozen=True, eq=False, slots=True)
class Proposal:
    """One waiting proposal.

    :ivar term: of the leadership that wrote its entry.
    """

    index: int
    term: int
    answer: AsyncResult = field(default_factory=AsyncResult)


class Proposals:
    """The waiting proposals, by the index of their entries."""

    def __init__(self) -> None:
        self._waiting: dict[int, Proposal] = {}

    def add(self, index: int, term: int) -> Proposal:
        """Register a proposal whose entry is in the log."""
        proposal = self._waiting[index] = Proposal(index, term)
        return proposal

    def wait(self, proposal: Proposal) -> Result[Any, ProposalFailure]:
        """Return the answer to a proposal, or UNKNOWN after ``PROPOSAL_SECONDS``."""
        try:
            return proposal.answer.get(timeout=PROPOSAL_SECONDS)
        except gevent.Timeout:
            return Err(ProposalFailure.UNKNOWN)
        finally:
            if self._waiting.get(proposal.index) is proposal:
                del self._waiting[proposal.index]

    def applied(self, entry: LogEntry, answer: Any) -> None:
        """Answer the proposal that waits for an entry.

        An entry of another term has replaced the proposal's own.
        """
        proposal = self._waiting.get(entry.index)
        if proposal is not None:
            same = proposal.term == entry.term
            proposal.answer.set(Ok(answer) if same else Err(ProposalFailure.UNKNOWN))

    def abandon(self) -> None:
        """Answer all waiting proposals with UNKNOWN: their leadership is over."""
        for proposal in self._waiting.values():
            proposal.answer.set(Err(ProposalFailure.UNKNOWN))
        self._waiting.clear()
