"""Structured logs: one JSON line for each change of state and each decision.

Owns where the lines of this process go: standard output, through
:mod:`~cranklane.common.line_queue`, unless a test or the simulation takes them.

The lines have the form that ``structlog`` gives them. The library itself is not used:
its import was a quarter of the processor time of a sidecar's start.
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
