"""Connections to destination nodes, opened when first needed.

Owns them; :mod:`~cranklane.node.peer_connection` is one of them.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent.lock import Semaphore

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.node.members import MemberView
from cranklane.node.peer_connection import PeerConnection
from cranklane.records.messages import Hello, LoadReport
from cranklane.runtime.interface import Runtime

CONNECT_SECONDS = 0.5
"""Seconds a destination has to take a connection. A choice: several round trips between
regions; a dead machine delays a call no longer."""


class PeerPool:
    """One connection to each destination node.

    :param hello: returns this node's greeting.
    :param version: returns the configuration version in force here.
    :param on_newer: called when a member shows a newer version.
    """

    def __init__(
        self,
        runtime: Runtime,
        hello: Callable[[], Hello],
        version: Callable[[], int],
        on_newer: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._hello = hello
        self._version = version
        self._on_newer = on_newer
        self._connections: dict[tuple[str, int], PeerConnection] = {}
        self._dialling: dict[tuple[str, int], Semaphore] = {}

    def connection(self, member: MemberView, timeout: float) -> PeerConnection:
        """Return the connection to a member, dialling when there is none.

        :param timeout: seconds left for the call.
        :raises ConnectionLostError: when the member cannot be reached.
        """
        key = (member.node, member.incarnation)
        connection = self._connections.get(key)
        if connection is not None and connection.usable:
            return connection
        with self._dialling.setdefault(key, Semaphore()):
            connection = self._connections.get(key)
            if connection is None or not connection.usable:
                connection = self._dial(member, min(CONNECT_SECONDS, timeout))
                self._connections[key] = connection
        return connection

    def _dial(self, member: MemberView, timeout: float) -> PeerConnection:
        def on_load(report: LoadReport) -> None:
            member.reported_load(report, report.queued)
            self._check_version(report.version)

        try:
            connection = PeerConnection(
                self._runtime, member.address, self._hello(), timeout, on_load, self._version
            )
        except (OSError, MalformedRecordError) as error:
            raise ConnectionLostError(str(error)) from error
        if connection.peer.incarnation != member.incarnation:
            connection.close()
            raise ConnectionLostError("another incarnation answers at the member's address")
        self._check_version(connection.peer.version)
        return connection

    def _check_version(self, version: int) -> None:
        if version > self._version():
            self._on_newer()

    def forget(self, member: MemberView) -> None:
        """Drop the connection of a member that is gone."""
        key = (member.node, member.incarnation)
        self._dialling.pop(key, None)
        connection = self._connections.pop(key, None)
        if connection is not None:
            connection.close()
