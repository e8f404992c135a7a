"""Structured logs: one JSON line for each change of state and each decision.

Lines go to standard output through a bounded queue, so that a reader that is
slow or gone never holds up a request: lines are left out and counted instead.

The lines have the form that ``structlog`` gives them. The library itself is not used:
its import was a quarter of the processor time of a sidecar's start.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

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


LineSink = Callable[[str], None]
"""Takes one finished line."""


def _nowhere(_line: str) -> None:
    """Take a line of a process that writes no logs."""


def _print_line(line: str) -> None:
    print(line, flush=True)


class _Output:
    """Where the lines of this process go."""

    sink: LineSink = staticmethod(_print_line)


def configure_logs() -> LineQueue:
    """Write lines to standard output through a queue, and return it."""
    sys.stdout.flush()
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    queue = LineQueue(descriptor)
    write_lines_to(queue.put)
    return queue


def write_lines_to(sink: LineSink | None) -> None:
    """Give every line of this process to a function; None: to none."""
    _Output.sink = staticmethod(sink or _nowhere)


class Logger:
    """Writes events with fields that stand in each of them.

    :param fields: those fields.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields

    def info(self, event: str, **fields: Any) -> None:
        """Write what was decided or has changed."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write what an operator may want to know of."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write what is broken."""
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        sink = _Output.sink
        if sink is _nowhere:
            return
        now = datetime.fromtimestamp(time.time(), UTC)
        line = {
            **self._fields,
            **fields,
            "event": event,
            "level": level,
            "timestamp": now.isoformat().replace("+00:00", "Z"),
        }
        sink(json.dumps(line, default=repr))


def logger(**fields: Any) -> Logger:
    """Return a logger whose lines all have these fields."""
    return Logger(fields)


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
