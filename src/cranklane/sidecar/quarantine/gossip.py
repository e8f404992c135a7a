"""Disseminates quarantine updates among sidecars, without a controller.

The origin of an update divides the peers into at most ``FAN_OUT`` shares and sends it to one peer
of each, which forwards it within its share in the same way. Suspicions go only to the sidecars of
the request's service, whose gates isolate it. Quarantines, evidence and their clearings go to all
sidecars. ``anti_entropy`` repairs missed updates.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import QuarantineEntry, QuarantineNews
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.quarantine.anti_entropy import AntiEntropy, Exchange
from cranklane.sidecar.quarantine.sidecar_directory import PeerSidecar, SidecarDirectory
from cranklane.sidecar.quarantine.table import Quarantine

FAN_OUT = 16
"""Maximum number of peers to which a sidecar sends an update; three hops reach 4,096 sidecars."""

BATCH_SECONDS = 0.005
"""Delay for batching updates into one record; short relative to a sender's retry delay."""

MAX_LOGGED_ENTRIES = 20
"""Maximum number of requests listed in a log line, which also has the total count."""


class QuarantineGossip:
    """Sends local quarantine updates, and merges and forwards those of peers.

    :param node_name: node name of this sidecar.
    :param service: returns the service of the local worker.
    :param exchange: sends a record to a peer.
    :ivar table: quarantine table of this sidecar.
    :ivar anti_entropy: synchronizes the table with those of peers.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: SidecarDirectory,
        node_name: str,
        service: Callable[[], str],
        exchange: Exchange,
        log: Any,
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._node_name = node_name
        self._service = service
        self._exchange = exchange
        self._log = log
        self._pending: list[QuarantineEntry] = []
        self.table = Quarantine(runtime.monotonic, self._enqueue)
        self.anti_entropy = AntiEntropy(runtime, directory, self.table, exchange, self._merge)

    # Updates that originate here.

    def _enqueue(self, entries: list[QuarantineEntry]) -> None:
        """Add entries to the current batch; schedule its transmission if it was empty."""
        self._log_entries(entries, "own")
        if not self._pending:
            self._runtime.spawn(self._send_batch)
        self._pending += entries

    def _send_batch(self) -> None:
        gevent.sleep(BATCH_SECONDS)
        entries, self._pending = self._pending, []
        fleet_entries = [entry for entry in entries if _is_fleet_wide(entry)]
        service_entries = [entry for entry in entries if not _is_fleet_wide(entry)]
        if fleet_entries:
            self._send("", fleet_entries, self._directory.list_peers())
        if service_entries:
            service = self._service()
            self._send(service, service_entries, self._directory.list_peers(service))

    def _send(self, service: str, entries: list[QuarantineEntry], peers: list[PeerSidecar]) -> None:
        """Send entries to peers, divided into at most ``FAN_OUT`` shares.

        :param service: service whose sidecars are the recipients; empty for all sidecars.
        """
        share_size = max(1, -(-len(peers) // FAN_OUT))
        for start in range(0, len(peers), share_size):
            share = peers[start : start + share_size]
            self._runtime.spawn(self._send_to_share, service, entries, share)

    def _send_to_share(
        self, service: str, entries: list[QuarantineEntry], share: list[PeerSidecar]
    ) -> None:
        """Send entries to the first responsive peer of a share, which forwards them to the rest."""
        relay_to = share[-1].node
        for peer in share:
            update = QuarantineNews(
                digest=self.table.digest(), service=service, relay_to=relay_to, entries=entries
            )
            if self._exchange(peer.address, update) is not None:
                return

    # Updates from peers.

    def received(self, update: QuarantineNews) -> QuarantineNews:
        """Merge and forward a peer's update.

        :returns: the response, with corrections for outdated entries of the peer; if it asks for
            a comparison and the digests differ, also the entries of this table.
        """
        self._merge(update.entries)
        if update.relay_to > self._node_name:
            peers = [
                peer
                for peer in self._directory.list_peers(update.service)
                if self._node_name < peer.node <= update.relay_to
            ]
            self._send(update.service, update.entries, peers)
        digest = self.table.digest()
        entries = self.table.entries() if update.asks and update.digest != digest else []
        entries = entries + self.table.corrections(update.entries)
        return QuarantineNews(digest=digest, settled=self.anti_entropy.settled, entries=entries)

    def _merge(self, entries: list[QuarantineEntry]) -> None:
        """Merge a peer's entries into the table; log the new ones."""
        new_entries = self.table.merge(entries)
        if new_entries:
            self._log_entries(new_entries, "peer")

    def _log_entries(self, entries: list[QuarantineEntry], source: str) -> None:
        for event, matching in (
            ("requests_cleared", [entry for entry in entries if entry.cleared]),
            ("requests_held", [entry for entry in entries if entry.held_ms and not entry.cleared]),
            (
                "requests_suspected",
                [entry for entry in entries if not entry.held_ms and not entry.cleared],
            ),
        ):
            if matching:
                self._log.warning(
                    event,
                    source=source,
                    count=len(matching),
                    requests=[
                        [entry.identity.hex(), entry.service, entry.held_ms / MILLISECONDS]
                        for entry in matching[:MAX_LOGGED_ENTRIES]
                    ],
                )


def _is_fleet_wide(entry: QuarantineEntry) -> bool:
    """Return whether an entry goes to the sidecars of all services."""
    return bool(entry.held_ms or entry.ends)
