"""Writes lines to a file descriptor without ever waiting for it.

Owns the lines that wait: a bounded queue, so that a reader that is slow or gone never delays
a request; lines are left out and counted instead.
"""

from __future__ import annotations

import os
from collections import deque

import gevent

QUEUE_LINES = 4000
"""Lines that wait to be written; beyond that the oldest are left out. A choice: some megabytes
at most, and several seconds of a busy process."""

FLUSH_SECONDS = 0.5
"""Lines gather this long, so that many leave in one write: a wake-up of a process among
hundreds costs far more than the lines."""

WRITE_BYTES = 64 * 1024
"""Bytes of one write at least, when so many wait. A choice: what a pipe takes at once."""


class LineQueue:
    """Lines on their way to a file descriptor that may take none.

    :ivar left_out: lines that were never written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._partial = b""
        self._flushing = False
        self.left_out = 0

    def put(self, line: str) -> None:
        """Add a line; the oldest goes when the queue is full."""
        if len(self._lines) >= QUEUE_LINES:
            self._lines.popleft()
            self.left_out += 1
        self._lines.append(line)
        if not self._flushing:
            self._flushing = True
            gevent.spawn(self._flush)

    def _flush(self) -> None:
        while self._lines or self._partial:
            gevent.sleep(FLUSH_SECONDS)
            self.write_now()
        self._flushing = False

    def write_now(self) -> None:
        """Write what the descriptor takes without waiting."""
        while self._lines or self._partial:
            if not self._partial:
                self._partial = self._next_block()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines are of no use to anybody.
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
        return ("\n".join(block) + "\n").encode()
