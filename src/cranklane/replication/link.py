"""Requests from one replica to another, one at a time on one connection.

Owns that connection. A request has a reply or none in time; the caller decides when to retry.
"""

from __future__ import annotations

from typing import TypeVar

from gevent.lock import Semaphore

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Message, ReplicaHello
from cranklane.runtime.interface import Runtime, parse_address

CONNECT_SECONDS = 1.0
"""Longest wait for a connection, if the request allows as much. A choice."""

_Reply = TypeVar("_Reply")


class ReplicaLink:
    """A connection to one replica, opened again after each failure.

    A reply that does not come in time ends the connection, so that it can never
    be taken for the reply to a later request.

    :ivar peer: the identity that answered last; 0 when none has.
    """

    def __init__(self, runtime: Runtime, address: str, own: ReplicaHello) -> None:
        self._runtime = runtime
        self._address = parse_address(address)
        self._own = own
        self._records: RecordConnection | None = None
        self._busy = Semaphore()
        self.peer = 0

    def call(self, request: Message, kind: type[_Reply], timeout: float) -> _Reply | None:
        """Return the reply, or None when there is none in time.

        :param kind: type of the reply.
        :param timeout: in seconds.

        Requests between replicas may be sent twice. One that fails at once on a
        kept connection, which the far end has closed meanwhile, goes out again.
        """
        with self._busy:
            started = self._runtime.monotonic()
            kept = self._records is not None
            reply = self._try(request, kind, timeout)
            waited = self._runtime.monotonic() - started
            if reply is None and kept and waited < timeout / 2:
                reply = self._try(request, kind, timeout - waited)
            return reply

    def identity_now(self, timeout: float) -> int:
        """Return who answers on a connection opened now; 0 when nobody does."""
        with self._busy:
            self._drop()
            try:
                self._connected(timeout)
            except (OSError, ConnectionLostError, MalformedRecordError):
                # Nobody answers; who asks looks again.
                self._drop()
                return 0
            return self.peer

    def _try(self, request: Message, kind: type[_Reply], timeout: float) -> _Reply | None:
        try:
            records = self._connected(timeout)
            records.send(request)
            return records.expect(kind)
        except (OSError, ConnectionLostError, MalformedRecordError):
            # No reply; the leader's silence checks count these, and the caller retries.
            self._drop()
            return None

    def _connected(self, timeout: float) -> RecordConnection:
        if self._records is None:
            connection = self._runtime.connect(self._address, min(CONNECT_SECONDS, timeout))
            self._records = RecordConnection(connection, timeout)
            self._records.send(self._own)
            hello = self._records.expect(ReplicaHello)
            if hello.group != self._own.group:
                raise MalformedRecordError(f"group {hello.group}, not {self._own.group}")
            self.peer = hello.identity
        self._records.set_silent_after(timeout)
        return self._records

    def _drop(self) -> None:
        if self._records is not None:
            self._records.close()
            self._records = None

    def close(self) -> None:
        """Close the connection; a waiting call ends without a reply."""
        self._drop()
