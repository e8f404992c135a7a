"""Connections to the worker beside a sidecar, kept for reuse.

Decides when a kept connection may be used again: one that the worker is just closing would lose
the request that is sent on it.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from cranklane.common.http1.message import AnswerHead
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime

CONNECT_SECONDS = 1.0
"""Seconds for a connection to the worker. A choice: on one machine it takes less, unless the
worker's queue of connections is full."""

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of an answer's head. A choice: it bounds memory; real heads are far smaller."""

MAX_IDLE_SECONDS = 4.0
"""Seconds after which an idle connection is not used again: the worker may be closing it at that
moment. A choice: below the 5 s after which many servers close one."""

UNCHECKED_SECONDS = 0.3
"""Seconds in which a connection is used again without a look at whether it was closed. Together
with fewer system calls for sockets it lowered the processor time of both sidecars from 0.35 to
0.30 ms a request (one run each)."""

KEEP_ALIVE_MARGIN_SECONDS = 1.5
"""Seconds by which a worker's ``Keep-Alive`` time is shortened. A choice: it is in whole seconds,
so up to one may be rounding, and the rest is for the way of a request."""


class WorkerConnection:
    """One connection to the worker and the reader of its answers.

    :ivar rested_at: monotonic second at which its last answer had been read.
    :ivar idle_seconds: how long it may rest and be used again.
    """

    __slots__ = ("stream", "reader", "rested_at", "idle_seconds")

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.reader = AnswerReader(stream, MAX_HEAD_BYTES)
        self.rested_at = 0.0
        self.idle_seconds = MAX_IDLE_SECONDS

    def take_keep_alive(self, head: AnswerHead) -> None:
        """Apply the worker's ``Keep-Alive`` time, if it states one."""
        value = head.value(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                kept_seconds = int(seconds) - KEEP_ALIVE_MARGIN_SECONDS
                self.idle_seconds = max(0.0, min(MAX_IDLE_SECONDS, kept_seconds))

    def close(self) -> None:
        """Close it."""
        self.stream.close()


class WorkerPool:
    """Idle connections to one address; the one used last is taken first."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self._runtime = runtime
        self._idle: deque[WorkerConnection] = deque()
        self._address = address

    def take(self, careful: bool) -> WorkerConnection:
        """Return a connection on which nothing is under way.

        :param careful: whether to look first that the worker has not closed it,
            as for a request that is not idempotent.
        :raises OSError: when the worker takes no connection.
        """
        now = self._runtime.monotonic()
        while self._idle:
            kept = self._idle.pop()
            rested = now - kept.rested_at
            if rested < kept.idle_seconds:
                look = careful or rested > UNCHECKED_SECONDS
                if not (look and self._runtime.has_input(kept.stream)):
                    return kept
            kept.close()
        return WorkerConnection(self._runtime.connect(self._address, CONNECT_SECONDS))

    def give_back(self, connection: WorkerConnection) -> None:
        """Keep a connection whose answer has been read to its end."""
        now = self._runtime.monotonic()
        connection.rested_at = now
        self._idle.append(connection)
        oldest = self._idle[0]
        if now - oldest.rested_at > oldest.idle_seconds:
            self._idle.popleft()
            oldest.close()

    def close_idle(self) -> None:
        """Close every idle connection, as when the worker is another one now."""
        while self._idle:
            self._idle.pop().close()
