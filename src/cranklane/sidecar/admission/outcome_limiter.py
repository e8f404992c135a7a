"""Limits the concurrent runs of a route while its runs fail for lack of downstream capacity.

Such a run wastes the work of its whole call tree, so load is shed at the root of the tree, lowest
priority first. Each sidecar adapts to the results of its own worker, without coordination.

The limit counts runs in progress rather than arrivals: once it is reached, a run starts when
another one ends. The rate of new runs thus follows the rate at which call trees finish, however
many clients retry and however slow the trees become. A run that fails early keeps its place for a
while, so that failing faster does not admit more. The limit decreases in proportion to the failed
runs, and grows with each run that succeeds: fast up to most of its former value, because the fault
may be over, and slowly beyond that. Only runs that began after a decrease are counted, so that
each decrease shows its effect before the next one.

The tolerated fraction of failures is higher for more important priorities. Routes called by
workers are exempt, because a refusal would waste the call trees that they are part of. Such a
route is recognized by its callers: nearly all its requests originate at a single service, whereas
client requests enter through machines of every service.

Every admitted request must be released, and every run that began must be reported as ended.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

# Overload detection.

TOLERATED_FAILURE_FRACTIONS = (0.6, 0.35, 0.08)
"""Tolerated fraction of failed runs by priority, from 0; the last value applies to all further
priorities. Wide gaps shed a lower priority before a higher one reaches its limit. None is so low
that single failures count."""

MIN_FAILURES = 2
"""Failed runs that a round needs to lower the limit, so that a single failure has no effect."""

MIN_SAMPLES = 20
"""Runs needed to evaluate a round before ``MAX_ROUND_SECONDS``. With fewer runs, a single failure
can exceed the smallest tolerated fraction."""

ROUND_SECONDS = 0.25
"""Minimum duration of a round. Several rounds fit into the time in which callers notice an
overload."""

MAX_ROUND_SECONDS = 1.0
"""Duration after which a round is evaluated regardless of its number of runs. Routes with few
requests are judged too."""

# Decrease of the limit.

MIN_LIMIT = 2.0
"""Lower bound of the limit in runs: some runs must probe whether the fault is over."""

MAX_DECREASE_FRACTION = 0.6
"""Relative decrease after a round in which all runs failed; scaled by the fraction of failures."""

FAILED_RUN_SECONDS = 0.5
"""Time from its start for which a failed run keeps its place under a limit; that of a call tree."""

# Increase of the limit, for each successful run. A limit of n gets n such runs in the duration of
# one, so it grows by the same factor in that time whatever its size.

FAST_INCREASE = 1.0
"""Increase in runs below the end of the fast increase; doubles the limit in a run's duration."""

SLOW_INCREASE = 0.05
"""Increase in runs beyond that; adds 5% in the duration of a run."""

FAST_INCREASE_CEILING_FRACTION = 0.75
"""End of the fast increase, as a fraction of the ceiling."""

CEILING_DECAY_FACTOR = 0.8
"""Reduces the ceiling on a decrease that happens before the limit has recovered to it."""

UNUSED_LIMIT_FACTOR = 2.0
"""The limit is removed once it exceeds the runs of a round by this factor."""

MIN_REMOVED_LIMIT = 8.0
"""Smallest limit in runs that is removed; a round without demand says little about capacity."""

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


def decreased(limit: float, failed_fraction: float) -> float:
    """Return the limit after a round with too many failures.

    :param limit: concurrent runs in that round.
    :param failed_fraction: fraction of the round's runs that failed.

    >>> decreased(40.0, 1.0), decreased(40.0, 0.5), decreased(2.0, 1.0)
    (16.0, 28.0, 2.0)
    """
    return max(MIN_LIMIT, limit * (1 - MAX_DECREASE_FRACTION * failed_fraction))


def increased(limit: float, ceiling: float) -> float:
    """Return the limit after a successful run.

    :param ceiling: limit before the decrease.

    >>> increased(10.0, 40.0), increased(30.0, 40.0)
    (11.0, 30.05)
    """
    is_fast = limit < FAST_INCREASE_CEILING_FRACTION * ceiling
    return limit + (FAST_INCREASE if is_fast else SLOW_INCREASE)


def ceiling_after_decrease(limit: float, ceiling: float) -> float:
    """Return the ceiling for the recovery from a decrease.

    :param limit: concurrent runs before the decrease.
    :param ceiling: ceiling before the decrease; ``math.inf`` if there was no limit.

    >>> [ceiling_after_decrease(*pair) for pair in ((36.0, 40.0), (16.0, 40.0), (16.0, math.inf))]
    [36.0, 32.0, 16.0]
    """
    if ceiling == math.inf or limit >= FAST_INCREASE_CEILING_FRACTION * ceiling:
        return limit
    return ceiling * CEILING_DECAY_FACTOR


def is_unused(limit: float, most_concurrent: int) -> bool:
    """Return whether a limit is so far above the concurrent runs that it is not needed.

    >>> is_unused(20.0, 10), is_unused(20.5, 10), is_unused(7.0, 1), is_unused(8.5, 1)
    (False, True, False, True)
    """
    return limit > max(MIN_REMOVED_LIMIT, UNUSED_LIMIT_FACTOR * most_concurrent)


