"""Exit statuses of the cases."""

from __future__ import annotations

import signal
import sys
import traceback
from collections.abc import Callable

from http_messages import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def status_of(case: Callable[[], int], record: Record) -> int:
    """Run a case; an error of the case itself says nothing about the rule."""
    # Ends the processes that the case has started, also when the case itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        return case()
    except Exception as error:  # noqa: BLE001
        record(f"the case could not run: {type(error).__name__}: {error}")
        traceback.print_exc()
        return COULD_NOT_RUN
