"""Connections to the worker beside a sidecar, kept for reuse."""

from __future__ import annotations

from collections import deque
from typing import Any

from cranklane.common.http1.message import AnswerHead
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime

CONNECT_SECONDS = 1.0
MAX_HEAD_BYTES = 64 * 1024

IDLE_SECONDS = 4.0
"""A kept connection at rest for longer is not used again: the worker may be
closing it at that very moment."""

UNSEEN_SECONDS = 0.3
"""A connection used within this time is taken again without a look at it."""

KEEP_ALIVE_MARGIN_SECONDS = 1.5
"""A worker's ``Keep-Alive`` time, which is in whole seconds, is shortened by this."""


class WorkerConnection:
    """One connection to the worker and the reader of its answers."""

    __slots__ = ("stream", "reader", "rested_at", "idle_seconds")

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.reader = AnswerReader(stream, MAX_HEAD_BYTES)
        self.rested_at = 0.0
        self.idle_seconds = IDLE_SECONDS

    def take_keep_alive(self, head: AnswerHead) -> None:
        """Take how long the worker says that it keeps the connection."""
        value = head.value(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                told = int(seconds) - KEEP_ALIVE_MARGIN_SECONDS
                self.idle_seconds = max(0.0, min(IDLE_SECONDS, told))

    def close(self) -> None:
        """Close it."""
        self.stream.close()


class WorkerPool:
    """Idle connections to one address, the one used last taken first."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self._runtime = runtime
        self._idle: deque[WorkerConnection] = deque()
        self._address = address
        self.opened = 0

    def take(self, careful: bool) -> WorkerConnection:
        """Return a connection on which nothing is under way.

        :param careful: whether to look first that the worker has not closed it,
            as for a request that may not be sent again.
        :raises OSError: when the worker takes no connection.
        """
        now = self._runtime.monotonic()
        while self._idle:
            kept = self._idle.pop()
            rested = now - kept.rested_at
            if rested < kept.idle_seconds:
                look = careful or rested > UNSEEN_SECONDS
                if not (look and self._runtime.has_input(kept.stream)):
                    return kept
            kept.close()
        self.opened += 1
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
