"""Concurrency slots of one worker and the queue of requests waiting for them.

The queue is ordered by the priority of the call tree's root request. Within a priority it is
ordered by arrival time, adjusted by two terms. Requests with a short wait limit move forward,
ahead of those that can wait or have waited until near their own limit. Older call trees move
slightly forward, because refusing them wastes more work. A call's wait limit derives from its
root, so calls of nearly complete trees come first. A request that is not expected to start within
its wait limit is refused immediately.

Each slot must be released exactly once.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from gevent.event import Event

from cranklane.outcome import Reason

HURRY_WEIGHT = 6.0
"""Seconds by which a request moves back in the queue per second of its wait limit. A weight of 1
orders by latest start time; requests about to time out would then delay all others."""

AGE_WEIGHT = 0.1
"""Seconds by which a request moves forward per second of its root's age. Much smaller than
``HURRY_WEIGHT``, so that age only orders requests with similar wait limits."""

MAX_AGE_SECONDS = 1.5
"""Root age at which the age term is capped, so that late trees do not displace all others."""

SLOT_SECONDS_WEIGHT = 0.05
"""Weight of the newest sample in the moving average of slot occupancy time."""

INITIAL_SLOT_SECONDS = 0.05
"""Initial estimate of the slot occupancy time."""

MAX_ENDED_ENTRIES = 8
"""Ended waits, in addition to the number of live ones, that the queue keeps before a cleanup, which
scans the whole queue."""


@dataclass(frozen=True, order=True, slots=True)
class Rank:
    """Sort key of a queued request; the lowest starts first.

    :ivar priority: priority of the root request; 0 is the most important.
    :ivar effective_arrival: monotonic arrival time in seconds, adjusted by wait limit and root age.
    """

    priority: int
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


class Slots:
    """Grants a worker's slots to requests and queues the rest.

    :param clock: monotonic seconds.
    :ivar limit: maximum number of concurrent requests.
    :ivar running: requests that hold a slot.
    :ivar queued: requests that wait for a slot. A refused or timed-out waiter is counted until its
        own task resumes, and its queue entry may remain for longer.
    :ivar slot_seconds: moving average of the slot occupancy time.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Sorted by rank, for binary search.
        self._waiting: list[tuple[Rank, int, Waiter]] = []
        self._numbers = count()
        self.queued = 0
        self.limit = 0
        self.running = 0
        self.slot_seconds = INITIAL_SLOT_SECONDS

    def expected_wait(self, rank: Rank) -> float:
        """Return the expected wait for a rank in seconds; ``math.inf`` without slots."""
        if self.running < self.limit:
            return 0.0
        if self.limit <= 0:
            return math.inf
        ahead = bisect_right(self._waiting, (rank,))
        return (ahead + 1) * self.slot_seconds / self.limit

    def rank(self, priority: int, wait_seconds: float, root_age: float = 0.0) -> Rank:
        """Return the queue rank of a request that arrives now.

        :param wait_seconds: wait limit of the request.
        :param root_age: age of its call tree's root request in seconds.
        """
        wait_penalty = HURRY_WEIGHT * wait_seconds
        age_credit = AGE_WEIGHT * min(root_age, MAX_AGE_SECONDS)
        return Rank(priority, self._clock() + wait_penalty - age_credit)

    def acquire(
        self,
        priority: int,
        wait_seconds: float,
        on_wait: Callable[[Waiter], None],
        root_age: float = 0.0,
    ) -> Reason:
        """Acquire a slot, waiting up to ``wait_seconds``.

        :param priority: priority of the root request.
        :param on_wait: receives the waiter before the wait, for cancellation.
        :param root_age: age of the call tree's root request in seconds.
        :returns: NONE after acquiring the slot, else the reason for the refusal.
        """
        if self.running < self.limit and self.queued == 0:
            self.running += 1
            return Reason.NONE
        rank = self.rank(priority, wait_seconds, root_age)
        if self.expected_wait(rank) > wait_seconds:
            return Reason.QUEUE_FULL
        waiter = Waiter()
        insort(self._waiting, (rank, next(self._numbers), waiter))
        self.queued += 1
        on_wait(waiter)
        self._grant()
        waiter.event.wait(wait_seconds)
        if waiter.granted:
            return Reason.NONE
        if waiter.refused is Reason.NONE:
            waiter.refused = Reason.DEADLINE_TOO_NEAR
        self.queued -= 1
        self._remove_ended()
        return waiter.refused

    def release(self, occupied_seconds: float) -> None:
        """Release a slot and grant it to the next waiter.

        :param occupied_seconds: time for which the request held it.
        """
        self.slot_seconds += SLOT_SECONDS_WEIGHT * (occupied_seconds - self.slot_seconds)
        self.running -= 1
        self._grant()

    def resize(self, limit: int) -> None:
        """Change the number of slots; grant new ones to waiters."""
        self.limit = limit
        self._grant()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse all queued requests."""
        for _, _, waiter in self._waiting:
            waiter.refuse(reason)

    def _grant(self) -> None:
        while self.running < self.limit and self._waiting:
            waiter = self._waiting.pop(0)[2]
            if waiter.refused is not Reason.NONE:
                continue
            waiter.granted = True
            self.queued -= 1
            self.running += 1
            waiter.event.set()

    def _remove_ended(self) -> None:
        """Remove the entries of ended waits if they exceed the bound."""
        if len(self._waiting) > 2 * self.queued + MAX_ENDED_ENTRIES:
            self._waiting = [entry for entry in self._waiting if entry[2].refused is Reason.NONE]
