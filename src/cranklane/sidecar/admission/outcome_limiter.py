"""Admits less of a route where its runs fail because the calls they need are refused.

A worker whose own calls fail deep in the call graph answers 500 or 504 after all its work was
wasted. What helps the overloaded service is fewer requests at the top of the tree, the least
important first. Each sidecar sees how the runs of its own worker end, so each adapts by itself:
the fraction of a route's requests that it admits falls by a factor while too many runs fail, and
grows with time otherwise. It grows fast up to most of what was admitted before it fell, since a
sudden fault may be over, and slowly from there on.

How many failures are too many depends on the priority, so that the less important routes give
way before the others are touched. A route that workers call is left alone: refusing it would
waste the trees that it belongs to. It is known by where its requests begin: those of clients
begin at machines of every service, those of workers at machines of the service that calls it.

Owns the admitted fraction of each route. Relies on being given the end of each run that began.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.sidecar.admission.even_fraction import EvenFraction

# Which runs are too many failures.

TOLERATED_FAILURES = (0.6, 0.35, 0.08)
"""Fraction of the runs that may fail, by priority from 0; the last holds beyond. A choice: far
enough apart that each priority has been lowered before the next one's limit is reached, and
none so low that single failures count."""

MIN_FAILURES = 2
"""Failed runs in a round below which the fraction is not lowered: one may be a chance. A choice."""

MIN_SAMPLES = 20
"""Runs that a round needs to be judged before its longest time is over. A choice: with fewer,
one failure more or less crosses the lowest tolerance (0.08)."""

ROUND_SECONDS = 0.25
"""Shortest time over which runs are counted before the fraction changes. A choice: several
rounds within the time in which clients notice an overload."""

MAX_ROUND_SECONDS = 1.0
"""Longest time over which runs are counted, however few there are, so that routes with few
requests are judged too. A choice."""

# How the fraction falls.

MIN_FRACTION = 0.05
"""Smallest fraction that is admitted: some runs must show whether the fault is over. A choice."""

DECREASE = 0.6
"""Fraction by which the admitted fraction falls when every run of a round has failed; less in
proportion when fewer have. A choice."""

MIN_DECREASE_SECONDS = 0.5
"""Between two decreases: the runs that were admitted before must have ended. A choice."""

# How the fraction grows. Per second, not per round of runs: counted by runs, the reads of a route
# with few requests stayed refused for 14 s after a fault of 2 s.

INCREASE = 0.08
"""Growth of the admitted fraction in a second when few runs have failed. A choice."""

INCREASE_FACTOR = 0.15
"""Further growth in a second, per unit of the admitted fraction. A choice: a route of
which little is admitted grows more carefully."""

FAST_INCREASE = 0.4
"""Growth in a second below the known fraction of what was admitted before the fall: full again
within about 2 s of the end of a fault. A choice."""

KNOWN_FRACTION = 0.75
"""Fraction of the ceiling up to which growth is fast: so much was served before. A choice."""

CEILING_FADE = 0.95
"""Factor on the ceiling for each decrease before it was reached again: what was admitted before
the first fall says less and less. A choice."""

# Which routes are left alone.

CALLER_SAMPLES = 40
"""Requests after which it is judged where a route's requests begin. A choice: enough that clients'
requests at two services or more show as such."""

ONE_CALLER_FRACTION = 0.95
"""A route with this fraction of its requests from one service is called by workers. A choice:
below 1, as single requests from elsewhere do not make it a route for clients."""


def tolerated_failures(priority: int) -> float:
    """Return the fraction of the runs of a route that may fail.

    >>> [tolerated_failures(priority) for priority in (0, 1, 2, 7)]
    [0.6, 0.35, 0.08, 0.08]
    """
    return TOLERATED_FAILURES[min(priority, len(TOLERATED_FAILURES) - 1)]


def decreased(fraction: float, failing: float) -> float:
    """Return the admitted fraction after a round of which a fraction has failed.

    >>> decreased(1.0, 1.0), decreased(1.0, 0.5), decreased(0.06, 1.0)
    (0.4, 0.7, 0.05)
    """
    return max(MIN_FRACTION, fraction * (1 - DECREASE * failing))


def increased(fraction: float, ceiling: float, seconds: float) -> float:
    """Return the admitted fraction after some seconds in which few runs have failed.

    :param ceiling: what was admitted before the fraction fell.

    >>> increased(0.2, 1.0, 1.0), increased(0.2, 0.2, 0.5), increased(0.95, 1.0, 1.0)
    (0.6000000000000001, 0.255, 1.0)
    """
    rate = INCREASE + INCREASE_FACTOR * fraction
    if fraction < KNOWN_FRACTION * ceiling:
        rate = max(rate, FAST_INCREASE)
    return min(1.0, fraction + seconds * rate)


def ceiling_after_decrease(fraction: float, ceiling: float) -> float:
    """Return the fraction that counts as admitted before a fall.

    :param fraction: what is admitted as it falls.

    >>> ceiling_after_decrease(0.9, 1.0), ceiling_after_decrease(0.4, 1.0)
    (0.9, 0.95)
    """
    return fraction if fraction >= KNOWN_FRACTION * ceiling else ceiling * CEILING_FADE


@dataclass(slots=True)
class _RouteAdmission:
    """What is admitted of one route.

    :ivar tolerated: fraction of its runs that may fail.
    :ivar round_began_at: monotonic second since which ``runs`` and ``failures`` are counted.
    :ivar fraction: admitted fraction of the requests, 0 to 1.
    :ivar even: chooses the requests of the fraction.
    :ivar ceiling: fraction admitted before it fell.
    :ivar decreased_at: monotonic second at which it fell last.
    :ivar round: counts the decreases; only runs begun since the last one count.
    :ivar called_by_workers: whether all is admitted, as requests begin at one service.
    :ivar callers: requests of the present sample by the service they began at.
    :ivar sampled: their number.
    """

    tolerated: float
    round_began_at: float
    fraction: float = 1.0
    even: EvenFraction = field(default_factory=lambda: EvenFraction(credit=1.0))
    ceiling: float = 1.0
    decreased_at: float = -math.inf
    round: int = 0
    runs: int = 0
    failures: int = 0
    called_by_workers: bool = False
    sampled: int = 0
    callers: dict[str, int] = field(default_factory=dict)


class OutcomeLimiter:
    """The admitted fraction of each route at one worker.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._routes: dict[str, _RouteAdmission] = {}

    def fraction(self, route: str) -> float:
        """Return the fraction of a route's requests that is admitted, 0 to 1."""
        admission = self._routes.get(route)
        return admission.fraction if admission is not None else 1.0

    def admits(self, route: str, priority: int, caller: str) -> bool:
        """Return whether a request is admitted, and count it.

        :param caller: service of the machine at which the request began.
        """
        admission = self._routes.get(route)
        if admission is None:
            admission = _RouteAdmission(tolerated_failures(priority), self._clock())
            self._routes[route] = admission
        self._count_caller(admission, caller)
        if admission.fraction >= 1.0 or admission.called_by_workers:
            return True
        return admission.even.admits(admission.fraction)

    @staticmethod
    def _count_caller(admission: _RouteAdmission, caller: str) -> None:
        admission.callers[caller] = admission.callers.get(caller, 0) + 1
        admission.sampled += 1
        if admission.sampled >= CALLER_SAMPLES:
            most = max(admission.callers.values())
            admission.called_by_workers = most >= ONE_CALLER_FRACTION * admission.sampled
            admission.callers.clear()
            admission.sampled = 0

    def began(self, route: str) -> int:
        """Return the round that a run begins in, to be given back when it ends."""
        return self._routes[route].round

    def ended(self, route: str, begun_in: int, failed: bool) -> None:
        """Count the end of a run.

        :param begun_in: what :meth:`began` returned; a run that was admitted before the last
            decrease says nothing of what is admitted since.
        :param failed: whether it failed for lack of capacity further down.
        """
        admission = self._routes[route]
        if begun_in != admission.round:
            return
        admission.runs += 1
        admission.failures += failed
        age = self._clock() - admission.round_began_at
        if age >= ROUND_SECONDS and admission.runs >= MIN_SAMPLES or age >= MAX_ROUND_SECONDS:
            self._end_round(admission)

    def _end_round(self, admission: _RouteAdmission) -> None:
        """Change the admitted fraction by how the runs of a round ended."""
        failing = admission.failures / admission.runs
        now = self._clock()
        if failing > admission.tolerated and admission.failures >= MIN_FAILURES:
            if now - admission.decreased_at >= MIN_DECREASE_SECONDS:
                fraction, ceiling = admission.fraction, admission.ceiling
                admission.ceiling = ceiling_after_decrease(fraction, ceiling)
                admission.fraction = decreased(fraction, failing)
                admission.decreased_at = now
                admission.round += 1
        else:
            seconds = min(MAX_ROUND_SECONDS, now - admission.round_began_at)
            admission.fraction = increased(admission.fraction, admission.ceiling, seconds)
        admission.round_began_at = now
        admission.runs = 0
        admission.failures = 0
