"""Pool of connections to destination nodes."""

from __future__ import annotations

from collections.abc import Callable

from gevent.lock import Semaphore

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.node.members import MemberView
from cranklane.node.peer_connection import PeerConnection
from cranklane.records.messages import Hello, LoadReport
from cranklane.runtime.interface import Runtime

CONNECT_TIMEOUT_SECONDS = 0.5
"""Seconds to connect to a destination; several round trips between regions."""


class PeerPool:
    """One connection for each destination node, opened on first use.

    :param hello: returns this node's Hello record.
    :param version: returns this node's active configuration version.
    :param on_newer_version: called when a member reports a newer configuration version.
    """

    def __init__(
        self,
        runtime: Runtime,
        hello: Callable[[], Hello],
        version: Callable[[], int],
        on_newer_version: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._hello = hello
        self._version = version
        self._on_newer_version = on_newer_version
        self._connections: dict[tuple[str, int], PeerConnection] = {}
        self._connect_locks: dict[tuple[str, int], Semaphore] = {}

    def connection(self, member: MemberView, timeout: float) -> PeerConnection:
        """Return the connection to a member; open one if there is none.

        :param timeout: seconds until the call's deadline.
        :raises ConnectionLostError: when the connection fails.
        """
        key = (member.node, member.incarnation)
        connection = self._connections.get(key)
        if connection is not None and connection.usable:
            return connection
        with self._connect_locks.setdefault(key, Semaphore()):
            connection = self._connections.get(key)
            if connection is None or not connection.usable:
                connection = self._dial(member, min(CONNECT_TIMEOUT_SECONDS, timeout))
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
            raise ConnectionLostError(
                "another incarnation of the node answered at the member's address"
            )
        self._check_version(connection.peer.version)
        return connection

    def _check_version(self, version: int) -> None:
        if version > self._version():
            self._on_newer_version()

    def forget(self, member: MemberView) -> None:
        """Close the connection to a removed member."""
        key = (member.node, member.incarnation)
        self._connect_locks.pop(key, None)
        connection = self._connections.pop(key, None)
        if connection is not None:
            connection.close()
