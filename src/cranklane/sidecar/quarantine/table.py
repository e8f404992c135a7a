"""Requests that are suspected of ending the workers that run them, and those that are held.

A worker that ends takes all its runs along, and most of them are innocent. So the first end
makes suspects of all of them, and that costs them nothing: a suspect may be sent to a second
worker at once. When that one ends too, its end speaks against those who were suspected most as
they began there; each such end raises a suspect's level.
Where it is one alone, it is held: refused everywhere, at first for a few seconds. Where there are
several, each is from then on run with no other such suspect beside it, so that the next end tells
which one it is; that one is held for long. A suspect that a worker answers is cleared, also
after a hold.

The table is empty on a calm day, and then nobody computes an identity.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from gevent.event import Event

from cranklane.common.secret_digest import sha256
from cranklane.records.messages import QuarantineEntry
from cranklane.sidecar.request.identity import Identity

FIRST_QUARANTINE_SECONDS = 5.0
"""Hold after the first end that speaks against a request alone. One such end may be a chance, as
when the worker's machine fails in that moment; the pause lets the workers that have ended come
back (some seconds) before the next one is risked, and costs an innocent no more than that."""

SECOND_QUARANTINE_SECONDS = 300.0
"""Hold after the second such end; it doubles with each further one. Each probation of a guilty
request costs a worker and all that runs there."""

MAX_QUARANTINE_SECONDS = 3600.0
"""Longest hold: whoever mends the worker gets the request served within this time, or lifts the
hold."""

PROBATION_RUN_SECONDS = 10.0
"""Others go on to refuse a request for this long while one gate tries it again: longer than
nearly all runs."""

SUSPICION_SECONDS = 120.0
"""A suspect that is not seen again is forgotten after this long: later it is no more likely to
be guilty than any other request, and a table that is empty costs nothing."""

MAX_SUSPECTED = 1024
"""Suspects kept, the newest: the runs of some tens of workers."""

MAX_QUARANTINED = 256
"""Requests held at a time. Of more, those whose hold ends first are let go, so that a flood of
ever new ones cannot fill the memory."""

MAX_CLEARED = 256
"""Cleared requests remembered, so that news that is older than the clearing changes nothing."""

CLEARED_SECONDS = 1.0
"""A request that was cleared is not suspected for this long by a sender that may not know it. A
request that many send is cleared within milliseconds of an end; without this, twelve more of
2,000 such requests failed when two pairs of workers ended 2 to 80 ms apart (simulation)."""

SAME_QUARANTINE_SECONDS = 1.0
"""Two times until which a request is held that differ by less are the same, told by ways of
different length."""

CRASH_ID_BYTES = 8
"""Bytes that name an end of a worker in records."""


class QuarantineState(Enum):
    """What is known of a request.

    :cvar ON_PROBATION: held until now; one isolated run shows whether it still ends workers.
    """

    CLEAR = "clear"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    ON_PROBATION = "on_probation"


@dataclass(slots=True)
class QuarantinedRequest:
    """One request that is suspected or held.

    :ivar ends: the ends of workers that speak against it, each by its name.
    :ivar quarantined_until: second until which it is refused; never held: -inf.
    """

    identity: Identity
    service: str
    seen_at: float
    ends: frozenset[bytes] = field(default_factory=frozenset)
    quarantined_until: float = -math.inf

    @property
    def was_quarantined(self) -> bool:
        """Whether it was ever held."""
        return self.quarantined_until > -math.inf

    @property
    def level(self) -> int:
        """How strongly it is suspected, from 1 on."""
        return 1 + len(self.ends)


@dataclass(frozen=True, slots=True)
class _Cleared:
    """A clearing, and the ends that spoke against the request before it."""

    ends: frozenset[bytes]
    at: float


def quarantine_seconds(ends: int) -> float:
    """Return how long a request is held when so many ends speak against it.

    >>> [quarantine_seconds(ends) for ends in (1, 2, 3, 9)]
    [5.0, 300.0, 600.0, 3600.0]
    """
    if ends < 2:
        return FIRST_QUARANTINE_SECONDS
    return float(min(MAX_QUARANTINE_SECONDS, SECOND_QUARANTINE_SECONDS * 2 ** (ends - 2)))


class Quarantine:
    """What one sidecar knows of suspected and held requests.

    :param clock: seconds that have passed, those of a suspension included.
    :param on_news: given the entries that other sidecars should know.
    :ivar filled: set while there may be entries.
    """

    def __init__(
        self, clock: Callable[[], float], on_news: Callable[[list[QuarantineEntry]], None]
    ) -> None:
        self._clock = clock
        self._on_news = on_news
        # In the order in which they were seen last.
        self._entries: OrderedDict[Identity, QuarantinedRequest] = OrderedDict()
        self._cleared: OrderedDict[Identity, _Cleared] = OrderedDict()
        self.filled = Event()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or held."""
        return not self._entries

    def state(self, identity: Identity) -> QuarantineState:
        """Return what is known of a request."""
        entry = self._entries.get(identity)
        if entry is None:
            return QuarantineState.CLEAR
        now = self._clock()
        if entry.quarantined_until > now:
            return QuarantineState.QUARANTINED
        if entry.was_quarantined:
            return QuarantineState.ON_PROBATION
        if now - entry.seen_at > SUSPICION_SECONDS:
            del self._entries[identity]
            return QuarantineState.CLEAR
        return QuarantineState.SUSPECTED

    def suspicion_level(self, identity: Identity) -> int:
        """Return how strongly a request is suspected; 0 for one that is not."""
        entry = self._entries.get(identity)
        return entry.level if entry is not None else 0

    def seconds_left(self, identity: Identity) -> float:
        """Return how much longer a request is held."""
        entry = self._entries.get(identity)
        return max(0.0, entry.quarantined_until - self._clock()) if entry is not None else 0.0

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are held, or are on probation."""
        return [entry for entry in self._entries.values() if entry.was_quarantined]

    def forget_old(self) -> None:
        """Drop suspects that were not seen for long, and holds that were over for long."""
        now = self._clock()
        for entry in list(self._entries.values()):
            last = max(entry.seen_at, entry.quarantined_until)
            kept = MAX_QUARANTINE_SECONDS if entry.was_quarantined else SUSPICION_SECONDS
            if now - last > kept:
                del self._entries[entry.identity]
        if not self._entries:
            self.filled.clear()

    # What happens at this sidecar's worker.

    def worker_crashed(self, service: str, end: bytes, runs: dict[Identity, int]) -> None:
        """Take that the worker has ended.

        :param end: names the end.
        :param runs: the requests that ran, each with its level as it began: what became known
            later says nothing, as several workers may end at one moment.
        """
        # One that was cleared meanwhile begins anew.
        levels = {
            identity: min(level, self.suspicion_level(identity)) for identity, level in runs.items()
        }
        top = max(levels.values(), default=0)
        for identity in runs:
            self.suspect(service, identity)
        if top > 0:
            self._count_crash([identity for identity, level in levels.items() if level == top], end)
        self._drop_surplus()
        self._tell(list(runs))

    def _count_crash(self, blamed: list[Identity], end: bytes) -> None:
        for identity in blamed:
            entry = self._entries[identity]
            entry.ends |= {end}
            if len(blamed) == 1:
                until = self._clock() + quarantine_seconds(len(entry.ends))
                entry.quarantined_until = max(entry.quarantined_until, until)

    def suspect(self, service: str, identity: Identity) -> None:
        """Take that a request ran at a worker as it ended."""
        entry = self._entries.get(identity)
        if entry is None:
            self._entries[identity] = QuarantinedRequest(identity, service, self._clock())
            self.filled.set()
            self._drop_surplus()
        else:
            entry.seen_at = self._clock()
            self._entries.move_to_end(identity)

    def retried(self, service: str, identity: Identity) -> None:
        """Take that a sender repeats a request whose worker ended; news of that may follow."""
        cleared = self._cleared.get(identity)
        if cleared is None or self._clock() - cleared.at > CLEARED_SECONDS:
            self.suspect(service, identity)

    def probation_run_begins(self, identity: Identity) -> None:
        """Take that a held request is run once more here, and have the others wait."""
        self._entries[identity].quarantined_until = self._clock() + PROBATION_RUN_SECONDS
        self._tell([identity])

    def answered(self, identity: Identity) -> None:
        """Take that a worker has run a request to its end."""
        if identity in self._entries:
            self.lift(identity)

    # What operators say.

    def lift(self, identity: Identity) -> bool:
        """Clear a request, here and everywhere; return whether it was known."""
        entry = self._entries.pop(identity, None)
        if entry is None:
            return False
        self._remember_cleared(identity, entry.ends)
        self._on_news([_wire(entry, 0.0, cleared=True)])
        return True

    def quarantine(self, service: str, identity: Identity, seconds: float) -> None:
        """Hold a request, here and everywhere."""
        self.suspect(service, identity)
        entry = self._entries[identity]
        # Named like an end of a worker, so that it counts after an earlier clearing too.
        entry.ends |= {crash_id(f"operator at {self._clock()}")}
        entry.quarantined_until = max(entry.quarantined_until, self._clock() + seconds)
        self._drop_surplus()
        self._tell([identity])

    # What other sidecars tell.

    def learn(self, service: str, identity: Identity, seconds: float) -> None:
        """Take that a gate has refused a request that it holds for some seconds more."""
        self.take([QuarantineEntry(int(seconds * 1000) + 1, False, service, b"", identity)])

    def take(self, told: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Take what another sidecar knows; return what of it is news here."""
        return [entry for entry in told if self._take(entry)]

    def _take(self, told: QuarantineEntry) -> bool:
        if told.cleared:
            return self._take_cleared(told)
        ends = _crashes_of(told.ends)
        if self._is_outdated(told):
            return False
        is_new = told.identity not in self._entries
        self.suspect(told.service, told.identity)
        entry = self._entries[told.identity]
        added = ends - entry.ends
        # Ends that were seen at two places at once count together.
        seen_apart = bool(added and entry.ends - ends)
        entry.ends |= ends
        seconds = told.held_ms / 1000
        if seen_apart:
            seconds = max(seconds, quarantine_seconds(len(entry.ends)))
        is_longer = seconds > 0 and self._extend(entry, seconds)
        self._drop_surplus()
        return is_new or bool(added) or is_longer

    def _is_outdated(self, told: QuarantineEntry) -> bool:
        """Return whether a hold was cleared after all that an entry tells of it."""
        cleared = self._cleared.get(told.identity)
        return told.held_ms > 0 and cleared is not None and _crashes_of(told.ends) <= cleared.ends

    def corrections(self, told: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Return what a sidecar should know that still holds what was cleared."""
        return [
            QuarantineEntry(0, True, entry.service, entry.ends, entry.identity)
            for entry in told
            if not entry.cleared
            and entry.identity not in self._entries
            and self._is_outdated(entry)
        ]

    def _take_cleared(self, told: QuarantineEntry) -> bool:
        ends = _crashes_of(told.ends)
        self._remember_cleared(told.identity, ends)
        known = self._entries.get(told.identity)
        if known is None or not known.ends <= ends:
            return False
        del self._entries[told.identity]
        return True

    def _extend(self, entry: QuarantinedRequest, seconds: float) -> bool:
        """Hold a request for some seconds from now; return whether that is longer."""
        until = self._clock() + seconds
        if until <= entry.quarantined_until + SAME_QUARANTINE_SECONDS:
            return False
        entry.quarantined_until = until
        return True

    def entries(self) -> list[QuarantineEntry]:
        """Return what another sidecar should know of held requests."""
        now = self._clock()
        return [_wire(entry, entry.quarantined_until - now) for entry in self.quarantined()]

    def digest(self) -> int:
        """Return a number that is the same where the same requests are held.

        It tells nothing of when holds end, as clocks and delays differ.
        """
        value = 0
        for entry in self.quarantined():
            value ^= int.from_bytes(entry.identity[:8]) + len(entry.ends)
        return value % 2**64

    # Bookkeeping.

    def _tell(self, identities: list[Identity]) -> None:
        now = self._clock()
        known = [self._entries[identity] for identity in identities if identity in self._entries]
        if known:
            self._on_news([_wire(entry, entry.quarantined_until - now) for entry in known])

    def _remember_cleared(self, identity: Identity, ends: frozenset[bytes]) -> None:
        former = self._cleared.pop(identity, None)
        ends = ends if former is None else ends | former.ends
        self._cleared[identity] = _Cleared(ends, self._clock())
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def _drop_surplus(self) -> None:
        """Keep the table within its bounds."""
        held = self.quarantined()
        if len(held) > MAX_QUARANTINED:
            del self._entries[min(held, key=lambda entry: entry.quarantined_until).identity]
        while len(self._entries) > MAX_QUARANTINED + MAX_SUSPECTED:
            oldest = next(entry for entry in self._entries.values() if not entry.was_quarantined)
            del self._entries[oldest.identity]


def crash_id(instance: str) -> bytes:
    """Return what names the end of a worker's start in records."""
    return bytes(sha256(instance.encode()).digest()[:CRASH_ID_BYTES])


def _crashes_of(data: bytes) -> frozenset[bytes]:
    """Return the names that a field of a record holds one after the other.

    >>> sorted(_crashes_of(b"11111111" + b"22222222"))
    [b'11111111', b'22222222']
    """
    starts = range(0, len(data), CRASH_ID_BYTES)
    return frozenset(data[start : start + CRASH_ID_BYTES] for start in starts)


def _wire(entry: QuarantinedRequest, seconds: float, cleared: bool = False) -> QuarantineEntry:
    """Return an entry as a record, with the seconds that it is still held."""
    held_ms = max(1, int(seconds * 1000)) if entry.was_quarantined else 0
    return QuarantineEntry(
        held_ms, cleared, entry.service, b"".join(sorted(entry.ends)), entry.identity
    )
