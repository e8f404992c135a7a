"""The port that a replica shares with what it serves to nodes.

Owns the choice by a connection's first record; the connection then belongs to the service that
serves it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, ReplicaHello
from cranklane.replication.peer_service import PeerService
from cranklane.runtime.interface import Address


class ReplicaPort:
    """Serves each connection by what its first record says.

    :param peers: serves other replicas.
    :param hello: returns the greeting for all others.
    :param serve: serves one of the others after the greetings.
    :param silent_after: seconds without a byte after which a peer counts as lost.
    """

    def __init__(
        self,
        peers: PeerService,
        hello: Callable[[], Hello],
        serve: Callable[[RecordConnection], None],
        silent_after: float,
    ) -> None:
        self._peers = peers
        self._hello = hello
        self._serve = serve
        self._silent_after = silent_after

    def accept(self, connection: Any, _address: Address) -> None:
        """Serve a connection until it ends."""
        records = RecordConnection(connection, self._silent_after)
        try:
            _, first = records.receive()
            if isinstance(first, ReplicaHello):
                self._peers.serve(records, first)
                return
            if not isinstance(first, Hello):
                raise MalformedRecordError(f"{type(first).__name__} as the first record")
            records.welcome(first, self._hello())
            self._serve(records)
        except (ConnectionLostError, MalformedRecordError):
            # The peer opens another connection.
            records.close()
