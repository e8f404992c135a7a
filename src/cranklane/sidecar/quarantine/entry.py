"""One request in the quarantine table, and its form in records between sidecars."""

from __future__ import annotations

from dataclasses import dataclass, field

from cranklane.common.secret_digest import sha256
from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import QuarantineEntry
from cranklane.sidecar.quarantine.rules import NEVER
from cranklane.sidecar.request.identity import Identity

CRASH_ID_BYTES = 8
"""Bytes of a crash id in records."""


@dataclass(slots=True)
class QuarantinedRequest:
    """One request that is suspected, quarantined or on probation.

    :ivar service: the service whose workers it crashes.
    :ivar seen_at: second at which it was suspected last.
    :ivar crashes: ids of the crashes that are evidence against it.
    :ivar quarantined_until: second until which it is refused; NEVER for one only suspected.
    """

    identity: Identity
    service: str
    seen_at: float
    crashes: frozenset[bytes] = field(default_factory=frozenset)
    quarantined_until: float = NEVER

    @property
    def was_quarantined(self) -> bool:
        """Whether it is quarantined, or was and is on probation."""
        return self.quarantined_until > NEVER

    @property
    def suspicion_level(self) -> int:
        """How strongly it is suspected, from 1 on."""
        return 1 + len(self.crashes)

    def extend(self, until: float) -> None:
        """Quarantine it until a second, or longer where that is known already."""
        self.quarantined_until = max(self.quarantined_until, until)


def crash_id(instance: str) -> bytes:
    """Return what names the crash of one start of a worker in records."""
    return bytes(sha256(instance.encode()).digest()[:CRASH_ID_BYTES])


def crash_ids(ends: bytes) -> frozenset[bytes]:
    """Return the crash ids that a field of a record holds one after the other.

    >>> sorted(crash_ids(b"11111111" + b"22222222"))
    [b'11111111', b'22222222']
    """
    starts = range(0, len(ends), CRASH_ID_BYTES)
    return frozenset(ends[start : start + CRASH_ID_BYTES] for start in starts)


def to_record(entry: QuarantinedRequest, now: float) -> QuarantineEntry:
    """Return what other sidecars should know of a request."""
    held_ms = 0
    if entry.was_quarantined:
        held_ms = max(1, int((entry.quarantined_until - now) * MILLISECONDS))
    return _record(entry, held_ms, cleared=False)


def to_clearing(entry: QuarantinedRequest) -> QuarantineEntry:
    """Return the record that reports to other sidecars that a request was cleared."""
    return _record(entry, 1 if entry.was_quarantined else 0, cleared=True)


def _record(entry: QuarantinedRequest, held_ms: int, cleared: bool) -> QuarantineEntry:
    ends = b"".join(sorted(entry.crashes))
    return QuarantineEntry(held_ms, cleared, entry.service, ends, entry.identity)
