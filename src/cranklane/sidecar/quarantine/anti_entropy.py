"""Synchronizes the quarantine tables of sidecars, to repair updates missed by gossip.

A sidecar synchronizes with a peer after its start, after a restart of its worker, on reconnecting
to control, and periodically while any request is quarantined. Equal table digests mean that both
sidecars quarantine the same requests.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from cranklane.records.messages import QuarantineEntry, QuarantineNews
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.quarantine.sidecar_directory import PeerSidecar, SidecarDirectory
from cranklane.sidecar.quarantine.table import Quarantine

COMPARE_INTERVAL_SECONDS = 2.0
"""Interval of periodic synchronization, and the typical delay after a network partition heals."""

MAX_PEERS_PER_ROUND = 3
"""Peers queried in one round, until one responds. Of three peers, at least one is usually neither
suspended nor cut off."""

HEDGE_DELAY_SECONDS = 0.1
"""Time without a response after which the next peer is queried in parallel."""

CATCH_UP_BACKOFF_SECONDS = 0.1
"""Linear backoff step between catch-up rounds."""

CATCH_UP_ROUNDS = 8
"""Catch-up rounds before giving up, about 4 s in total. Long enough for sidecars that restart
together to reach a peer with a complete table."""

Exchange = Callable[[Address, QuarantineNews], QuarantineNews | None]
"""Sends a record to a sidecar and returns its response; None if there is none."""


class AntiEntropy:
    """Exchanges quarantine entries and clearings with peers until the tables agree.

    :param exchange: sends a record to a peer.
    :param merge: merges entries reported by a peer.
    :ivar settled: whether this sidecar has finished its first catch-up since its start.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: SidecarDirectory,
        table: Quarantine,
        exchange: Exchange,
        merge: Callable[[list[QuarantineEntry]], None],
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._table = table
        self._exchange = exchange
        self._merge = merge
        self._catching_up = False
        self.settled = False

    def run(self) -> None:
        """Synchronize periodically while any request is quarantined; never returns."""
        while True:
            self._table.has_entries.wait()
            gevent.sleep(COMPARE_INTERVAL_SECONDS)
            self._table.drop_expired()
            if self._table.quarantined():
                self._sync_with_peers()

    def catch_up(self) -> None:
        """Synchronize with peers until a settled one has responded.

        A peer that is not settled may itself have an empty table. If all peers have just started,
        the rounds run out and this sidecar counts as settled.
        """
        if self._catching_up:
            return
        self._catching_up = True
        rounds = 0
        while rounds < CATCH_UP_ROUNDS:
            if self._directory.list_peers():
                rounds += 1
                if self._sync_with_peers():
                    break
            gevent.sleep(CATCH_UP_BACKOFF_SECONDS * (1 + rounds))
        self.settled = True
        self._catching_up = False

    def _sync_with_peers(self) -> bool:
        """Synchronize with random peers; return whether a settled one responded.

        Present peers come first. Queries the next peer after the hedge delay without a response.
        """
        peers = self._directory.list_peers()
        self._runtime.random.shuffle(peers)
        peers.sort(key=lambda peer: peer.absent_since is not None)
        tasks = []
        for peer in peers[:MAX_PEERS_PER_ROUND]:
            tasks.append(self._runtime.spawn(self._sync_with, peer))
            if any(
                task.value for task in gevent.wait(tasks, HEDGE_DELAY_SECONDS, count=len(tasks))
            ):
                return True
        return any(task.value for task in gevent.wait(tasks))

    def _sync_with(self, peer: PeerSidecar) -> bool:
        """Exchange entries with a peer; return whether it responded and is settled."""
        query = QuarantineNews(digest=self._table.digest(), asks=True)
        query_response = self._exchange(peer.address, query)
        if query_response is None:
            return False
        self._merge(query_response.entries)
        if self._table.digest() != query_response.digest:
            entries = self._table.entries() + self._table.corrections(query_response.entries)
            update = QuarantineNews(digest=self._table.digest(), entries=entries)
            update_response = self._exchange(peer.address, update)
            self._merge(update_response.entries if update_response is not None else [])
        return query_response.settled
