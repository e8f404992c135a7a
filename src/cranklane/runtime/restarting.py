"""Tasks that are started again after an unexpected exception.

A task that follows control, publishes updates or keeps a lease must not end silently: the process
would go on without what the task does. Broken invariants still end the process.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.logs import logger
from cranklane.errors import InvariantError

RESTART_PAUSE_SECONDS = 0.5
"""Time from an exception until the task starts again."""


class TaskFailures:
    """Unexpected exceptions of the tasks of this operating system process.

    :ivar count: number of exceptions since the start.
    """

    def __init__(self) -> None:
        self.count = 0


FAILURES = TaskFailures()
"""Counter for the metrics of the process."""


def run_restarting(function: Callable[..., Any], *arguments: Any) -> None:
    """Call a function; call it again after an exception, until it returns.

    :raises InvariantError: when the function raises it.
    """
    while not _has_returned(function, arguments):
        gevent.sleep(RESTART_PAUSE_SECONDS)


def _has_returned(function: Callable[..., Any], arguments: tuple[Any, ...]) -> bool:
    try:
        function(*arguments)
    except InvariantError:
        raise
    except Exception as error:
        report_failure(function, error)
        return False
    return True


def report_failure(function: Callable[..., Any], error: Exception) -> None:
    """Log and count the exception of a task that goes on, with its traceback."""
    FAILURES.count += 1
    task = getattr(function, "__qualname__", repr(function))
    logger(process="tasks").error(
        "task_failed", task=task, error=f"{type(error).__name__}: {error}"
    )
    gevent.get_hub().handle_error(function, *sys.exc_info())
