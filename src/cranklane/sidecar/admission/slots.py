"""Concurrency slots of one worker and the queue of requests waiting for them.

If the worker accepts a limited number of requests per second, each start also takes a start of
``start_rate``, in the same order.

The queue is ordered by the priority of the call tree's root request. Within a priority it is
ordered by the low byte of the tree's ticket while the worker is saturated, so that trees are
carried whole, and then by arrival time, adjusted by two terms. Requests with a short wait limit
move forward, ahead of those that can wait or have waited until near their own limit. Older call
trees move slightly forward, because refusing them wastes more work. A call's wait limit derives
from its root, so calls of nearly complete trees come first. A request that is not expected to start
within its wait limit is refused immediately.

Each slot must be released exactly once.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

import gevent
from gevent.event import Event

from cranklane.outcome import Reason
from cranklane.sidecar.admission.start_rate import StartRate
from cranklane.sidecar.capacity.slow_start import COLD_RUN_TIME_FACTOR

HURRY_WEIGHT = 6.0
"""Seconds by which a request moves back in the queue per second of its wait limit. A weight of 1
orders by latest start time; requests about to time out would then delay all others."""

AGE_WEIGHT = 0.1
"""Seconds by which a request moves forward per second of its root's age. Much smaller than
``HURRY_WEIGHT``, so that age only orders requests with similar wait limits."""

MAX_AGE_SECONDS = 1.5
"""Root age at which the age term is capped, so that late trees do not displace all others."""

SLOT_SECONDS_WEIGHT = 0.05
"""Weight of the newest sample in the moving average of slot occupancy time. Averages about the last
20 requests."""

SLOW_START_SLOT_SECONDS_WEIGHT = 0.2
"""The same during a slow start, in which occupancy times change within few requests."""

INITIAL_SLOT_SECONDS = 0.05
"""Initial estimate of the slot occupancy time."""

MIN_SLOT_SECONDS = 0.0001
"""Lower bound of the slot occupancy time by which a rate of starts is computed."""

WIDENING_WAIT_FRACTION = 0.25
"""Fraction of a request's wait limit beyond which its expected wait widens the window of a slow
start. Below 1, as the expected wait of a worker that has become slower is too short at first."""

MAX_ENDED_ENTRIES = 8
"""Ended waits, in addition to the number of live ones, that the queue keeps before a cleanup, which
scans the whole queue."""


@dataclass(frozen=True, order=True, slots=True)
class Rank:
    """Sort key of a queued request; the lowest starts first.

    :ivar priority: priority of the root request; 0 is the most important.
    :ivar tree_order: order of the call tree within its priority; 0 unless the worker is saturated.
    :ivar effective_arrival: monotonic arrival time in seconds, adjusted by wait limit and root age.
    """

    priority: int
    tree_order: int
    effective_arrival: float


class Waiter:
    """A queued request."""

    __slots__ = ("granted", "refused", "event")

    def __init__(self) -> None:
        self.granted = False
        self.refused = Reason.NONE
        self.event = Event()

    def refuse(self, reason: Reason) -> None:
        """End the wait without a slot, unless it has ended already."""
        if not self.granted and self.refused is Reason.NONE:
            self.refused = reason
            self.event.set()


def _usual_run_time() -> float:
    return 1.0


class Slots:
    """Grants a worker's slots to requests and queues the rest.

    :param clock: monotonic seconds.
    :param spawn: starts a task, given its function and arguments.
    :ivar stated: number of slots of the worker.
    :ivar limit: maximum number of concurrent requests; below ``stated`` during a slow start.
    :ivar widen: widens the window of the slow start by a slot, by calling :meth:`set_window`.
    :ivar running: requests that hold a slot.
    :ivar queued: requests that wait for a slot. A refused or timed-out waiter is counted until its
        own task resumes, and its queue entry may remain for longer.
    :ivar slot_seconds: moving average of the usual slot occupancy time.
    :ivar run_time_factor: returns the worker's present run time as a multiple of the usual one.
    """

    def __init__(
        self, clock: Callable[[], float], spawn: Callable[..., object] = gevent.spawn
    ) -> None:
        self._clock = clock
        self._spawn = spawn
        self._start_rate = StartRate(clock)
        self._grant_is_scheduled = False
        # Sorted by rank, for binary search.
        self._waiting: list[tuple[Rank, int, Waiter]] = []
        self._numbers = count()
        self._window: int | None = None
        self.widen: Callable[[], None] = lambda: None
        self.queued = 0
        self.stated = 0
        self.limit = 0
        self.running = 0
        self.slot_seconds = INITIAL_SLOT_SECONDS
        self.run_time_factor: Callable[[], float] = _usual_run_time

    def expected_wait(self, rank: Rank) -> float:
        """Return the expected wait for a rank in seconds; ``math.inf`` without slots."""
        return max(self._wait_for_slot(rank), self._wait_for_start(rank))

    def starts_per_second(self) -> float:
        """Return the number of requests that the worker can start per second."""
        starts = self.limit / max(MIN_SLOT_SECONDS, self.slot_seconds)
        rate = self._start_rate.rate
        return starts if rate is None else min(starts, rate)

    def idle_fraction(self) -> float:
        """Return the fraction of the slots that no request holds or waits for."""
        if self.limit <= 0:
            return 0.0
        return max(0.0, 1.0 - (self.running + self.queued) / self.limit)

    def _wait_for_slot(self, rank: Rank) -> float:
        if self.running < self.limit:
            return 0.0
        if self.limit <= 0:
            return math.inf
        return (self._ahead(rank) + 1) * self.slot_seconds * self.run_time_factor() / self.limit

    def _wait_for_start(self, rank: Rank) -> float:
        if not self._start_rate.is_limited:
            return 0.0
        return self._start_rate.seconds_to(self._ahead(rank) + 1)

    def _ahead(self, rank: Rank) -> int:
        """Return the number of queued requests that start before a rank."""
        return bisect_right(self._waiting, (rank,))

    def rank(self, priority: int, wait_seconds: float, root_age: float = 0.0) -> Rank:
        """Return the queue rank of a request that arrives now.

        :param wait_seconds: wait limit of the request.
        :param root_age: age of its call tree's root request in seconds.
        """
        wait_penalty = HURRY_WEIGHT * wait_seconds
        age_credit = AGE_WEIGHT * min(root_age, MAX_AGE_SECONDS)
        return Rank(priority, 0, self._clock() + wait_penalty - age_credit)

    def acquire(
        self,
        priority: int,
        wait_seconds: float,
        on_wait: Callable[[Waiter], None],
        root_age: float = 0.0,
        tree_order: int = 0,
    ) -> Reason:
        """Acquire a slot, waiting up to ``wait_seconds``.

        :param priority: priority of the root request.
        :param on_wait: receives the waiter before the wait, for cancellation.
        :param root_age: age of the call tree's root request in seconds.
        :param tree_order: order of the call tree within the priority.
        :returns: NONE after acquiring the slot, else the reason for the refusal.
        """
        if self.running < self.limit and self.queued == 0 and self._start_rate.take():
            self.running += 1
            return Reason.NONE
        rank = self.rank(priority, wait_seconds, root_age)
        if tree_order:
            rank = Rank(rank.priority, tree_order, rank.effective_arrival)
        if self.limit < self.stated:
            self._widen_for(rank, wait_seconds)
        if self._wait_for_slot(rank) > wait_seconds:
            return Reason.QUEUE_FULL
        if self._wait_for_start(rank) > wait_seconds:
            return Reason.WORKER_LIMIT
        waiter = Waiter()
        insort(self._waiting, (rank, next(self._numbers), waiter))
        self.queued += 1
        on_wait(waiter)
        self._grant()
        waiter.event.wait(wait_seconds)
        if waiter.granted:
            return Reason.NONE
        takes_slot_beyond_window = waiter.refused is Reason.NONE and self._take_beyond_window()
        if waiter.refused is Reason.NONE:
            waits_for_start = self._start_rate.is_limited and self.running < self.limit
            waiter.refused = Reason.WORKER_LIMIT if waits_for_start else Reason.DEADLINE_TOO_NEAR
        self.queued -= 1
        self._remove_ended()
        return Reason.NONE if takes_slot_beyond_window else waiter.refused

    def _widen_for(self, rank: Rank, wait_seconds: float) -> None:
        """Widen the window until a request can wait for a slot, or all slots are in use."""
        former = -1
        while former < self.limit < self.stated:
            if self._wait_for_slot(rank) <= WIDENING_WAIT_FRACTION * wait_seconds:
                return
            former = self.limit
            self.widen()

    def _take_beyond_window(self) -> bool:
        """Take a slot that only the window withholds, for a request whose wait has ended."""
        if not self.limit <= self.running < self.stated or not self._start_rate.take():
            return False
        self.running += 1
        self.widen()
        return True

    def release(self, occupied_seconds: float) -> None:
        """Release a slot and grant it to the next waiter.

        :param occupied_seconds: time for which the request would usually have held it.
        """
        weight = SLOT_SECONDS_WEIGHT if self._window is None else SLOW_START_SLOT_SECONDS_WEIGHT
        self.slot_seconds += weight * (occupied_seconds - self.slot_seconds)
        self.running -= 1
        self._grant()

    def resize(self, stated: int) -> None:
        """Change the number of slots; grant new ones to waiters."""
        self.stated = stated
        self._apply_limit()

    def set_window(self, window: int | None) -> None:
        """Limit the concurrent requests to fewer than the slots; None for no window."""
        if self._window is None and window is not None:
            self.slot_seconds *= COLD_RUN_TIME_FACTOR
        self._window = window
        self._apply_limit()

    def _apply_limit(self) -> None:
        self.limit = self.stated if self._window is None else min(self.stated, self._window)
        self._grant()

    def limit_starts(self, rate: float | None) -> None:
        """Limit the starts per second; None removes the limit."""
        self._start_rate.set(rate)
        # A scheduled grant is for a start at the former rate.
        self._grant_is_scheduled = False
        self._grant()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse all queued requests."""
        for _, _, waiter in self._waiting:
            waiter.refuse(reason)

    def _grant(self) -> None:
        while self.running < self.limit and self._waiting:
            waiter = self._waiting[0][2]
            if waiter.refused is Reason.NONE and not self._start_rate.take():
                self._schedule_grant()
                return
            self._waiting.pop(0)
            if waiter.refused is not Reason.NONE:
                continue
            waiter.granted = True
            self.queued -= 1
            self.running += 1
            waiter.event.set()

    def _schedule_grant(self) -> None:
        """Grant again when the next start is available."""
        if not self._grant_is_scheduled:
            self._grant_is_scheduled = True
            self._spawn(self._grant_later, self._start_rate.seconds_to(1))

    def _grant_later(self, seconds: float) -> None:
        gevent.sleep(seconds)
        self._grant_is_scheduled = False
        self._grant()

    def _remove_ended(self) -> None:
        """Remove the entries of ended waits if they exceed the bound."""
        if len(self._waiting) > 2 * self.queued + MAX_ENDED_ENTRIES:
            self._waiting = [entry for entry in self._waiting if entry[2].refused is Reason.NONE]
