"""Non-blocking line output through a bounded queue.

A slow or absent reader never delays a request: lines are dropped and counted instead.
"""

from __future__ import annotations

import os
from collections import deque

import gevent

QUEUE_LINES = 4000
"""Maximum number of queued lines; the oldest are dropped beyond it."""

FLUSH_DELAY_SECONDS = 0.5
"""Delay before a write; batches lines, as each wake-up costs more than many lines."""

WRITE_BYTES = 64 * 1024
"""Size at which a batch of lines is written; the capacity of a pipe."""


class LineQueue:
    """Queues lines for a non-blocking file descriptor.

    :ivar left_out: number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._partial = b""
        self._flushing = False
        self.left_out = 0

    def put(self, line: str) -> None:
        """Add a line, dropping the oldest one if the queue is full."""
        if len(self._lines) >= QUEUE_LINES:
            self._lines.popleft()
            self.left_out += 1
        self._lines.append(line)
        if not self._flushing:
            self._flushing = True
            gevent.spawn(self._flush)

    def _flush(self) -> None:
        while self._lines or self._partial:
            gevent.sleep(FLUSH_DELAY_SECONDS)
            self.write_now()
        self._flushing = False

    def write_now(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        while self._lines or self._partial:
            if not self._partial:
                self._partial = self._next_block()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: the queued lines cannot be delivered.
                self._partial = b""
                self._lines.clear()
                return
            self._partial = self._partial[written:]

    def _next_block(self) -> bytes:
        block: list[str] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            block.append(line)
            size += len(line)
        return ("\n".join(block) + "\n").encode(errors="backslashreplace")
