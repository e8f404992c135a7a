"""Relative run times of the workers that a sidecar calls, from the replies of their sidecars."""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.capacity.advertisement import Advertisement
from cranklane.sidecar.capacity.pace import Pace, PeriodLength, factor_of, usual_seconds_at
from cranklane.sidecar.worker.load_header import USUAL_RUN_TIME_PERCENT

MAX_SERVICES = 1024
"""Services with a learned length of slow periods; beyond it all are cleared. Bounds memory."""


def states_run_time(advertised: Advertisement) -> bool:
    """Return whether a relative run time is stated; a stated figure has an age above 0."""
    return advertised.run_time_age_ms > 0


class DestinationPaces:
    """Relative run times of destinations; the length of slow periods is learned by service."""

    def __init__(self) -> None:
        self._lengths: dict[str, PeriodLength] = {}

    def record(
        self, service: str, pace: Pace | None, now: float, advertised: Advertisement
    ) -> Pace | None:
        """Apply what a reply states; return the relative run time of its worker, None if unknown.

        :param pace: relative run time of the worker so far.
        """
        if not states_run_time(advertised):
            # A figure that its own sidecar no longer states may still hold until its expiry here.
            return pace
        if pace is None:
            pace = Pace(self._length_of(service))
        since = now - advertised.run_time_age_ms / MILLISECONDS
        pace.state(now, factor_of(advertised.run_time_percent), since)
        return pace

    def _length_of(self, service: str) -> PeriodLength:
        length = self._lengths.get(service)
        if length is None:
            if len(self._lengths) >= MAX_SERVICES:
                self._lengths.clear()
            length = self._lengths[service] = PeriodLength()
        return length


def usual_run_time(seconds: float, advertised: Advertisement) -> float | None:
    """Return the usual length of a run whose reply came with an advertisement.

    None if it is unknown: the figure became usual during the run.

    >>> usual_run_time(0.5, Advertisement(250, 2000)), usual_run_time(0.5, Advertisement())
    (0.2, 0.5)
    """
    if not states_run_time(advertised):
        return seconds
    factor = advertised.run_time_percent / USUAL_RUN_TIME_PERCENT
    return usual_seconds_at(seconds, factor, advertised.run_time_age_ms / MILLISECONDS)
