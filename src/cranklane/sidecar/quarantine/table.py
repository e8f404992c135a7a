"""Table of the requests that this sidecar suspects of crashing workers.

A crash interrupts all runs of a worker, and most of their requests are innocent. The first crash
therefore only marks all of them as suspected; their immediate retries still run normally. If the
second worker crashes too, its crash is evidence against the requests with the highest suspicion
level at their start. A single such request is quarantined: all sidecars refuse it. Several such
requests run in isolation, so that the next crash identifies the cause. The first quarantine is
short and later ones are long. A response from a worker clears a suspected request, also on
probation.

``rules`` has the decisions; ``gossip`` exchanges entries with other sidecars. While the table is
empty, no request identities are computed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from gevent.event import Event

from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import QuarantineEntry
from cranklane.sidecar.quarantine import rules
from cranklane.sidecar.quarantine.cleared_requests import ClearedRequests
from cranklane.sidecar.quarantine.entry import (
    QuarantinedRequest,
    crash_id,
    crash_ids,
    to_clearing,
    to_record,
)
from cranklane.sidecar.quarantine.rules import QuarantineState
from cranklane.sidecar.request.identity import Identity

MAX_SUSPECTED = 1024
"""Maximum number of suspected requests; the oldest are evicted. Covers the runs of some tens of
workers."""

MAX_QUARANTINED = 256
"""Maximum number of quarantined requests, to bound memory; the earliest to expire is evicted."""


class Quarantine:
    """Suspected and quarantined requests at one sidecar.

    :param clock: seconds, including time in suspension.
    :param on_update: receives the entries to report to other sidecars.
    :ivar has_entries: set while the table may have entries.
    """

    def __init__(
        self, clock: Callable[[], float], on_update: Callable[[list[QuarantineEntry]], None]
    ) -> None:
        self._clock = clock
        self._on_update = on_update
        # Ordered by the time of the last suspicion, oldest first.
        self._entries: OrderedDict[Identity, QuarantinedRequest] = OrderedDict()
        self._cleared = ClearedRequests(clock)
        self.has_entries = Event()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or quarantined."""
        return not self._entries

    def state(self, identity: Identity) -> QuarantineState:
        """Return the state of a request; drop its entry if it has expired."""
        entry = self._entries.get(identity)
        if entry is None:
            return QuarantineState.CLEAR
        state = rules.state_at(self._clock(), entry.suspected_at, entry.quarantined_until)
        if state is QuarantineState.CLEAR:
            del self._entries[identity]
        return state

    def suspicion_level(self, identity: Identity) -> int:
        """Return the suspicion level of a request; 0 if it is not suspected."""
        entry = self._entries.get(identity)
        return entry.suspicion_level if entry is not None else 0

    def seconds_left(self, identity: Identity) -> float:
        """Return the remaining quarantine of a request in seconds; 0 if not quarantined."""
        entry = self._entries.get(identity)
        return max(0.0, entry.quarantined_until - self._clock()) if entry is not None else 0.0

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are quarantined or on probation."""
        return [entry for entry in self._entries.values() if entry.was_quarantined]

    def drop_expired(self) -> None:
        """Remove the expired entries."""
        now = self._clock()
        for entry in list(self._entries.values()):
            if rules.is_forgotten(now, entry.suspected_at, entry.quarantined_until):
                del self._entries[entry.identity]
        if not self._entries:
            self.has_entries.clear()

    # Events at the local worker.

    def worker_crashed(self, service: str, crash: bytes, runs: dict[Identity, int]) -> None:
        """Record a worker crash against the requests in flight.

        :param crash: id of the crash.
        :param runs: the requests in flight with their suspicion levels at their start. Later
            levels would turn simultaneous crashes of several workers into evidence.
        """
        # A request cleared since its start has no suspicion level any more.
        levels = {
            identity: min(level, self.suspicion_level(identity)) for identity, level in runs.items()
        }
        for identity in runs:
            self.suspect(service, identity)
        blamed = rules.most_suspected(levels)
        for identity in blamed:
            entry = self._entries[identity]
            entry.crashes |= {crash}
            if len(blamed) == 1:
                entry.extend(self._clock() + rules.quarantine_seconds(len(entry.crashes)))
        self._evict_excess()
        self._report(list(runs))

    def suspect(self, service: str, identity: Identity) -> None:
        """Mark a request as suspected, or renew its suspicion."""
        entry = self._entries.get(identity)
        if entry is None:
            self._entries[identity] = QuarantinedRequest(identity, service, self._clock())
            self.has_entries.set()
            self._evict_excess()
        else:
            entry.suspected_at = self._clock()
            self._entries.move_to_end(identity)

    def retried(self, service: str, identity: Identity) -> None:
        """Suspect a request that its sender retries after a crash, unless it was just cleared.

        The retry may arrive before the report of the crash.
        """
        if not self._cleared.is_recent(identity):
            self.suspect(service, identity)

    def probation_run_begins(self, identity: Identity) -> None:
        """Quarantine a request at the other sidecars during its probation run here."""
        self._entries[identity].quarantined_until = self._clock() + rules.PROBATION_RUN_SECONDS
        self._report([identity])

    def answered(self, identity: Identity) -> None:
        """Clear a request whose run completed."""
        if identity in self._entries:
            self.lift(identity)

    # Changes by operators.

    def lift(self, identity: Identity) -> bool:
        """Clear a request at all sidecars; return whether it had an entry here."""
        entry = self._entries.pop(identity, None)
        if entry is None:
            return False
        self._cleared.add(identity, entry.crashes)
        self._on_update([to_clearing(entry)])
        return True

    def quarantine(self, service: str, identity: Identity, seconds: float) -> None:
        """Quarantine a request at all sidecars for a number of seconds."""
        self.suspect(service, identity)
        entry = self._entries[identity]
        # A new crash id keeps an earlier clearing from superseding this quarantine.
        entry.crashes |= {crash_id(f"operator at {self._clock()}")}
        entry.extend(self._clock() + seconds)
        self._evict_excess()
        self._report([identity])

    # Reports from other sidecars.

    def record_refusal(self, service: str, identity: Identity, seconds: float) -> None:
        """Record a quarantine from a gate's refusal.

        :param seconds: remaining time of the quarantine.
        """
        held_ms = int(seconds * MILLISECONDS) + 1
        self.merge([QuarantineEntry(held_ms, False, service, b"", identity)])

    def merge(self, reports: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Merge the entries of another sidecar; return those that changed the table."""
        return [report for report in reports if self._merge(report)]

    def _merge(self, report: QuarantineEntry) -> bool:
        crashes = crash_ids(report.ends)
        if report.cleared:
            return self._merge_clearing(report.identity, crashes)
        if rules.is_outdated(report.held_ms, crashes, self._cleared.crashes(report.identity)):
            return False
        is_new = report.identity not in self._entries
        self.suspect(report.service, report.identity)
        entry = self._entries[report.identity]
        seconds = rules.merged_seconds(report.held_ms / MILLISECONDS, entry.crashes, crashes)
        has_new_crash = not crashes <= entry.crashes
        entry.crashes |= crashes
        reported_until = self._clock() + seconds
        is_longer = seconds > 0 and rules.is_longer(reported_until, entry.quarantined_until)
        if is_longer:
            entry.quarantined_until = reported_until
        self._evict_excess()
        return is_new or has_new_crash or is_longer

    def _merge_clearing(self, identity: Identity, crashes: frozenset[bytes]) -> bool:
        self._cleared.add(identity, crashes)
        entry = self._entries.get(identity)
        if entry is None or not rules.is_cleared(entry.crashes, crashes):
            return False
        del self._entries[identity]
        return True

    def corrections(self, reports: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Return clearings for reported quarantines that were cleared here."""
        return [
            QuarantineEntry(0, True, report.service, report.ends, report.identity)
            for report in reports
            if not report.cleared
            and report.identity not in self._entries
            and rules.is_outdated(
                report.held_ms, crash_ids(report.ends), self._cleared.crashes(report.identity)
            )
        ]

    def entries(self) -> list[QuarantineEntry]:
        """Return the records of the requests that are quarantined or on probation."""
        now = self._clock()
        return [to_record(entry, now) for entry in self.quarantined()]

    def digest(self) -> int:
        """Return a digest of the quarantined requests, for comparison between sidecars.

        It excludes the ends of quarantines, because clocks and delays differ.
        """
        value = 0
        for entry in self.quarantined():
            value ^= int.from_bytes(entry.identity[:8]) + len(entry.crashes)
        return value % 2**64

    # Updates and eviction.

    def _report(self, identities: list[Identity]) -> None:
        """Report the entries of some requests to the other sidecars."""
        now = self._clock()
        reported_entries = [
            self._entries[identity] for identity in identities if identity in self._entries
        ]
        if reported_entries:
            self._on_update([to_record(entry, now) for entry in reported_entries])

    def _evict_excess(self) -> None:
        """Evict entries beyond the maximum numbers."""
        quarantined = self.quarantined()
        if len(quarantined) > MAX_QUARANTINED:
            earliest_expiring = min(quarantined, key=lambda entry: entry.quarantined_until)
            del self._entries[earliest_expiring.identity]
        while len(self._entries) > MAX_QUARANTINED + MAX_SUSPECTED:
            oldest = next(entry for entry in self._entries.values() if not entry.was_quarantined)
            del self._entries[oldest.identity]
