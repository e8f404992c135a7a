"""Tells other sidecars which requests are suspected of ending workers, and learns it of them.

News goes straight from sidecar to sidecar, so that it needs no controller. The one that has
it sends it to at most ``FAN_OUT`` others, each of which passes it on to its part of the rest:
of 2,400 sidecars all have it after three steps, and none sends it more than ``FAN_OUT`` times.
Suspicions concern the sidecars of one service, whose gates run suspects alone; holds concern
all. What a cut or a restart has kept from a sidecar it learns from any other: when it starts,
when its worker comes back, when control is found again, and, while anything is held, from a
comparison with one other now and then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.records.messages import QuarantineEntry, QuarantineNews
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.quarantine.sidecar_directory import OtherSidecar, SidecarDirectory
from cranklane.sidecar.quarantine.table import Quarantine

FAN_OUT = 16
"""Sidecars to which one sends a piece of news."""

GATHER_SECONDS = 0.005
"""Time over which news is gathered: the ends of many runs at once make one record."""

COMPARE_SECONDS = 2.0
"""Between two comparisons with another sidecar while anything is held: one that was cut off
learns of a hold about this long after it is back."""

LEARN_TRIES = 3
"""Sidecars that are asked in one round, until one answers."""

ANSWER_SECONDS = 0.1
"""A sidecar that has not answered within this time may be paused or cut off: another is asked."""

CATCH_UP_PAUSE_SECONDS = 0.1
"""Pause before the second round; each is longer by as much."""

CATCH_UP_ROUNDS = 8
"""Rounds of asking others that do not know either, 4 s in all: sidecars that were killed together
start within that time, and by then one of them has met one that knows."""

ENTRIES_IN_A_LINE = 20
"""Requests named in one log line; their number is always told."""

Exchange = Callable[[Address, QuarantineNews], QuarantineNews | None]
"""Sends news to a sidecar and returns its answer, None when it gives none."""


class QuarantineGossip:
    """Sends and takes news of suspected and held requests.

    :param service: returns the service of this machine's worker.
    :param exchange: sends a record to another sidecar.
    :ivar table: what this sidecar knows.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: SidecarDirectory,
        own: str,
        service: Callable[[], str],
        exchange: Exchange,
        log: Any,
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._own = own
        self._service = service
        self._exchange = exchange
        self._log = log
        self._waiting: list[QuarantineEntry] = []
        self._catching_up = False
        self._settled = False
        self.table = Quarantine(runtime.monotonic, self._tell)

    # News of this sidecar.

    def _tell(self, entries: list[QuarantineEntry]) -> None:
        self._log_entries(entries, "own")
        if not self._waiting:
            self._runtime.spawn(self._send_gathered)
        self._waiting += entries

    def _send_gathered(self) -> None:
        gevent.sleep(GATHER_SECONDS)
        entries, self._waiting = self._waiting, []
        for_all = [entry for entry in entries if entry.held_ms or entry.ends]
        for_service = [entry for entry in entries if not (entry.held_ms or entry.ends)]
        if for_all:
            self._send("", for_all, self._directory.of())
        if for_service:
            service = self._service()
            self._send(service, for_service, self._directory.of(service))

    def _send(
        self, service: str, entries: list[QuarantineEntry], others: list[OtherSidecar]
    ) -> None:
        """Send entries to others, each part of them by way of its first."""
        size = max(1, -(-len(others) // FAN_OUT))
        for start in range(0, len(others), size):
            part = others[start : start + size]
            self._runtime.spawn(self._send_part, service, entries, part)

    def _send_part(
        self, service: str, entries: list[QuarantineEntry], part: list[OtherSidecar]
    ) -> None:
        relay_to = part[-1].node
        for other in part:
            news = QuarantineNews(
                digest=self.table.digest(), service=service, relay_to=relay_to, entries=entries
            )
            if self._exchange(other.address, news) is not None:
                return

    # News of other sidecars.

    def received(self, news: QuarantineNews) -> QuarantineNews:
        """Take another sidecar's news, pass it on, and return the answer."""
        self._take(news.entries)
        if news.relay_to > self._own:
            others = [
                other
                for other in self._directory.of(news.service)
                if self._own < other.node <= news.relay_to
            ]
            self._send(news.service, news.entries, others)
        digest = self.table.digest()
        told = self.table.entries() if news.asks and news.digest != digest else []
        told = told + self.table.corrections(news.entries)
        return QuarantineNews(digest=digest, settled=self._settled, entries=told)

    def _take(self, entries: list[QuarantineEntry]) -> None:
        fresh = self.table.merge(entries)
        if fresh:
            self._log_entries(fresh, "peer")

    # Catching up.

    def compare_on(self) -> None:
        """Compare with another sidecar now and then while something is held, for ever."""
        while True:
            self.table.filled.wait()
            gevent.sleep(COMPARE_SECONDS)
            self.table.forget_old()
            if self.table.quarantined():
                self._learn()

    def catch_up(self) -> None:
        """Learn what is held until a sidecar has answered that knows it.

        One that has just started itself may know nothing. Where all have, nobody does.
        """
        if self._catching_up:
            return
        self._catching_up = True
        rounds = 0
        while rounds < CATCH_UP_ROUNDS:
            if self._directory.of():
                rounds += 1
                if self._learn():
                    break
            gevent.sleep(CATCH_UP_PAUSE_SECONDS * (1 + rounds))
        self._settled = True
        self._catching_up = False

    def _learn(self) -> bool:
        """Ask others what is held; return whether one answered that has learnt it itself.

        The next one is asked when the one before it keeps silent for a moment.
        """
        others = self._directory.of()
        self._runtime.random.shuffle(others)
        others.sort(key=lambda other: other.away_since is not None)
        tasks = []
        for other in others[:LEARN_TRIES]:
            tasks.append(self._runtime.spawn(self._compare, other))
            if any(task.value for task in gevent.wait(tasks, ANSWER_SECONDS, count=len(tasks))):
                return True
        return any(task.value for task in gevent.wait(tasks))

    def _compare(self, other: OtherSidecar) -> bool:
        """Exchange what is held with another; return whether it has learnt it itself."""
        news = QuarantineNews(digest=self.table.digest(), asks=True)
        answer = self._exchange(other.address, news)
        if answer is None:
            return False
        self._take(answer.entries)
        if self.table.digest() != answer.digest:
            entries = self.table.entries() + self.table.corrections(answer.entries)
            news = QuarantineNews(digest=self.table.digest(), entries=entries)
            corrected = self._exchange(other.address, news)
            self._take(corrected.entries if corrected is not None else [])
        return answer.settled

    def _log_entries(self, entries: list[QuarantineEntry], source: str) -> None:
        for event, chosen in (
            ("requests_cleared", [entry for entry in entries if entry.cleared]),
            ("requests_held", [e for e in entries if e.held_ms and not e.cleared]),
            ("requests_suspected", [e for e in entries if not e.held_ms and not e.cleared]),
        ):
            if chosen:
                self._log.warning(
                    event,
                    source=source,
                    count=len(chosen),
                    requests=[
                        [entry.identity.hex(), entry.service, entry.held_ms / 1000]
                        for entry in chosen[:ENTRIES_IN_A_LINE]
                    ],
                )
