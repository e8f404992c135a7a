"""Limits the admitted fraction of a route while its runs fail for lack of downstream capacity.

Such a run wastes the work of its whole call tree, so load is shed at the root of the tree, lowest
priority first. Each sidecar adapts to the results of its own worker, without coordination. The
fraction decreases multiplicatively while too many runs fail and increases over time otherwise:
fast up to most of its former value, because the fault may be over, and slowly beyond that.

The tolerated fraction of failures is higher for more important priorities. Routes called by
workers are exempt, because a refusal would waste the call trees that they are part of. Such a
route is recognized by its callers: nearly all its requests originate at a single service, whereas
client requests enter through machines of every service.

Every run that began must be reported as ended.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.sidecar.admission.fraction_sampler import FractionSampler

# Overload detection.

TOLERATED_FAILURE_FRACTIONS = (0.6, 0.35, 0.08)
"""Tolerated fraction of failed runs by priority, from 0; the last value applies to all further
priorities. Wide gaps shed a lower priority before a higher one reaches its limit."""

MIN_FAILURES = 2
"""Failed runs that a round needs to lower the fraction, so that a single failure has no effect."""

MIN_SAMPLES = 20
"""Runs needed to evaluate a round before ``MAX_ROUND_SECONDS``. With fewer runs, a single failure
can exceed the smallest tolerated fraction."""

ROUND_SECONDS = 0.25
"""Minimum duration of a round."""

MAX_ROUND_SECONDS = 1.0
"""Duration after which a round is evaluated regardless of its number of runs."""

# Decrease of the admitted fraction.

MIN_FRACTION = 0.05
"""Lower bound of the admitted fraction: some runs must probe whether the fault is over."""

MAX_DECREASE_FRACTION = 0.6
"""Relative decrease after a round in which all runs failed; scaled by the fraction of failures."""

DECREASE_INTERVAL_SECONDS = 0.5
"""Minimum time between two decreases, so that runs admitted before the first one can end."""

# Increase of the admitted fraction. Based on time rather than on runs, so that routes with few
# requests recover as fast as others.

INCREASE_PER_SECOND = 0.08
"""Base increase of the admitted fraction while failures are tolerable."""

PROPORTIONAL_INCREASE_PER_SECOND = 0.15
"""Additional increase per unit of the admitted fraction; heavily limited routes grow slowly."""

FAST_INCREASE_PER_SECOND = 0.4
"""Minimum increase while the fraction is below the limit for fast increase."""

FAST_INCREASE_CEILING_FRACTION = 0.75
"""Limit for fast increase, as a fraction of the ceiling."""

CEILING_DECAY_FACTOR = 0.95
"""Reduces the ceiling on a decrease that happens before the fraction has recovered to it."""

# Detection of routes called by workers.

CALLER_SAMPLES = 40
"""Requests per sample of callers; enough to detect client requests from two or more services."""

SINGLE_CALLER_FRACTION = 0.95
"""Fraction of a sample from one service at which a route counts as called by workers. Below 1 to
tolerate occasional requests from elsewhere."""


def tolerated_failures(priority: int) -> float:
    """Return the tolerated fraction of failed runs at a priority.

    >>> [tolerated_failures(priority) for priority in (0, 1, 2, 7)]
    [0.6, 0.35, 0.08, 0.08]
    """
    return TOLERATED_FAILURE_FRACTIONS[min(priority, len(TOLERATED_FAILURE_FRACTIONS) - 1)]


def decreased(fraction: float, failed_fraction: float) -> float:
    """Return the admitted fraction after a round with too many failures.

    :param failed_fraction: fraction of the round's runs that failed.

    >>> decreased(1.0, 1.0), decreased(1.0, 0.5), decreased(0.06, 1.0)
    (0.4, 0.7, 0.05)
    """
    return max(MIN_FRACTION, fraction * (1 - MAX_DECREASE_FRACTION * failed_fraction))


def increased(fraction: float, ceiling: float, seconds: float) -> float:
    """Return the admitted fraction after a time with a tolerable fraction of failures.

    :param ceiling: admitted fraction before the decrease.
    :param seconds: duration of that time.

    >>> increased(0.2, 1.0, 1.0), increased(0.2, 0.2, 0.5), increased(0.95, 1.0, 1.0)
    (0.6000000000000001, 0.255, 1.0)
    """
    rate = INCREASE_PER_SECOND + PROPORTIONAL_INCREASE_PER_SECOND * fraction
    if fraction < FAST_INCREASE_CEILING_FRACTION * ceiling:
        rate = max(rate, FAST_INCREASE_PER_SECOND)
    return min(1.0, fraction + seconds * rate)


def ceiling_after_decrease(fraction: float, ceiling: float) -> float:
    """Return the ceiling for the recovery from a decrease.

    :param fraction: admitted fraction before the decrease.
    :param ceiling: ceiling before the decrease.

    >>> ceiling_after_decrease(0.9, 1.0), ceiling_after_decrease(0.4, 1.0)
    (0.9, 0.95)
    """
    return (
        fraction
        if fraction >= FAST_INCREASE_CEILING_FRACTION * ceiling
        else ceiling * CEILING_DECAY_FACTOR
    )


@dataclass(slots=True)
class _RouteAdmission:
    """Admission state of one route.

    :ivar max_failed_fraction: tolerated fraction of failed runs.
    :ivar round_began_at: monotonic start time of the round that ``runs`` and ``failures`` cover,
        in seconds.
    :ivar fraction: admitted fraction of the requests, 0 to 1.
    :ivar sampler: selects the admitted requests.
    :ivar ceiling: admitted fraction before the decrease.
    :ivar decreased_at: monotonic time of the last decrease, in seconds.
    :ivar round: number of decreases; only runs that began after the last one are counted.
    :ivar called_by_workers: whether the route is exempt because one service sends its requests.
    :ivar sample_size: requests in the current sample of callers.
    :ivar callers: requests in the current sample by originating service.
    """

    max_failed_fraction: float
    round_began_at: float
    fraction: float = 1.0
    sampler: FractionSampler = field(default_factory=lambda: FractionSampler(credit=1.0))
    ceiling: float = 1.0
    decreased_at: float = -math.inf
    round: int = 0
    runs: int = 0
    failures: int = 0
    called_by_workers: bool = False
    sample_size: int = 0
    callers: dict[str, int] = field(default_factory=dict)


class OutcomeLimiter:
    """Adapts the admitted fraction of each route to the results of one worker's runs.

    :param clock: monotonic seconds.
    :param on_change: called with a route and its admitted fraction when that has changed.
    """

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[str, float], None] | None = None
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._routes: dict[str, _RouteAdmission] = {}

    def fraction(self, route: str) -> float:
        """Return the admitted fraction of a route's requests, 0 to 1."""
        admission = self._routes.get(route)
        return admission.fraction if admission is not None else 1.0

    def admits(self, route: str, priority: int, caller: str) -> bool:
        """Return whether to admit a request, and count its caller.

        :param caller: service of the machine where the request originated.
        """
        admission = self._routes.get(route)
        if admission is None:
            admission = _RouteAdmission(tolerated_failures(priority), self._clock())
            self._routes[route] = admission
        self._count_caller(admission, caller)
        if admission.fraction >= 1.0 or admission.called_by_workers:
            return True
        return admission.sampler.admits(admission.fraction)

    @staticmethod
    def _count_caller(admission: _RouteAdmission, caller: str) -> None:
        admission.callers[caller] = admission.callers.get(caller, 0) + 1
        admission.sample_size += 1
        if admission.sample_size >= CALLER_SAMPLES:
            most = max(admission.callers.values())
            admission.called_by_workers = most >= SINGLE_CALLER_FRACTION * admission.sample_size
            admission.callers.clear()
            admission.sample_size = 0

    def began(self, route: str) -> int:
        """Return the current round of a route, to pass to :meth:`ended` after the run."""
        return self._routes[route].round

    def ended(self, route: str, start_round: int, failed: bool) -> None:
        """Record the end of a run.

        :param start_round: round returned by :meth:`began`. A run from before the last decrease
            is ignored, because it does not reflect the current fraction.
        :param failed: whether it failed for lack of downstream capacity.
        """
        admission = self._routes[route]
        if start_round != admission.round:
            return
        admission.runs += 1
        admission.failures += failed
        age = self._clock() - admission.round_began_at
        if age >= ROUND_SECONDS and admission.runs >= MIN_SAMPLES or age >= MAX_ROUND_SECONDS:
            fraction = admission.fraction
            self._end_round(admission)
            if admission.fraction != fraction and self._on_change is not None:
                self._on_change(route, admission.fraction)

    def _end_round(self, admission: _RouteAdmission) -> None:
        """Adjust the admitted fraction to the results of a round, and start the next one."""
        failed_fraction = admission.failures / admission.runs
        now = self._clock()
        if failed_fraction > admission.max_failed_fraction and admission.failures >= MIN_FAILURES:
            if now - admission.decreased_at >= DECREASE_INTERVAL_SECONDS:
                fraction, ceiling = admission.fraction, admission.ceiling
                admission.ceiling = ceiling_after_decrease(fraction, ceiling)
                admission.fraction = decreased(fraction, failed_fraction)
                admission.decreased_at = now
                admission.round += 1
        else:
            seconds = min(MAX_ROUND_SECONDS, now - admission.round_began_at)
            admission.fraction = increased(admission.fraction, admission.ceiling, seconds)
        admission.round_began_at = now
        admission.runs = 0
        admission.failures = 0
