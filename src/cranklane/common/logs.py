"""Structured logging: one JSON line for each state change and each decision.

Lines go to standard output through :mod:`~cranklane.common.line_queue`, or to the sink
that a test or the simulation sets.

The format is that of ``structlog``, which is not used because its import slows the start
of a process.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from cranklane.common.line_queue import LineQueue

LineSink = Callable[[str], None]
"""Receives each formatted line."""


def _discard_line(_line: str) -> None:
    """Discard a line; the sink of a process without logs."""


def _print_line(line: str) -> None:
    print(line, flush=True)


class _Output:
    """The log sink of this process."""

    sink: LineSink = staticmethod(_print_line)


def configure_logs() -> LineQueue:
    """Send log lines to standard output through a queue, and return the queue."""
    sys.stdout.flush()
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    queue = LineQueue(descriptor)
    set_log_sink(queue.put)
    return queue


def set_log_sink(sink: LineSink | None) -> None:
    """Set the log sink of this process; None discards all lines."""
    _Output.sink = staticmethod(sink or _discard_line)


class Logger:
    """Writes events as JSON lines.

    :param fields: fields added to every line.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields

    def info(self, event: str, **fields: Any) -> None:
        """Log a decision or a state change."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log a condition that may need an operator's attention."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log a failure."""
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        sink = _Output.sink
        if sink is _discard_line:
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
    """Return a logger that adds these fields to every line."""
    return Logger(fields)
