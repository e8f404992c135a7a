"""Requests that are suspected of crashing the workers that run them, at one sidecar.

A worker that crashes takes all its runs along, and most of them are innocent. So the first crash
makes all of them suspected, which costs them nothing: a suspected request may be sent to a second
worker at once. When that one crashes too, its crash is evidence against those that were suspected
most as they began there; each such crash raises a request's suspicion level. Where it is one
alone, it is quarantined: refused everywhere, at first for a few seconds. Where there are several,
each is from then on run in isolation, so that the next crash tells which one it is; that one is
quarantined for long. A suspected request that a worker answers is cleared, also on probation.

Owns what this sidecar knows of such requests. The rules are in ``rules``; other sidecars' knowledge
comes through ``gossip``. The table is empty on a calm day, and then nobody computes an identity.
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
"""Suspected requests kept, the newest. A choice: the runs of some tens of workers."""

MAX_QUARANTINED = 256
"""Requests quarantined at a time. Of more, the one whose quarantine ends first is let go, so that
a flood of ever new ones cannot fill the memory. A choice."""


class Quarantine:
    """What one sidecar knows of suspected and quarantined requests.

    :param clock: seconds that have passed, those of a suspension included.
    :param on_update: given the entries that other sidecars should know.
    :ivar filled: set while there may be entries.
    """

    def __init__(
        self, clock: Callable[[], float], on_update: Callable[[list[QuarantineEntry]], None]
    ) -> None:
        self._clock = clock
        self._on_update = on_update
        # In the order in which they were seen last.
        self._entries: OrderedDict[Identity, QuarantinedRequest] = OrderedDict()
        self._cleared = ClearedRequests(clock)
        self.filled = Event()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or quarantined."""
        return not self._entries

    def state(self, identity: Identity) -> QuarantineState:
        """Return what is known of a request."""
        entry = self._entries.get(identity)
        if entry is None:
            return QuarantineState.CLEAR
        state = rules.state_at(self._clock(), entry.seen_at, entry.quarantined_until)
        if state is QuarantineState.CLEAR:
            del self._entries[identity]
        return state

    def suspicion_level(self, identity: Identity) -> int:
        """Return how strongly a request is suspected; 0 for one that is not."""
        entry = self._entries.get(identity)
        return entry.suspicion_level if entry is not None else 0

    def seconds_left(self, identity: Identity) -> float:
        """Return how many seconds longer a request is quarantined; 0 for one that is not."""
        entry = self._entries.get(identity)
        return max(0.0, entry.quarantined_until - self._clock()) if entry is not None else 0.0

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are quarantined or on probation."""
        return [entry for entry in self._entries.values() if entry.was_quarantined]

    def forget_old(self) -> None:
        """Drop the requests that were not seen, and not quarantined, for long."""
        now = self._clock()
        for entry in list(self._entries.values()):
            if rules.is_forgotten(now, entry.seen_at, entry.quarantined_until):
                del self._entries[entry.identity]
        if not self._entries:
            self.filled.clear()

    # What happens at this sidecar's worker.

    def worker_crashed(self, service: str, crash: bytes, runs: dict[Identity, int]) -> None:
        """Count a crash of the worker against the requests that ran.

        :param crash: id of the crash.
        :param runs: the requests that ran, each with its suspicion level as it began: what became
            known later says nothing, as several workers may crash at one moment.
        """
        # One that was cleared meanwhile begins anew.
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
        self._drop_surplus()
        self._report(list(runs))

    def suspect(self, service: str, identity: Identity) -> None:
        """Take that a request ran at a worker as that crashed."""
        entry = self._entries.get(identity)
        if entry is None:
            self._entries[identity] = QuarantinedRequest(identity, service, self._clock())
            self.filled.set()
            self._drop_surplus()
        else:
            entry.seen_at = self._clock()
            self._entries.move_to_end(identity)

    def retried(self, service: str, identity: Identity) -> None:
        """Take that a sender retries a request whose worker crashed; a report may follow."""
        if not self._cleared.is_recent(identity):
            self.suspect(service, identity)

    def probation_run_begins(self, identity: Identity) -> None:
        """Have the other sidecars refuse a request while it is run on probation here."""
        self._entries[identity].quarantined_until = self._clock() + rules.PROBATION_RUN_SECONDS
        self._report([identity])

    def answered(self, identity: Identity) -> None:
        """Clear a request that a worker has run to its end."""
        if identity in self._entries:
            self.lift(identity)

    # What operators do.

    def lift(self, identity: Identity) -> bool:
        """Clear a request, here and everywhere; return whether it was known."""
        entry = self._entries.pop(identity, None)
        if entry is None:
            return False
        self._cleared.add(identity, entry.crashes)
        self._on_update([to_clearing(entry)])
        return True

    def quarantine(self, service: str, identity: Identity, seconds: float) -> None:
        """Quarantine a request for some seconds, here and everywhere."""
        self.suspect(service, identity)
        entry = self._entries[identity]
        # Has an id like a crash, so that it counts after an earlier clearing too.
        entry.crashes |= {crash_id(f"operator at {self._clock()}")}
        entry.extend(self._clock() + seconds)
        self._drop_surplus()
        self._report([identity])

    # What other sidecars report.

    def learn(self, service: str, identity: Identity, seconds: float) -> None:
        """Take that a gate has refused a request that is quarantined for some seconds more."""
        held_ms = int(seconds * MILLISECONDS) + 1
        self.merge([QuarantineEntry(held_ms, False, service, b"", identity)])

    def merge(self, reports: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Take what another sidecar knows; return what of it was not known here."""
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
        until = self._clock() + seconds
        is_longer = seconds > 0 and rules.is_longer(until, entry.quarantined_until)
        if is_longer:
            entry.quarantined_until = until
        self._drop_surplus()
        return is_new or has_new_crash or is_longer

    def _merge_clearing(self, identity: Identity, crashes: frozenset[bytes]) -> bool:
        self._cleared.add(identity, crashes)
        known = self._entries.get(identity)
        if known is None or not rules.is_cleared(known.crashes, crashes):
            return False
        del self._entries[identity]
        return True

    def corrections(self, reports: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Return what a sidecar should know that still refuses what was cleared."""
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
        """Return what another sidecar should know of quarantined requests."""
        now = self._clock()
        return [to_record(entry, now) for entry in self.quarantined()]

    def digest(self) -> int:
        """Return a number that is the same where the same requests are quarantined.

        It does not depend on when quarantines end, as clocks and delays differ.
        """
        value = 0
        for entry in self.quarantined():
            value ^= int.from_bytes(entry.identity[:8]) + len(entry.crashes)
        return value % 2**64

    # Bookkeeping.

    def _report(self, identities: list[Identity]) -> None:
        """Let the other sidecars know what is known of some requests."""
        now = self._clock()
        known = [self._entries[identity] for identity in identities if identity in self._entries]
        if known:
            self._on_update([to_record(entry, now) for entry in known])

    def _drop_surplus(self) -> None:
        """Keep the table within its bounds."""
        quarantined = self.quarantined()
        if len(quarantined) > MAX_QUARANTINED:
            ends_first = min(quarantined, key=lambda entry: entry.quarantined_until)
            del self._entries[ends_first.identity]
        while len(self._entries) > MAX_QUARANTINED + MAX_SUSPECTED:
            oldest = next(entry for entry in self._entries.values() if not entry.was_quarantined)
            del self._entries[oldest.identity]
