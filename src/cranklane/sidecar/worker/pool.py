"""Pool of idle connections to the worker.

Limits how long a connection may be idle, because a request sent while the worker closes the
connection would be lost.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from cranklane.common.http1.message import AnswerHead
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime

CONNECT_TIMEOUT_SECONDS = 1.0
"""Connect timeout; reached only if the worker's accept queue is full."""

MAX_HEAD_BYTES = 64 * 1024
"""Limit on the size of an answer's head; bounds memory."""

MAX_IDLE_SECONDS = 4.0
"""Idle time after which a connection is not reused; below the common server timeout of 5 s."""

UNCHECKED_SECONDS = 0.3
"""Idle time up to which a connection is reused without a system call to check for its closing."""

KEEP_ALIVE_MARGIN_SECONDS = 1.5
"""Seconds subtracted from the worker's ``Keep-Alive`` timeout, for rounding to whole seconds and
for the transmission of a request."""


class WorkerConnection:
    """A connection to the worker and the reader of its answers.

    :ivar idle_since: monotonic second at which the last answer had been read.
    :ivar max_idle_seconds: idle time up to which the connection may be reused.
    """

    __slots__ = ("stream", "reader", "idle_since", "max_idle_seconds")

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.reader = AnswerReader(stream, MAX_HEAD_BYTES)
        self.idle_since = 0.0
        self.max_idle_seconds = MAX_IDLE_SECONDS

    def apply_keep_alive(self, head: AnswerHead) -> None:
        """Apply the ``Keep-Alive`` timeout of an answer, if it states one."""
        value = head.value(b"keep-alive")
        if value is None:
            return
        for parameter in value.split(b","):
            name, _, seconds = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                timeout_seconds = int(seconds) - KEEP_ALIVE_MARGIN_SECONDS
                self.max_idle_seconds = max(0.0, min(MAX_IDLE_SECONDS, timeout_seconds))

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


class WorkerPool:
    """Idle connections to one address; the most recently used one is reused first."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self._runtime = runtime
        self._idle: deque[WorkerConnection] = deque()
        self._address = address

    def take(self, always_check: bool) -> WorkerConnection:
        """Return an idle connection, or open one.

        :param always_check: whether to check even a recently used connection for closing, as
            for a request that is not idempotent.
        :raises OSError: when a new connection cannot be opened.
        """
        now = self._runtime.monotonic()
        while self._idle:
            idle_connection = self._idle.pop()
            idle_for = now - idle_connection.idle_since
            if idle_for < idle_connection.max_idle_seconds:
                check_closed = always_check or idle_for > UNCHECKED_SECONDS
                if not (check_closed and self._runtime.has_input(idle_connection.stream)):
                    return idle_connection
            idle_connection.close()
        return WorkerConnection(self._runtime.connect(self._address, CONNECT_TIMEOUT_SECONDS))

    def give_back(self, connection: WorkerConnection) -> None:
        """Return a connection to the pool after its answer was read completely."""
        now = self._runtime.monotonic()
        connection.idle_since = now
        self._idle.append(connection)
        oldest = self._idle[0]
        if now - oldest.idle_since > oldest.max_idle_seconds:
            self._idle.popleft()
            oldest.close()

    def close_idle(self) -> None:
        """Close every idle connection, as after a change of the worker's instance."""
        while self._idle:
            self._idle.pop().close()
