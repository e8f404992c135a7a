"""Entries of the quarantine table and their conversion to records."""

from __future__ import annotations

from dataclasses import dataclass, field

from cranklane.common.secret_digest import sha256
from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import QuarantineEntry
from cranklane.sidecar.quarantine.rules import NEVER_QUARANTINED
from cranklane.sidecar.request.identity import Identity

CRASH_ID_BYTES = 8
"""Length of a crash id in records."""


@dataclass(slots=True)
class QuarantinedRequest:
    """A request that is suspected, quarantined or on probation.

    :ivar service: service whose workers it may crash.
    :ivar suspected_at: time at which it was last suspected, in seconds.
    :ivar crashes: ids of the crashes that are evidence against it.
    :ivar quarantined_until: end of its quarantine, in seconds; NEVER_QUARANTINED if it is only
        suspected.
    """

    identity: Identity
    service: str
    suspected_at: float
    crashes: frozenset[bytes] = field(default_factory=frozenset)
    quarantined_until: float = NEVER_QUARANTINED

    @property
    def was_quarantined(self) -> bool:
        """Whether it is quarantined or on probation."""
        return self.quarantined_until > NEVER_QUARANTINED

    @property
    def suspicion_level(self) -> int:
        """Suspicion level: 1, plus 1 per crash that is evidence."""
        return 1 + len(self.crashes)

    def extend(self, until: float) -> None:
        """Quarantine it until at least the given time, in seconds."""
        self.quarantined_until = max(self.quarantined_until, until)


def crash_id(instance: str) -> bytes:
    """Return the id of a worker instance's crash."""
    return bytes(sha256(instance.encode()).digest()[:CRASH_ID_BYTES])


def crash_ids(packed_ids: bytes) -> frozenset[bytes]:
    """Split a record field of concatenated crash ids.

    >>> sorted(crash_ids(b"11111111" + b"22222222"))
    [b'11111111', b'22222222']
    """
    starts = range(0, len(packed_ids), CRASH_ID_BYTES)
    return frozenset(packed_ids[start : start + CRASH_ID_BYTES] for start in starts)


def to_record(entry: QuarantinedRequest, now: float) -> QuarantineEntry:
    """Return the record that reports a request to other sidecars.

    :param now: current time, in seconds.
    """
    held_ms = 0
    if entry.was_quarantined:
        held_ms = max(1, int((entry.quarantined_until - now) * MILLISECONDS))
    return _record(entry, held_ms, cleared=False)


def to_clearing(entry: QuarantinedRequest) -> QuarantineEntry:
    """Return the record that reports the clearing of a request to other sidecars."""
    return _record(entry, 1 if entry.was_quarantined else 0, cleared=True)


def _record(entry: QuarantinedRequest, held_ms: int, cleared: bool) -> QuarantineEntry:
    packed_ids = b"".join(sorted(entry.crashes))
    return QuarantineEntry(held_ms, cleared, entry.service, packed_ids, entry.identity)