@dataclass(slots=True)
class _RouteAdmission:
    """Admission state of one route.

    :ivar priority: priority of the route.
    :ivar round_began_at: monotonic start time of the round that ``runs``, ``failures`` and
        ``most_concurrent`` cover, in seconds.
    :ivar limit: maximum number of concurrent runs; ``math.inf`` for no limit.
    :ivar ceiling: limit before the decrease; ``math.inf`` without a limit.
    :ivar concurrent: admitted requests that are not yet released.
    :ivar most_concurrent: maximum of ``concurrent`` in the round.
    :ivar kept_until: monotonic times in seconds until which failed runs keep their places; a heap.
    :ivar round: number of decreases; only runs that began after the last one are counted.
    :ivar called_by_workers: whether the route is exempt because one service sends its requests.
    :ivar sample_size: requests in the current sample of callers.
    :ivar callers: requests in the current sample by originating service.
    """

    priority: int
    round_began_at: float
    limit: float = math.inf
    ceiling: float = math.inf
    concurrent: int = 0
    most_concurrent: int = 0
    kept_until: list[float] = field(default_factory=list)
    round: int = 0
    runs: int = 0
    failures: int = 0
    called_by_workers: bool = False
    sample_size: int = 0
    callers: dict[str, int] = field(default_factory=dict)


class OutcomeLimiter:
    """Adapts the concurrent runs of each route to the results of one worker's runs.

    :param clock: monotonic seconds.
    :param on_change: called with a route and its limit at the end of each round with a limit, and
        when the limit is removed.
    """

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[str, float], None] | None = None
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._routes: dict[str, _RouteAdmission] = {}

    def limit(self, route: str) -> float:
        """Return the maximum number of concurrent runs of a route; ``math.inf`` for no limit."""
        admission = self._routes.get(route)
        return admission.limit if admission is not None else math.inf

    def admits(self, route: str, priority: int, caller: str) -> bool:
        """Return whether to admit a request, and count its caller.

        An admitted request counts as concurrent until :meth:`released`.

        :param caller: service of the machine where the request originated.
        """
        admission = self._routes.get(route)
        if admission is None:
            admission = _RouteAdmission(priority, self._clock())
            self._routes[route] = admission
        # A new route table may have changed it.
        admission.priority = priority
        self._count_caller(admission, caller)
        if admission.limit < math.inf and not admission.called_by_workers:
            self._free_kept_places(admission)
            if admission.concurrent + len(admission.kept_until) >= admission.limit:
                return False
        admission.concurrent += 1
        admission.most_concurrent = max(admission.most_concurrent, admission.concurrent)
        return True

    def _free_kept_places(self, admission: _RouteAdmission) -> None:
        """Free the places of failed runs whose time has passed."""
        now = self._clock()
        while admission.kept_until and admission.kept_until[0] <= now:
            heappop(admission.kept_until)

    @staticmethod
    def _count_caller(admission: _RouteAdmission, caller: str) -> None:
        admission.callers[caller] = admission.callers.get(caller, 0) + 1
        admission.sample_size += 1
        if admission.sample_size >= CALLER_SAMPLES:
            most = max(admission.callers.values())
            admission.called_by_workers = most >= SINGLE_CALLER_FRACTION * admission.sample_size
            admission.callers.clear()
            admission.sample_size = 0

    def released(self, route: str) -> None:
        """Record that an admitted request has no slot any more, or has got none."""
        self._routes[route].concurrent -= 1

    def began(self, route: str) -> int:
        """Return the current round of a route, to pass to :meth:`ended` after the run."""
        return self._routes[route].round

    def ended(self, route: str, start_round: int, failed: bool, run_seconds: float) -> None:
        """Record the end of a run.

        :param start_round: round returned by :meth:`began`. A run from before the last decrease
            does not change the limit, because it does not reflect the current one.
        :param failed: whether it failed for lack of downstream capacity.
        """
        admission = self._routes[route]
        if failed and run_seconds < FAILED_RUN_SECONDS:
            self._free_kept_places(admission)
            heappush(admission.kept_until, self._clock() + FAILED_RUN_SECONDS - run_seconds)
        if start_round != admission.round:
            return
        admission.runs += 1
        admission.failures += failed
        limit = admission.limit
        if not failed and limit < math.inf:
            admission.limit = increased(limit, admission.ceiling)
        age = self._clock() - admission.round_began_at
        if age >= ROUND_SECONDS and admission.runs >= MIN_SAMPLES or age >= MAX_ROUND_SECONDS:
            self._end_round(admission)
            has_or_had_limit = min(limit, admission.limit) < math.inf
            if has_or_had_limit and self._on_change is not None:
                self._on_change(route, admission.limit)

    def _end_round(self, admission: _RouteAdmission) -> None:
        """Adjust the limit to the results of a round, and start the next one."""
        failed_fraction = admission.failures / admission.runs
        tolerated = tolerated_failures(admission.priority)
        if failed_fraction > tolerated and admission.failures >= MIN_FAILURES:
            used = min(admission.limit, float(admission.most_concurrent))
            admission.ceiling = ceiling_after_decrease(used, admission.ceiling)
            admission.limit = decreased(used, failed_fraction)
            admission.round += 1
        elif is_unused(admission.limit, admission.most_concurrent):
            admission.limit = admission.ceiling = math.inf
            admission.kept_until.clear()
        admission.round_began_at = self._clock()
        admission.most_concurrent = admission.concurrent
        admission.runs = 0
        admission.failures = 0
