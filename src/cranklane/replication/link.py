"""Client connection from one replica to another, with one request at a time.

Owns the connection. The caller decides whether and when to retry a request without a reply.
"""

from __future__ import annotations

from typing import TypeVar

from gevent.lock import Semaphore

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Message, ReplicaHello
from cranklane.runtime.interface import Runtime, parse_address

CONNECT_TIMEOUT_SECONDS = 1.0
"""Connect timeout, limited by the timeout of the request."""

_Reply = TypeVar("_Reply")


class ReplicaLink:
    """Connection to the replica at an address, reopened after each failure.

    A timeout closes the connection, so that a late reply cannot be mistaken for the
    reply to a later request.

    :ivar peer_identity: identity of the replica that answered last, 0 for none.
    """

    def __init__(self, runtime: Runtime, address: str, local_hello: ReplicaHello) -> None:
        self._runtime = runtime
        self._address = parse_address(address)
        self._local_hello = local_hello
        self._records: RecordConnection | None = None
        self._call_lock = Semaphore()
        self.peer_identity = 0

    def call(self, request: Message, kind: type[_Reply], timeout: float) -> _Reply | None:
        """Send a request and return the reply, or None on a failure or timeout.

        Requests between replicas may be sent twice: a request that fails within half its timeout
        on a reused connection, which the peer may have closed, is sent again.

        :param kind: type of the reply.
        :param timeout: in seconds.
        """
        with self._call_lock:
            started = self._runtime.monotonic()
            was_open = self._records is not None
            reply = self._call_once(request, kind, timeout)
            waited = self._runtime.monotonic() - started
            if reply is None and was_open and waited < timeout / 2:
                reply = self._call_once(request, kind, timeout - waited)
            return reply

    def probe_identity(self, timeout: float) -> int:
        """Return the peer's identity from a new connection, 0 when the peer does not answer.

        :param timeout: in seconds.
        """
        with self._call_lock:
            self._disconnect()
            try:
                self._connected(timeout)
            except (OSError, ConnectionLostError, MalformedRecordError):
                # The caller treats an unreachable peer as unknown and may probe again.
                self._disconnect()
                return 0
            return self.peer_identity

    def _call_once(self, request: Message, kind: type[_Reply], timeout: float) -> _Reply | None:
        try:
            records = self._connected(timeout)
            records.send(request)
            return records.expect(kind)
        except (OSError, ConnectionLostError, MalformedRecordError):
            # The caller retries; the leader detects replicas that stay silent.
            self._disconnect()
            return None

    def _connected(self, timeout: float) -> RecordConnection:
        if self._records is None:
            connection = self._runtime.connect(self._address, min(CONNECT_TIMEOUT_SECONDS, timeout))
            self._records = RecordConnection(connection, timeout)
            self._records.send(self._local_hello)
            hello = self._records.expect(ReplicaHello)
            if hello.group != self._local_hello.group:
                raise MalformedRecordError(
                    f"found group {hello.group}; expected {self._local_hello.group}"
                )
            self.peer_identity = hello.identity
        self._records.set_idle_timeout(timeout)
        return self._records

    def _disconnect(self) -> None:
        if self._records is not None:
            self._records.close()
            self._records = None

    def close(self) -> None:
        """Close the connection; a call in progress returns None."""
        self._disconnect()
