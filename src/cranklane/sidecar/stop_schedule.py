"""The schedule of a planned stop: time for callers to notice it and for requests to finish."""

from __future__ import annotations

from typing import NamedTuple

from cranklane.common.planned_stop import end_of_stop

MAX_WITHDRAWAL_SECONDS = 2.2
"""Time for callers to notice a stop: they may have to detect a lost controller (1.6 s) and receive
an update from another one (0.5 s)."""

MAX_WITHDRAWAL_FRACTION = 0.5
"""Upper limit on the withdrawal time as a fraction of the stop."""

MAX_ACCEPTING_FRACTION = 0.5
"""Fraction of the stop after which clients' requests are refused, to leave time for those in
flight. If most machines of a zone stop at once, clients have no other machines to send to."""


MAX_ESTIMATE_SECONDS = 3.0
"""Upper limit on the first part of a stop, in which a request of a route whose run time is unknown
may begin by an estimate. One that begins later, and takes longer, is cut at the end."""


class StopTimes(NamedTuple):
    """The schedule of a planned stop.

    :ivar withdrawal_seconds: time for callers to notice the stop.
    :ivar estimates_until: monotonic second from which a request of unknown duration may begin
        only if its deadline lies within the stop.
    :ivar accepts_until: monotonic second from which clients' requests are refused.
    :ivar ends_at: monotonic second after which requests in flight are aborted.
    """

    withdrawal_seconds: float
    estimates_until: float
    accepts_until: float
    ends_at: float


def stop_times(signalled_at: float, stop_seconds: float) -> StopTimes:
    """Return the schedule of a stop.

    :param signalled_at: monotonic second of the signal.
    :param stop_seconds: time from the signal until the process is killed.

    >>> stop_times(100.0, 6.0)
    StopTimes(withdrawal_seconds=2.2, estimates_until=103.0, accepts_until=103.0, ends_at=105.7)
    """
    accepting_seconds = stop_seconds * MAX_ACCEPTING_FRACTION
    return StopTimes(
        withdrawal_seconds=min(MAX_WITHDRAWAL_SECONDS, stop_seconds * MAX_WITHDRAWAL_FRACTION),
        estimates_until=signalled_at + min(MAX_ESTIMATE_SECONDS, accepting_seconds),
        accepts_until=signalled_at + accepting_seconds,
        ends_at=end_of_stop(signalled_at, stop_seconds),
    )
