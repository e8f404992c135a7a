"""Answers nodes' requests to a ledger group; the leader commits them in batches.

The replica commits the batches, and :mod:`~cranklane.ledger.store` decides on the requests.
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

CONCURRENT_BATCHES = 2
"""Batches committed concurrently; requests that arrive meanwhile form the next batch."""

MAX_BATCH = 512
"""Largest number of requests in a batch; bounds the time of one commit."""


@dataclass(frozen=True)
class _Pending:
    """A request to be answered."""

    request: LedgerBegin | LedgerFinish
    records: RecordConnection
    call_number: int

    def answer(self, message: Message) -> None:
        """Send the answer; ignore a lost connection."""
        try:
            self.records.send(message, self.call_number)
        except ConnectionLostError:
            # The node resends the request with the same attempt number and gets the same answer.
            pass


class LedgerService:
    """Handles the requests to one ledger process."""

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self._pending: list[_Pending] = []
        self._requests_pending = Event()
        for _ in range(CONCURRENT_BATCHES):
            runtime.spawn_restarting(self._commit_batches)

    def serve(self, records: RecordConnection) -> None:
        """Handle a node's requests until its connection ends."""
        try:
            while True:
                call_number, message = records.receive()
                self._handle_request(records, call_number, message)
        except (ConnectionLostError, MalformedRecordError):
            # The node reconnects. Its pending requests are still committed.
            pass
        finally:
            records.close()

    def _handle_request(
        self, records: RecordConnection, call_number: int, message: Message
    ) -> None:
        match message:
            case LedgerBegin() | LedgerFinish():
                pending = _Pending(message, records, call_number)
                if not self._replica.may_read:
                    pending.answer(self._unavailable(not_run=True))
                    return
                self._pending.append(pending)
                self._requests_pending.set()
            case Ping():
                records.send(Ping())
            case _:
                raise MalformedRecordError(f"{type(message).__name__} is not a ledger request")

    def _unavailable(self, not_run: bool) -> LedgerUnavailable:
        leader = self._replica.leader_member()
        return LedgerUnavailable(not_run, leader.address if leader is not None else "")

    def _commit_batches(self) -> None:
        while True:
            self._requests_pending.wait()
            if not self._pending:
                self._requests_pending.clear()
                continue
            batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
            self._commit(batch)

    def _commit(self, batch: list[_Pending]) -> None:
        begins = [pending for pending in batch if isinstance(pending.request, LedgerBegin)]
        finishes = [pending for pending in batch if isinstance(pending.request, LedgerFinish)]
        command = LedgerBatch(
            when=self._runtime.wall(),
            begins=[pending.request for pending in begins],  # type: ignore[misc]
            finishes=[pending.request for pending in finishes],  # type: ignore[misc]
        )
        proposed = self._replica.propose(command.pack())
        if isinstance(proposed, Err):
            not_run = proposed.err_value is ProposalFailure.NOT_LEADER
            for pending in batch:
                pending.answer(self._unavailable(not_run))
            return
        answers: BatchAnswer = proposed.ok_value
        for pending, grant in zip(begins, answers.grants, strict=True):
            pending.answer(grant)
        for pending, done in zip(finishes, answers.done, strict=True):
            pending.answer(done)
