"""State machine of a ledger group: entries that decide which attempt of a once-call may run.

Each entry has a tenant, a service and an idempotency key. The ledger creates it before the call
is sent to a worker, and only the attempt that created it may run. Finished or not, it is kept
for the retention period.
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
"""Seconds an entry is kept. A resend of the call in that time does not run again."""

MAX_STORED_BODY_BYTES = 16 * 1024
"""Largest stored body of an answer. For a longer one, a resend gets an unknown outcome."""

_NAME_BYTES = 16
"""Length of an entry's name; long enough to rule out accidental collisions."""
_ENTRY_HEAD = Struct(f"!{_NAME_BYTES}sI")
"""Header of each entry in a packed state: name and length of the entry."""


class LedgerDecision(IntEnum):
    """Decision on an attempt of a once-call."""

    RUN = 0
    """The attempt created the entry, and only this attempt may run."""
    ANSWERED = 1
    """An earlier attempt ran; the grant holds its stored answer."""
    IN_PROGRESS = 2
    """Another attempt is running."""
    UNKNOWN = 3
    """Another attempt may have run, and its answer is unknown."""
    CONFLICT = 4
    """The key belongs to another request."""


@dataclass(frozen=True)
class BatchAnswer:
    """Answers to the requests of a batch, in the same order."""

    grants: list[LedgerGrant]
    done: list[LedgerDone]


def entry_name(tenant: str, service: str, key: str) -> bytes:
    """Return the name of an entry: a hash of its tenant, service and key."""
    return hashlib.blake2b(f"{tenant}\0{service}\0{key}".encode(), digest_size=_NAME_BYTES).digest()


class LedgerStore:
    """State of one ledger group, changed only by committed batches.

    :ivar now: latest time of the applied batches in seconds since 1970; never decreases.
    """

    def __init__(self) -> None:
        self.now = 0.0
        # Packed entries, ordered by start time and therefore also by expiry.
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
            self._entries[name] = self._new_entry(request).pack()
            return LedgerGrant(LedgerDecision.RUN)
        entry = LedgerEntry.unpack(packed)
        if entry.digest != request.digest:
            return LedgerGrant(LedgerDecision.CONFLICT)
        if entry.finished:
            return _stored_grant(entry)
        if entry.attempt == request.attempt:
            # The attempt resent its request because the first answer was lost.
            return LedgerGrant(LedgerDecision.RUN)
        if self.now < entry.running_until:
            return LedgerGrant(LedgerDecision.IN_PROGRESS)
        return LedgerGrant(LedgerDecision.UNKNOWN)

    def _new_entry(self, request: LedgerBegin) -> LedgerEntry:
        run_seconds = (request.lease_ms + request.run_ms) / MILLISECONDS
        return LedgerEntry(
            attempt=request.attempt,
            started=self.now,
            running_until=self.now + run_seconds,
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
            # The only attempt allowed to run did not run, so delete the entry to free the key.
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
        """Return the packed state for a snapshot."""
        chunks = []
        for name, packed in self._entries.items():
            chunks += [_ENTRY_HEAD.pack(name, len(packed)), packed]
        return LedgerState(self.now, b"".join(chunks)).pack()

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot; an empty snapshot clears it."""
        restored = LedgerState.unpack(state) if state else LedgerState()
        self.now = restored.now
        self._entries = {}
        position = 0
        while position < len(restored.entries):
            name, size = _ENTRY_HEAD.unpack_from(restored.entries, position)
            start = position + _ENTRY_HEAD.size
            position = start + size
            self._entries[name] = restored.entries[start:position]


def _stored_grant(entry: LedgerEntry) -> LedgerGrant:
    if entry.outcome == Outcome.ANSWERED:
        return LedgerGrant(LedgerDecision.ANSWERED, entry.status, entry.headers, entry.body)
    return LedgerGrant(LedgerDecision.UNKNOWN)
