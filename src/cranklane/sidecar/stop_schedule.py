"""The schedule of a planned stop: time for callers to notice it and for requests to finish."""

from __future__ import annotations

from typing import NamedTuple

MAX_WITHDRAWAL_SECONDS = 2.2
"""Time for callers to notice a stop: they may have to detect a lost controller (1.6 s) and receive
an update from another one (0.5 s)."""

MAX_WITHDRAWAL_FRACTION = 0.5
"""Upper limit on the withdrawal time as a fraction of the stop."""

MAX_ACCEPTING_FRACTION = 0.5
"""Fraction of the stop after which clients' requests are refused, to leave time for those in
flight. If most machines of a zone stop at once, clients have no other machines to send to."""

CLOSE_MARGIN_SECONDS = 0.1
"""Seconds of the configured stop time reserved for closing and for the last log lines."""


class StopTimes(NamedTuple):
    """The schedule of a planned stop.

    :ivar withdrawal_seconds: time for callers to notice the stop.
    :ivar accepts_until: monotonic second from which clients' requests are refused.
    :ivar ends_at: monotonic second after which requests in flight are aborted.
    """

    withdrawal_seconds: float
    accepts_until: float
    ends_at: float


def stop_times(began_at: float, stop_seconds: float) -> StopTimes:
    """Return the schedule of a stop.

    :param began_at: monotonic second at which the stop began.
    :param stop_seconds: configured duration of the whole stop.

    >>> stop_times(100.0, 6.0)
    StopTimes(withdrawal_seconds=2.2, accepts_until=103.0, ends_at=105.9)
    """
    return StopTimes(
        withdrawal_seconds=min(MAX_WITHDRAWAL_SECONDS, stop_seconds * MAX_WITHDRAWAL_FRACTION),
        accepts_until=began_at + stop_seconds * MAX_ACCEPTING_FRACTION,
        ends_at=began_at + stop_seconds - CLOSE_MARGIN_SECONDS,
    )
