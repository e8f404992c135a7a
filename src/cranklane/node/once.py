"""Once-calls: calls of routes that must run at most once for each idempotency key.

The ledger decides which attempt may run; :mod:`~cranklane.node.ledger_client` sends it the
requests. Outcomes are stored in the background.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from result import Err, Ok, Result

from cranklane.common.units import MILLISECONDS
from cranklane.ledger.store import MAX_STORED_BODY_BYTES, LedgerDecision
from cranklane.node.ledger_client import LedgerClient
from cranklane.node.retry_after import LEDGER_MS
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import CallOpen, LedgerBegin, LedgerFinish, LedgerGrant
from cranklane.runtime.interface import Runtime

LEDGER_TIMEOUT_SECONDS = 1.5
"""Longest wait for the answer to a ledger request in seconds; longer than a leader election."""

LEASE_SECONDS = 3.0
"""Seconds from the request to the ledger until the call must have been sent to the worker.
Prevents a late run after the node was suspended in between."""

STORE_TIMEOUT_SECONDS = 10.0
"""Seconds to keep trying to store an outcome; longer than a leader election. Afterwards the
ledger reports the outcome as unknown, which is safe."""

STORE_RETRY_SECONDS = 0.5
"""Seconds between attempts to store an outcome; spares a group without a leader."""

_ATTEMPT_BITS = 64
"""Random bits of an attempt's number; the width of its record field."""


@dataclass(frozen=True)
class OnceRefusal:
    """A once-call that must not run, with the outcome to report.

    :ivar stored: the stored answer of an earlier run, or None.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    stored: LedgerGrant | None = None


@dataclass
class OnceLease:
    """Permission from the ledger for one attempt to run a once-call.

    :ivar expires_at: monotonic second after which the run must not start.
    """

    once_calls: OnceCalls
    group: str
    attempt: int
    message: CallOpen
    expires_at: float
    _finished: bool = field(default=False)

    def may_start(self) -> bool:
        """Return whether the lease is still valid."""
        return self.once_calls.runtime.monotonic() < self.expires_at

    def finish(
        self,
        outcome: Outcome,
        status: int = 0,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        """Store the call's outcome in the background; only the first outcome is stored."""
        if self._finished:
            return
        self._finished = True
        if len(body) > MAX_STORED_BODY_BYTES:
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
        self.once_calls.runtime.spawn(self.once_calls.store, self.group, request)


class OnceCalls:
    """Runs the ledger protocol for a node's once-calls.

    :ivar pending_stores: number of outcomes not yet stored in the ledger.
    """

    def __init__(self, runtime: Runtime, client: LedgerClient) -> None:
        self.runtime = runtime
        self.pending_stores = 0
        self._client = client

    def begin(
        self, message: CallOpen, ledgers: Sequence[str], remaining: float
    ) -> Result[OnceLease, OnceRefusal]:
        """Request a lease for a call from the ledger.

        :param ledgers: names of the ledger groups of the called service.
        :param remaining: seconds until the call's deadline.
        """
        if not message.key:
            return Err(OnceRefusal(Outcome.NOT_RUN, Reason.KEY_MISSING))
        lease = OnceLease(
            self,
            ledger_group(message.key, ledgers),
            self.runtime.random.getrandbits(_ATTEMPT_BITS),
            message,
            self.runtime.monotonic() + LEASE_SECONDS,
        )
        request = _begin_request(lease, remaining)
        granted = self._client.begin(lease.group, request, min(LEDGER_TIMEOUT_SECONDS, remaining))
        if isinstance(granted, Err):
            return Err(self._unavailable(lease, granted.err_value.not_run))
        return _grant_result(lease, granted.ok_value)

    @staticmethod
    def _unavailable(lease: OnceLease, not_run: bool) -> OnceRefusal:
        if not_run:
            return OnceRefusal(Outcome.NOT_RUN, Reason.LEDGER_UNAVAILABLE, LEDGER_MS)
        # The ledger may have created the entry: delete it, so that the key can be used again.
        lease.finish(Outcome.NOT_RUN)
        return OnceRefusal(Outcome.UNKNOWN, Reason.LEDGER_UNAVAILABLE, LEDGER_MS)

    def store(self, group: str, request: LedgerFinish) -> None:
        """Store an outcome; retry for :data:`STORE_TIMEOUT_SECONDS`."""
        deadline = self.runtime.monotonic() + STORE_TIMEOUT_SECONDS
        self.pending_stores += 1
        try:
            while self.runtime.monotonic() < deadline:
                done = self._client.finish(group, request, LEDGER_TIMEOUT_SECONDS)
                # Keep trying to delete a missing entry: the delayed request to create it may
                # still arrive.
                if done is not None and (done.stored or request.outcome != Outcome.NOT_RUN):
                    return
                gevent.sleep(STORE_RETRY_SECONDS)
        finally:
            self.pending_stores -= 1


def ledger_group(key: str, ledgers: Sequence[str]) -> str:
    """Return the ledger group for a key, or an empty string if the service has none.

    >>> ledger_group("k-1", ["only"]), ledger_group("k-1", [])
    ('only', '')
    """
    return ledgers[zlib.crc32(key.encode()) % len(ledgers)] if ledgers else ""


def _begin_request(lease: OnceLease, remaining: float) -> LedgerBegin:
    message = lease.message
    return LedgerBegin(
        attempt=lease.attempt,
        lease_ms=int(LEASE_SECONDS * MILLISECONDS),
        run_ms=int(remaining * MILLISECONDS),
        digest=request_digest(message),
        tenant=message.tenant,
        service=message.service,
        key=message.key,
    )


def request_digest(message: CallOpen) -> bytes:
    """Return a digest of the request, which reveals another request with the same key."""
    digest = hashlib.sha256(f"{message.method} {message.path}\n".encode())
    digest.update(message.body)
    return digest.digest()


def _grant_result(lease: OnceLease, grant: LedgerGrant) -> Result[OnceLease, OnceRefusal]:
    match LedgerDecision(grant.decision):
        case LedgerDecision.RUN:
            return Ok(lease)
        case LedgerDecision.ANSWERED:
            return Err(OnceRefusal(Outcome.ANSWERED, Reason.NONE, stored=grant))
        case LedgerDecision.IN_PROGRESS:
            return Err(OnceRefusal(Outcome.UNKNOWN, Reason.IN_PROGRESS, LEDGER_MS))
        case LedgerDecision.CONFLICT:
            return Err(OnceRefusal(Outcome.NOT_RUN, Reason.KEY_CONFLICT))
        case _:
            return Err(OnceRefusal(Outcome.UNKNOWN, Reason.ALREADY_RUN))
