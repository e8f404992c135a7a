"""Runs calls of once-routes under the ledger, so that each runs at most once.

Owns the answers that the ledger has not taken yet. Relies on
:mod:`~cranklane.node.ledger_client` to reach the ledger, which decides who may run.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from result import Err, Ok, Result

from cranklane.common.units import MILLISECONDS
from cranklane.ledger.store import MAX_STORED_BODY, LedgerDecision
from cranklane.node.ledger_client import LedgerClient
from cranklane.node.retry_after import LEDGER_MS
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import CallOpen, LedgerBegin, LedgerFinish, LedgerGrant
from cranklane.runtime.interface import Runtime

BEGIN_SECONDS = 1.5
"""Seconds a once-call waits for the ledger at most. A choice: longer than the
election of a new leader."""

LEASE_SECONDS = 3.0
"""Seconds from asking the ledger until the first byte must have gone to the worker. A node
that was frozen in between does not run the call any more. A choice: twice BEGIN_SECONDS."""

FINISH_SECONDS = 10.0
"""Seconds for which storing an outcome is tried. A choice: longer than an election; after it
the entry reads as unknown, which is safe."""

FINISH_PAUSE_SECONDS = 0.5
"""Seconds between these tries. A choice: a group without a leader is not flooded by nodes."""

_ATTEMPT_BITS = 64
"""Random bits of an attempt's number: what its field in the record takes."""


@dataclass(frozen=True)
class OnceRefusal:
    """Why a once-call does not run here and now.

    :ivar stored: the answer of the run before it, when there is one.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    stored: LedgerGrant | None = None


@dataclass
class OnceTicket:
    """The right of one attempt to run a once-call.

    :ivar fence: monotonic second after which it must not start.
    """

    calls: OnceCalls
    group: str
    attempt: int
    message: CallOpen
    fence: float
    _finished: bool = field(default=False)

    def may_start(self) -> bool:
        """Return whether the call may still start."""
        return self.calls.runtime.monotonic() < self.fence

    def finish(
        self,
        outcome: Outcome,
        status: int = 0,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        """Store how the call ended, without waiting; only the first outcome counts."""
        if self._finished:
            return
        self._finished = True
        if len(body) > MAX_STORED_BODY:
            outcome, body = Outcome.UNKNOWN, b""
        message = self.message
        request = LedgerFinish(
            attempt=self.attempt,
            outcome=outcome,
            status=status,
            tenant=message.tenant,
            service=message.service,
            key=message.key,
            headers=headers or [],
            body=body,
        )
        self.calls.runtime.spawn(self.calls.store, self.group, request)


class OnceCalls:
    """The once-calls of one node.

    :ivar storing: outcomes that the ledger has not taken yet.
    """

    def __init__(self, runtime: Runtime, client: LedgerClient) -> None:
        self.runtime = runtime
        self.storing = 0
        self._client = client

    def begin(
        self, message: CallOpen, ledgers: Sequence[str], remaining: float
    ) -> Result[OnceTicket, OnceRefusal]:
        """Ask the ledger whether a call may run.

        :param ledgers: groups of the service's once-calls.
        :param remaining: seconds until the call's deadline.
        """
        if not message.key:
            return Err(OnceRefusal(Outcome.NOT_RUN, Reason.KEY_MISSING))
        ticket = OnceTicket(
            self,
            ledger_group(message.key, ledgers),
            self.runtime.random.getrandbits(_ATTEMPT_BITS),
            message,
            self.runtime.monotonic() + LEASE_SECONDS,
        )
        request = _begin_request(ticket, remaining)
        asked = self._client.begin(ticket.group, request, min(BEGIN_SECONDS, remaining))
        if isinstance(asked, Err):
            return Err(self._unavailable(ticket, asked.err_value.not_run))
        return _decided(ticket, asked.ok_value)

    @staticmethod
    def _unavailable(ticket: OnceTicket, not_run: bool) -> OnceRefusal:
        if not_run:
            return OnceRefusal(Outcome.NOT_RUN, Reason.LEDGER_UNAVAILABLE, LEDGER_MS)
        # The entry may have been created: let the key be free again if it was.
        ticket.finish(Outcome.NOT_RUN)
        return OnceRefusal(Outcome.UNKNOWN, Reason.LEDGER_UNAVAILABLE, LEDGER_MS)

    def store(self, group: str, request: LedgerFinish) -> None:
        """Store an outcome, trying for :data:`FINISH_SECONDS`."""
        until = self.runtime.monotonic() + FINISH_SECONDS
        self.storing += 1
        try:
            while self.runtime.monotonic() < until:
                done = self._client.finish(group, request, BEGIN_SECONDS)
                # An entry that is to be freed may be created later than this: the
                # request for it may still be on its way.
                if done is not None and (done.stored or request.outcome != Outcome.NOT_RUN):
                    return
                gevent.sleep(FINISH_PAUSE_SECONDS)
        finally:
            self.storing -= 1


def ledger_group(key: str, ledgers: Sequence[str]) -> str:
    """Return the ledger group that keeps a key, or nothing when the service has none.

    >>> ledger_group("k-1", ["only"]), ledger_group("k-1", [])
    ('only', '')
    """
    return ledgers[zlib.crc32(key.encode()) % len(ledgers)] if ledgers else ""


def _begin_request(ticket: OnceTicket, remaining: float) -> LedgerBegin:
    message = ticket.message
    return LedgerBegin(
        attempt=ticket.attempt,
        lease_ms=int(LEASE_SECONDS * MILLISECONDS),
        run_ms=int(remaining * MILLISECONDS),
        digest=request_digest(message),
        tenant=message.tenant,
        service=message.service,
        key=message.key,
    )


def request_digest(message: CallOpen) -> bytes:
    """Return the digest that distinguishes requests under the same key."""
    digest = hashlib.sha256(f"{message.method} {message.path}\n".encode())
    digest.update(message.body)
    return digest.digest()


def _decided(ticket: OnceTicket, grant: LedgerGrant) -> Result[OnceTicket, OnceRefusal]:
    match LedgerDecision(grant.decision):
        case LedgerDecision.RUN:
            return Ok(ticket)
        case LedgerDecision.ANSWERED:
            return Err(OnceRefusal(Outcome.ANSWERED, Reason.NONE, stored=grant))
        case LedgerDecision.IN_PROGRESS:
            return Err(OnceRefusal(Outcome.UNKNOWN, Reason.IN_PROGRESS, LEDGER_MS))
        case LedgerDecision.CONFLICT:
            return Err(OnceRefusal(Outcome.NOT_RUN, Reason.KEY_CONFLICT))
        case _:
            return Err(OnceRefusal(Outcome.UNKNOWN, Reason.ALREADY_RUN))
