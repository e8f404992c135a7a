"""The times of a planned stop: how long callers get to leave, and requests to finish."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import gevent

from cranklane.runtime.interface import Runtime

WITHDRAWAL_SECONDS = 2.2
"""Seconds that callers may need to notice a stop. A choice: longer than it takes a caller to give
up a controller that was lost (1.6 s) and to hear from another one (0.5 s)."""

MAX_WITHDRAWAL_FRACTION = 0.5
"""Fraction of the whole stop that withdrawal may take. A choice: requests need the rest."""

MAX_ACCEPTING_FRACTION = 0.5
"""Fraction of the whole stop after which clients' requests are refused. Where most machines of a
zone stop at once, clients have nowhere else to go and send until the end: without the refusal,
9 of 55 requests of 0.9 s were cut by the end of a stop of 6 s (simulation). A choice: the other
half is for the requests under way."""

MARGIN_SECONDS = 0.5
"""Seconds kept in reserve of the time that settings allow for a stop, for closing and for the
last log lines. A choice."""

IDLE_CHECK_SECONDS = 0.05
"""Seconds between checks whether all requests have ended. A choice: short against the stop."""


class StopTimes(NamedTuple):
    """The times of one planned stop.

    :ivar withdrawal_seconds: how long callers have to notice the stop.
    :ivar accepts_until: monotonic second from which clients' requests are refused.
    :ivar ends_at: monotonic second after which requests under way are cut.
    """

    withdrawal_seconds: float
    accepts_until: float
    ends_at: float


def stop_times(began_at: float, stop_seconds: float) -> StopTimes:
    """Return the times of a stop.

    :param began_at: monotonic second at which it began.
    :param stop_seconds: seconds that the whole stop may take.

    >>> stop_times(100.0, 6.0)
    StopTimes(withdrawal_seconds=2.2, accepts_until=103.0, ends_at=105.5)
    """
    return StopTimes(
        withdrawal_seconds=min(WITHDRAWAL_SECONDS, stop_seconds * MAX_WITHDRAWAL_FRACTION),
        accepts_until=began_at + stop_seconds * MAX_ACCEPTING_FRACTION,
        ends_at=began_at + stop_seconds - MARGIN_SECONDS,
    )


def wait_until_idle(runtime: Runtime, is_busy: Callable[[], bool], ends_at: float) -> None:
    """Wait until no request is under way, or until a monotonic second."""
    while is_busy() and runtime.monotonic() < ends_at:
        gevent.sleep(IDLE_CHECK_SECONDS)
