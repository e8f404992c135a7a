"""Structured logs: one JSON line for each change of state and each decision.

Lines go to standard output through a bounded queue, so that a reader that is
slow or gone never holds up a request: lines are left out and counted instead.
"""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
import structlog

QUEUE_LINES = 4000
"""Lines that wait to be written; the oldest are left out beyond that."""

FLUSH_SECONDS = 0.1
"""Lines gather this long, so that many leave in one write."""

WRITE_BYTES = 64 * 1024


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


class _QueueLogger:
    """What structlog writes finished lines to."""

    def __init__(self, queue: LineQueue) -> None:
        self.debug = self.info = self.warning = self.error = self.critical = queue.put


def configure_logs() -> LineQueue:
    """Write JSON lines to standard output; return the queue that they go through."""
    sys.stdout.flush()
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    queue = LineQueue(descriptor)
    sink = _QueueLogger(queue)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: sink,
        cache_logger_on_first_use=True,
    )
    return queue


def logger(**fields: Any) -> Any:
    """Return a logger with fields bound to it."""
    return structlog.get_logger(**fields)


class RateLimit:
    """Bounds how many lines of a kind are written, and counts those left out.

    :param per_second: lines that are written at most, with a burst of one second.
    :ivar left_out: lines left out since :meth:`take_left_out` was last called.
    """

    def __init__(self, clock: Callable[[], float], per_second: float) -> None:
        self._clock = clock
        self._per_second = per_second
        self._tokens = per_second
        self._filled_at = clock()
        self.left_out = 0

    def allows(self) -> bool:
        """Return whether one more line may be written."""
        now = self._clock()
        earned = (now - self._filled_at) * self._per_second
        self._filled_at = now
        self._tokens = min(self._per_second, self._tokens + earned)
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out, and count from zero again."""
        left_out, self.left_out = self.left_out, 0
        return left_out
