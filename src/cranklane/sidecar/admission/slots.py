"""The slots of one worker, and the queue before them.

The more important goes first; priority is that of the request at the root of the call tree.
Among equals the order is by arrival, with a head start for those that may wait less: a request
in a hurry is not held up by many that can wait, nor by those of them that have waited so long
that they will be refused. What a call may wait comes from its root, so the calls of trees that
are nearly done go before those of fresh ones, which lose less work when they are refused; of two
such trees the older one has a small head start. Every wait has an end, and what is not expected
to start until then is refused at once.

Owns the count of running and queued requests. Relies on each slot being released once.
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
"""Seconds of head start for each second that a request may wait less than another. At 1 the order
is by latest start: under overload, those about to be refused then hold up all others. Drawn call
trees (``cranklane-lab trees``) earned 0.010 more at 6 than at 1, mean of 20 seeds, -0.027 to
0.071: its gain is not told apart from none."""

AGE_WEIGHT = 0.1
"""Seconds of head start for each second of the age of a request's root. A choice: small against
``HURRY_WEIGHT``, so that age decides only between requests that may wait about as long."""

MAX_AGE_SECONDS = 1.5
"""Age of a root beyond which its head start does not grow, so that trees that are late anyway do
not displace all others. A choice."""

SLOT_SECONDS_WEIGHT = 0.05
"""Weight of the newest request in the smoothed time that a slot is occupied. A choice: the mean
of about the last 20 requests."""

INITIAL_SLOT_SECONDS = 0.05
"""Time that a slot is taken to be occupied before any request has shown it. A choice."""

MAX_ABANDONED = 8
"""Entries of waits that have ended which are kept, beside as many as are waiting, before they
are removed: removing reads the whole queue. A choice."""


@dataclass(frozen=True, order=True, slots=True)
class Rank:
    """A place in the order; the least goes first.

    :ivar priority: of the root, 0 first.
    :ivar effective_arrival: monotonic second of arrival, put off for those that may wait.
    """

    priority: int
    effective_arrival: float


class Waiter:
    """A request that waits for a slot."""

    __slots__ = ("granted", "refused", "event")

    def __init__(self) -> None:
        self.granted = False
        self.refused = Reason.NONE
        self.event = Event()

    def refuse(self, reason: Reason) -> None:
        """End the wait without a slot."""
        if not self.granted and self.refused is Reason.NONE:
            self.refused = reason
            self.event.set()


class Slots:
    """Counts what runs at the worker and who waits.

    :param clock: monotonic seconds.
    :ivar limit: requests that run at once.
    :ivar running: requests that run now.
    :ivar queued: requests that wait now. Each counts until it is granted a slot or its
        own task has seen that it is not; entries of the others may stand a while longer.
    :ivar slot_seconds: smoothed seconds that a request occupies its slot.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Sorted by rank, so that a place in it is found without reading it all.
        self._waiting: list[tuple[Rank, int, Waiter]] = []
        self._numbers = count()
        self.queued = 0
        self.limit = 0
        self.running = 0
        self.slot_seconds = INITIAL_SLOT_SECONDS

    def expected_wait(self, rank: Rank) -> float:
        """Return the seconds until a request of a rank would start; ``math.inf`` if never."""
        if self.running < self.limit:
            return 0.0
        if self.limit <= 0:
            return math.inf
        ahead = bisect_right(self._waiting, (rank,))
        return (ahead + 1) * self.slot_seconds / self.limit

    def rank(self, priority: int, wait_seconds: float, root_age: float = 0.0) -> Rank:
        """Return the place in the order of a request that comes now.

        :param root_age: seconds since the root of its call tree was taken.
        """
        patience = HURRY_WEIGHT * wait_seconds
        age = AGE_WEIGHT * min(root_age, MAX_AGE_SECONDS)
        return Rank(priority, self._clock() + patience - age)

    def acquire(
        self,
        priority: int,
        wait_seconds: float,
        on_wait: Callable[[Waiter], None],
        root_age: float = 0.0,
    ) -> Reason:
        """Take a slot, waiting up to ``wait_seconds``; NONE means it is taken.

        :param on_wait: given the waiter before the wait, so that it can be ended.
        :param root_age: seconds since the root of its call tree was taken.
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
        self._drop_abandoned()
        return waiter.refused

    def release(self, occupied_seconds: float) -> None:
        """Give a slot back.

        :param occupied_seconds: how long the request occupied it.
        """
        self.slot_seconds += SLOT_SECONDS_WEIGHT * (occupied_seconds - self.slot_seconds)
        self.running -= 1
        self._grant()

    def resize(self, limit: int) -> None:
        """Change how many may run at once."""
        self.limit = limit
        self._grant()

    def refuse_waiting(self, reason: Reason) -> None:
        """End every wait."""
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

    def _drop_abandoned(self) -> None:
        """Remove the entries of waits that have ended, once they are many."""
        if len(self._waiting) > 2 * self.queued + MAX_ABANDONED:
            self._waiting = [entry for entry in self._waiting if entry[2].refused is Reason.NONE]
