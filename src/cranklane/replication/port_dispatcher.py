"""Dispatch of connections on the port that replicas and nodes share.

The first record of a connection selects the service, which then owns the connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, ReplicaHello
from cranklane.replication.peer_service import PeerService
from cranklane.runtime.interface import Address


class PortDispatcher:
    """Dispatches each accepted connection by its first record.

    :param peers: serves connections of other replicas.
    :param hello: returns the Hello record for other clients.
    :param serve: serves another client's connection after the handshake.
    :param idle_timeout: seconds without received bytes after which a connection is lost.
    """

    def __init__(
        self,
        peers: PeerService,
        hello: Callable[[], Hello],
        serve: Callable[[RecordConnection], None],
        idle_timeout: float,
    ) -> None:
        self._peers = peers
        self._hello = hello
        self._serve = serve
        self._idle_timeout = idle_timeout

    def accept(self, connection: Any, _address: Address) -> None:
        """Serve an accepted connection until it closes."""
        records = RecordConnection(connection, self._idle_timeout)
        try:
            _, first = records.receive()
            if isinstance(first, ReplicaHello):
                self._peers.serve(records, first)
                return
            if not isinstance(first, Hello):
                raise MalformedRecordError(
                    f"found {type(first).__name__} as first record; expected ReplicaHello or Hello"
                )
            records.accept_handshake(first, self._hello())
            self._serve(records)
        except (ConnectionLostError, MalformedRecordError):
            # The peer reconnects.
            records.close()
