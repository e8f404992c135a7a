"""Decides which attempt of a once-call may run: the entries of one ledger group.

An entry belongs to a tenant's service and an idempotency key. It is created as
started before the first byte of the call goes to a worker, and only the attempt
that created it may run. It is kept for the retention, finished or not.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Outcome
from cranklane.records.messages import (
    LedgerBatch,
    LedgerBegin,
    LedgerDone,
    LedgerEntry,
    LedgerFinish,
    LedgerGrant,
    LedgerState,
)

RETENTION_SECONDS = 86_400.0
"""Seconds that an entry is kept. A choice: a resend within a day never runs again."""

MAX_STORED_BODY = 16 * 1024
"""Largest body that is stored with an answer, in bytes. A choice: bounds the memory of an entry;
after a longer answer, a resend gets an unknown outcome."""

_NAME_BYTES = 16
"""Bytes of an entry's name. A choice: 128 bits, at which two names never meet by accident."""
_ENTRY_HEAD = Struct(f"!{_NAME_BYTES}sI")
"""Before each entry of a packed state: its name and its length."""


class LedgerDecision(IntEnum):
    """What an attempt may do."""

    RUN = 0
    """It has created the entry: it alone may run."""
    ANSWERED = 1
    """It ran before; the stored answer follows."""
    IN_PROGRESS = 2
    """Another attempt is running."""
    UNKNOWN = 3
    """Another attempt may have run, and its answer is not known."""
    CONFLICT = 4
    """The key was used for another request."""


@dataclass(frozen=True)
class BatchAnswer:
    """Answers to a batch, in its order."""

    grants: list[LedgerGrant]
    done: list[LedgerDone]


def entry_name(tenant: str, service: str, key: str) -> bytes:
    """Return the short name under which an entry is kept."""
    return hashlib.blake2b(f"{tenant}\0{service}\0{key}".encode(), digest_size=_NAME_BYTES).digest()


class LedgerStore:
    """State of one ledger group; changes only by applying committed batches.

    :ivar now: newest time a leader has stated, seconds since 1970; never falls.
    """

    def __init__(self) -> None:
        self.now = 0.0
        # Packed, and in the order of their start, which is that of their expiry.
        self._entries: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, command: bytes) -> BatchAnswer:
        """Apply a committed batch and return its answers."""
        batch = LedgerBatch.unpack(command)
        self.now = max(self.now, batch.when)
        self._expire()
        done = [self._finish(request) for request in batch.finishes]
        grants = [self._begin(request) for request in batch.begins]
        return BatchAnswer(grants, done)

    def _expire(self) -> None:
        while self._entries:
            name = next(iter(self._entries))
            if LedgerEntry.unpack(self._entries[name]).expires > self.now:
                return
            del self._entries[name]

    def _begin(self, request: LedgerBegin) -> LedgerGrant:
        name = entry_name(request.tenant, request.service, request.key)
        packed = self._entries.get(name)
        if packed is None:
            self._entries[name] = self._started(request).pack()
            return LedgerGrant(LedgerDecision.RUN)
        entry = LedgerEntry.unpack(packed)
        if entry.digest != request.digest:
            return LedgerGrant(LedgerDecision.CONFLICT)
        if entry.finished:
            return _stored(entry)
        if entry.attempt == request.attempt:
            # The same attempt asks again: it has lost the first answer.
            return LedgerGrant(LedgerDecision.RUN)
        if self.now < entry.running_until:
            return LedgerGrant(LedgerDecision.IN_PROGRESS)
        return LedgerGrant(LedgerDecision.UNKNOWN)

    def _started(self, request: LedgerBegin) -> LedgerEntry:
        running = (request.lease_ms + request.run_ms) / MILLISECONDS
        return LedgerEntry(
            attempt=request.attempt,
            started=self.now,
            running_until=self.now + running,
            expires=self.now + RETENTION_SECONDS,
            digest=request.digest,
            tenant=request.tenant,
            service=request.service,
            key=request.key,
        )

    def _finish(self, request: LedgerFinish) -> LedgerDone:
        name = entry_name(request.tenant, request.service, request.key)
        packed = self._entries.get(name)
        if packed is None:
            return LedgerDone(False)
        entry = LedgerEntry.unpack(packed)
        if entry.attempt != request.attempt or entry.finished:
            return LedgerDone(False)
        if request.outcome == Outcome.NOT_RUN:
            # The only attempt that might have run has not: the key is free again.
            del self._entries[name]
            return LedgerDone(True)
        entry.finished = True
        entry.outcome = request.outcome
        entry.status = request.status
        entry.headers = request.headers
        entry.body = request.body
        self._entries[name] = entry.pack()
        return LedgerDone(True)

    def pack(self) -> bytes:
        """Return the whole state for a snapshot."""
        parts = []
        for name, packed in self._entries.items():
            parts += [_ENTRY_HEAD.pack(name, len(packed)), packed]
        return LedgerState(self.now, b"".join(parts)).pack()

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's."""
        restored = LedgerState.unpack(state) if state else LedgerState()
        self.now = restored.now
        self._entries = {}
        position = 0
        while position < len(restored.entries):
            name, size = _ENTRY_HEAD.unpack_from(restored.entries, position)
            start = position + _ENTRY_HEAD.size
            position = start + size
            self._entries[name] = restored.entries[start:position]


def _stored(entry: LedgerEntry) -> LedgerGrant:
    if entry.outcome == Outcome.ANSWERED:
        return LedgerGrant(LedgerDecision.ANSWERED, entry.status, entry.headers, entry.body)
    return LedgerGrant(LedgerDecision.UNKNOWN)
