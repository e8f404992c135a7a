"""Spreads what a sidecar knows of suspected and quarantined requests to the others.

Updates go straight from sidecar to sidecar, so that they need no controller. The one at which
something happens sends it to at most ``FAN_OUT`` others, each of which passes it on to its share of
the rest: of 2,400 sidecars all have it after three steps, and none sends it more than ``FAN_OUT``
times. Suspicions concern the sidecars of one service, whose gates isolate its requests; crashes
that are evidence, and quarantines, concern all. ``anti_entropy`` repairs what was missed.

Owns the table and the updates that wait to be sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import QuarantineEntry, QuarantineNews
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.quarantine.anti_entropy import AntiEntropy, Exchange
from cranklane.sidecar.quarantine.sidecar_directory import OtherSidecar, SidecarDirectory
from cranklane.sidecar.quarantine.table import Quarantine

FAN_OUT = 16
"""Sidecars to which one sends an update. A choice: three steps reach 16 * 16 * 16 = 4,096."""

GATHER_SECONDS = 0.005
"""Time over which updates are gathered: the ends of many runs at once make one record. A choice:
short against the time in which a sender retries."""

MAX_ENTRIES_IN_LINE = 20
"""Requests named in one log line; their number is always logged. A choice."""


class QuarantineGossip:
    """Sends this sidecar's updates, and takes and passes on those of others.

    :param own: name of this machine's node.
    :param service: returns the service of this machine's worker.
    :param exchange: sends a record to another sidecar.
    :ivar table: what this sidecar knows.
    :ivar anti_entropy: compares it with that of others.
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
        self.table = Quarantine(runtime.monotonic, self._gather)
        self.anti_entropy = AntiEntropy(runtime, directory, self.table, exchange, self._merge)

    # This sidecar's updates.

    def _gather(self, entries: list[QuarantineEntry]) -> None:
        """Take what happened here; send it, with what else happens, a moment later."""
        self._log_entries(entries, "own")
        if not self._waiting:
            self._runtime.spawn(self._send_gathered)
        self._waiting += entries

    def _send_gathered(self) -> None:
        gevent.sleep(GATHER_SECONDS)
        entries, self._waiting = self._waiting, []
        for_all = [entry for entry in entries if _concerns_all(entry)]
        for_service = [entry for entry in entries if not _concerns_all(entry)]
        if for_all:
            self._send("", for_all, self._directory.of())
        if for_service:
            service = self._service()
            self._send(service, for_service, self._directory.of(service))

    def _send(
        self, service: str, entries: list[QuarantineEntry], others: list[OtherSidecar]
    ) -> None:
        """Send entries to others: divided among ``FAN_OUT`` shares, each sent to its first."""
        size = max(1, -(-len(others) // FAN_OUT))
        for start in range(0, len(others), size):
            share = others[start : start + size]
            self._runtime.spawn(self._send_to_share, service, entries, share)

    def _send_to_share(
        self, service: str, entries: list[QuarantineEntry], share: list[OtherSidecar]
    ) -> None:
        """Send entries to the first of a share that answers; it passes them on to the rest."""
        relay_to = share[-1].node
        for other in share:
            update = QuarantineNews(
                digest=self.table.digest(), service=service, relay_to=relay_to, entries=entries
            )
            if self._exchange(other.address, update) is not None:
                return

    # Updates of other sidecars.

    def received(self, update: QuarantineNews) -> QuarantineNews:
        """Take another sidecar's update, pass it on, and return the answer."""
        self._merge(update.entries)
        if update.relay_to > self._own:
            others = [
                other
                for other in self._directory.of(update.service)
                if self._own < other.node <= update.relay_to
            ]
            self._send(update.service, update.entries, others)
        digest = self.table.digest()
        entries = self.table.entries() if update.asks and update.digest != digest else []
        entries = entries + self.table.corrections(update.entries)
        return QuarantineNews(digest=digest, settled=self.anti_entropy.settled, entries=entries)

    def _merge(self, entries: list[QuarantineEntry]) -> None:
        """Take what another sidecar knows."""
        unknown = self.table.merge(entries)
        if unknown:
            self._log_entries(unknown, "peer")

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
                        [entry.identity.hex(), entry.service, entry.held_ms / MILLISECONDS]
                        for entry in chosen[:MAX_ENTRIES_IN_LINE]
                    ],
                )


def _concerns_all(entry: QuarantineEntry) -> bool:
    """Return whether sidecars of all services need an entry, not only those of its own."""
    return bool(entry.held_ms or entry.ends)
