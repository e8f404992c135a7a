"""Answers nodes' requests to a ledger group; the leader commits many at once.

Owns the requests whose answers are owed. Relies on the replica to commit batches and on
:mod:`~cranklane.ledger.store` for what they decide.
"""

from __future__ import annotations

from dataclasses import dataclass

from gevent.event import Event
from result import Err

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.ledger.store import BatchAnswer
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    LedgerBatch,
    LedgerBegin,
    LedgerFinish,
    LedgerUnavailable,
    Message,
    Ping,
)
from cranklane.replication.proposals import ProposalFailure
from cranklane.replication.replica import Replica
from cranklane.runtime.interface import Runtime

COMMITTERS = 2
"""Batches under way at once; requests that come meanwhile make the next one. A choice: one is
written while the other is gathered."""

MAX_BATCH = 512
"""Requests of one batch at most. A choice: it bounds the time of one commit, and a
burst is committed in few batches."""


@dataclass(frozen=True)
class _Pending:
    """A request whose answer is owed."""

    request: LedgerBegin | LedgerFinish
    records: RecordConnection
    call: int

    def answer(self, message: Message) -> None:
        """Send the answer, if the node is still there."""
        try:
            self.records.send(message, self.call)
        except ConnectionLostError:
            # The node asks again with the same attempt number and gets the same answer.
            pass


class LedgerService:
    """The requests of one ledger process."""

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self._pending: list[_Pending] = []
        self._waiting = Event()
        for _ in range(COMMITTERS):
            runtime.spawn(self._commit_batches)

    def serve(self, records: RecordConnection) -> None:
        """Take one node's requests until its connection ends."""
        try:
            while True:
                call, message = records.receive()
                self._take(records, call, message)
        except (ConnectionLostError, MalformedRecordError):
            # The node connects again; what it has asked is committed all the same.
            pass
        finally:
            records.close()

    def _take(self, records: RecordConnection, call: int, message: Message) -> None:
        match message:
            case LedgerBegin() | LedgerFinish():
                pending = _Pending(message, records, call)
                if not self._replica.may_read:
                    pending.answer(self._unavailable(not_run=True))
                    return
                self._pending.append(pending)
                self._waiting.set()
            case Ping():
                records.send(Ping())
            case _:
                raise MalformedRecordError(f"{type(message).__name__} to a ledger")

    def _unavailable(self, not_run: bool) -> LedgerUnavailable:
        leader = self._replica.leader_member()
        return LedgerUnavailable(not_run, leader.address if leader is not None else "")

    def _commit_batches(self) -> None:
        while True:
            self._waiting.wait()
            if not self._pending:
                self._waiting.clear()
                continue
            taken, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
            self._commit(taken)

    def _commit(self, taken: list[_Pending]) -> None:
        begins = [item for item in taken if isinstance(item.request, LedgerBegin)]
        finishes = [item for item in taken if isinstance(item.request, LedgerFinish)]
        batch = LedgerBatch(
            when=self._runtime.wall(),
            begins=[item.request for item in begins],  # type: ignore[misc]
            finishes=[item.request for item in finishes],  # type: ignore[misc]
        )
        proposed = self._replica.propose(batch.pack())
        if isinstance(proposed, Err):
            not_run = proposed.err_value is ProposalFailure.NOT_LEADER
            for item in taken:
                item.answer(self._unavailable(not_run))
            return
        answers: BatchAnswer = proposed.ok_value
        for item, grant in zip(begins, answers.grants, strict=True):
            item.answer(grant)
        for item, done in zip(finishes, answers.done, strict=True):
            item.answer(done)
