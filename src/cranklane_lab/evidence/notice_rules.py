"""Rules on the requests of a worker that states a limit or that it leaves, by what was observed.

Workers report what their answers state and which requests arrive; callers report the answers that
they received. A machine is bound by a notice once it has passed an answer with it on to a caller.
The machine of a request is the one at whose sidecar it began.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane_lab.standins.routed_answers import NAMES, START_HEADER

WINDOW_SECONDS = 4.0
"""Length of each span in which the requests of a limited worker are counted."""

EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
"""A worker may get its limit times the ratio, and as many requests more, in each window."""

NOTICE_DELAY_SECONDS = 0.5
"""Time after which a notice of a limit from which it binds the machine."""

CONTACT_SECONDS = 3.0
"""Time after a worker first stated a limit from which its windows are checked."""

DRAIN_SECONDS = 2.0
"""Time after which a notice of a departure from which the machine sends no more requests there."""


_START = START_HEADER.decode().lower()
_RATE_LIMIT = NAMES.rate_limit.decode().lower()
_LEAVING = NAMES.leaving.decode().lower()


class Arrival(NamedTuple):
    """A request that reached a worker.

    :ivar machine: machine at which it began.
    :ivar sent_at: second at which its caller sent it.
    """

    at: float
    machine: str
    sent_at: float


@dataclass
class _Observed:
    """What was observed of one instance of a worker; lists are in order of time."""

    limits: list[tuple[float, float | None]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    informed_of_limit: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    informed_of_departure: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


class NoticeRules:
    """Collects observations and checks them; instances of workers are named by texts."""

    def __init__(self) -> None:
        self._workers: dict[str, _Observed] = defaultdict(_Observed)
        self._excuses: dict[str, list[float]] = defaultdict(list)

    def stated(self, worker: str, at: float, limit: float | None) -> None:
        """Record that a worker's answers state a limit from now on, or None."""
        limits = self._workers[worker].limits
        if limits and limits[-1][1] == limit or not limits and limit is None:
            return
        limits.append((at, limit))

    def passed_on(self, machine: str, headers: dict[str, str], at: float) -> None:
        """Record the headers of an answer that a machine passed on, by lower-case names."""
        worker = headers.get(_START)
        if worker is None:
            return
        if _RATE_LIMIT in headers:
            self._workers[worker].informed_of_limit[machine].append(at)
        if _LEAVING in headers:
            self._workers[worker].informed_of_departure[machine].append(at)

    def arrived(self, worker: str, arrival: Arrival) -> None:
        """Record a request that reached a worker."""
        self._workers[worker].arrivals.append(arrival)

    def excuse(self, machine: str, at: float) -> None:
        """Record a restart, pause or partition of a machine: its notices no longer bind it."""
        self._excuses[machine].append(at)

    def most_excess(self) -> float:
        """Return the largest number of requests in a window, relative to the allowed number."""
        return max((excess for _, excess in self._window_ratios()), default=0.0)

    def violations(self) -> list[str]:
        """Return one line per worker with too many requests, and per late request."""
        worst: dict[str, float] = {}
        for worker, ratio in self._window_ratios():
            worst[worker] = max(ratio, worst.get(worker, 0.0))
        lines = [
            f"{worker}: {ratio:.2f} times the requests that its limit allows in a window"
            for worker, ratio in worst.items()
            if ratio > 1.0
        ]
        return lines + self._late_requests()

    def _late_requests(self) -> list[str]:
        return [
            f"{worker}: a request of {arrival.machine} sent {arrival.sent_at - informed_at:.2f} s "
            "after the notice that the worker leaves"
            for worker, observed in self._workers.items()
            for arrival in observed.arrivals
            for informed_at in [self._informed_at(observed.informed_of_departure, arrival)]
            if informed_at is not None and arrival.sent_at - informed_at > DRAIN_SECONDS
        ]

    def _informed_at(self, notices: dict[str, list[float]], arrival: Arrival) -> float | None:
        """Return the first notice to a machine between its last excuse and an arrival."""
        excuses = [at for at in self._excuses[arrival.machine] if at <= arrival.at]
        since = max(excuses, default=0.0)
        return next((at for at in notices.get(arrival.machine, ()) if at >= since), None)

    def _window_ratios(self) -> list[tuple[str, float]]:
        """Return the requests in each window, relative to the allowed number, by worker."""
        return [
            (worker, ratio)
            for worker, observed in self._workers.items()
            if observed.limits
            for ratio in self._ratios_of(observed)
        ]

    def _ratios_of(self, observed: _Observed) -> list[float]:
        times = [
            arrival.at
            for arrival in observed.arrivals
            for informed_at in [self._informed_at(observed.informed_of_limit, arrival)]
            if informed_at is not None and arrival.at - informed_at >= NOTICE_DELAY_SECONDS
        ]
        checked_from = observed.limits[0][0] + CONTACT_SECONDS
        ratios = []
        for number, end in enumerate(times, 1):
            allowed = _allowed(observed.limits, end)
            if end < checked_from or allowed is None:
                continue
            counted = number - bisect_right(times, end - WINDOW_SECONDS)
            ratios.append(counted / allowed)
        return ratios


def _allowed(limits: list[tuple[float, float | None]], end: float) -> float | None:
    """Return the requests allowed in the window up to a second; None if it has no limit."""
    begin = end - WINDOW_SECONDS
    requests = 0.0
    for number, (at, limit) in enumerate(limits):
        since = begin if number == 0 else max(at, begin)
        until = limits[number + 1][0] if number + 1 < len(limits) else end
        seconds = min(until, end) - since
        if seconds <= 0:
            continue
        if limit is None:
            return None
        requests += limit * seconds
    return EXCESS_RATIO * requests + EXCESS_REQUESTS
