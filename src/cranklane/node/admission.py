"""Admits calls to the worker: each gets a slot, waits for one, or is refused.

Owns the exact count of calls in the worker and the queue before it. Relies on
:mod:`~cranklane.node.admission_rule` for the decisions, on
:mod:`~cranklane.node.fair_queue` for the order of those that wait, and on
:mod:`~cranklane.node.concurrency` for how many run at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from cranklane.node import retry_after
from cranklane.node.admission_rule import expected_wait, is_overloaded, refusal_at_once
from cranklane.node.concurrency import ConcurrencyLimit
from cranklane.node.fair_queue import FairQueue, Waiting
from cranklane.node.refusal_memory import RefusalMemory
from cranklane.outcome import Criticality, Reason

DEFAULT_SLOTS = 8
"""Calls that run at once before the first configuration. A choice: a small worker's."""

DEFAULT_QUEUE_SIZE = 64
"""Calls that may wait before the first configuration. A choice: eight for each slot."""

OnWait = Callable[[Callable[[Reason], Any]], Any]
"""Takes a function that withdraws the call while it waits, for the reason given to it."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call does not run.

    :ivar retry_after_ms: milliseconds after which it may be retried; 0 states none.
    """

    reason: Reason
    retry_after_ms: int = 0


@dataclass(slots=True, eq=False)
class Slot:
    """One of the worker's slots, taken by a call until released.

    :ivar since: monotonic second at which it was taken.
    """

    tenant: str
    criticality: Criticality
    since: float


class Admission:
    """Exact count of calls in the worker, and the queue before it.

    :param clock: monotonic seconds.
    :param share_of: returns a tenant's weight against others.
    :ivar in_flight: calls in the worker.
    :ivar draining: when True every new call is refused.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        share_of: Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._share_of = share_of
        self._queue = FairQueue(share_of)
        self._queue_size = DEFAULT_QUEUE_SIZE
        self._in_flight: dict[str, int] = {}
        self._last_empty = clock()
        self._refusals = RefusalMemory(clock)
        self.concurrency = ConcurrencyLimit(DEFAULT_SLOTS)
        self.in_flight = 0
        self.draining = False

    def configure(self, slots: int, queue_size: int) -> None:
        """Take new limits; calls that wait or run are not touched."""
        self.concurrency.set_slots(slots)
        self._queue_size = queue_size
        self._start_waiting()

    @property
    def queued(self) -> int:
        """Calls that wait now."""
        return self._queue.size

    def expected_wait(self) -> float:
        """Return the seconds a new call would wait, of any tenant."""
        if self.in_flight < self.concurrency.limit:
            return 0.0
        return expected_wait(
            self._queue.size, self.concurrency.service_time, self.concurrency.limit
        )

    def admit(
        self,
        tenant: str,
        criticality: Criticality,
        deadline: float,
        on_wait: OnWait | None = None,
    ) -> Result[Slot, Refusal]:
        """Return a slot, waiting for one if need be, or a refusal.

        :param deadline: monotonic second after which nobody waits.
        :param on_wait: called once the call waits.
        """
        now = self._clock()
        free = self.in_flight < self.concurrency.limit and not self._queue.size
        wait = None if free else self._wait_for(tenant, criticality)
        reason = refusal_at_once(self.draining, deadline - now, wait, self.concurrency.likely_time)
        if reason is Reason.DRAINING:
            return Err(Refusal(reason, retry_after.DRAINING_MS))
        if reason is Reason.DEADLINE_PASSED:
            return Err(Refusal(reason))
        if reason is not None:
            return Err(self._refuse(tenant, criticality, reason))
        if free:
            self._last_empty = now
            return Ok(self._occupy(tenant, criticality))
        return self._wait(tenant, criticality, deadline, on_wait)

    def _wait_for(self, tenant: str, criticality: Criticality) -> float:
        """Return the seconds a new call waits, given its tenant's share of the slots."""
        others = [name for name in self._queue.tenants() if name != tenant]
        own = self._share_of(tenant)
        total = own + sum(self._share_of(name) for name in others)
        slots = max(1.0, self.concurrency.limit * own / total)
        ahead = self._queue.ahead_of(tenant, criticality)
        return expected_wait(ahead, self.concurrency.service_time, slots)

    def _wait(
        self,
        tenant: str,
        criticality: Criticality,
        deadline: float,
        on_wait: OnWait | None,
    ) -> Result[Slot, Refusal]:
        settled: AsyncResult = AsyncResult()
        call = Waiting(tenant, criticality, deadline, self._clock(), settled.set)
        if self._queue.size >= self._queue_size and not self._evict_for(call):
            return Err(self._refuse(tenant, criticality, Reason.QUEUE_FULL))
        self._queue.add(call)
        if on_wait is not None:
            on_wait(lambda reason: self._withdraw(call, reason))
        try:
            reason = settled.get(timeout=deadline - self._clock())
        except gevent.Timeout:
            # A slot given in the same moment stands: whoever takes the call out
            # of the queue decides.
            self._withdraw(call, Reason.DEADLINE_PASSED)
            reason = settled.get()
        if reason is Reason.NONE:
            return Ok(Slot(tenant, criticality, self._clock()))
        return Err(self._refuse(tenant, criticality, reason))

    def _evict_for(self, newcomer: Waiting) -> bool:
        victim = self._queue.victim(newcomer, self._in_flight)
        if victim is None:
            return False
        return self._withdraw(victim, Reason.QUEUE_EVICTED)

    def _withdraw(self, call: Waiting, reason: Reason) -> bool:
        if not self._queue.remove(call):
            return False
        call.settle(reason)
        return True

    def _refuse(self, tenant: str, criticality: Criticality, reason: Reason) -> Refusal:
        if reason is not Reason.CANCELLED:
            self._refusals.refused(tenant, criticality)
        return Refusal(reason, retry_after.after_queue(self._wait_for(tenant, criticality)))

    def refused_below(self, tenant: str) -> int:
        """Return one more than the highest criticality refused lately, or 0."""
        return self._refusals.refused_below(tenant)

    def _occupy(self, tenant: str, criticality: Criticality) -> Slot:
        self._count(tenant)
        return Slot(tenant, criticality, self._clock())

    def _count(self, tenant: str) -> None:
        self.in_flight += 1
        self._in_flight[tenant] = self._in_flight.get(tenant, 0) + 1

    def release(self, slot: Slot, ran: bool) -> None:
        """Give a slot back and start the next waiting call.

        :param ran: whether the worker ran the call, so that its time counts.
        """
        self.in_flight -= 1
        left = self._in_flight[slot.tenant] - 1
        if left:
            self._in_flight[slot.tenant] = left
        else:
            del self._in_flight[slot.tenant]
        if ran:
            self.concurrency.finished(self._clock() - slot.since)
        self._start_waiting()

    def _start_waiting(self) -> None:
        now = self._clock()
        if not self._queue.size:
            self._last_empty = now
        while self.in_flight < self.concurrency.limit:
            newest_first = is_overloaded(now, self._last_empty)
            call = self._queue.take(self._in_flight, newest_first)
            if call is None:
                return
            if call.deadline <= now + self.concurrency.likely_time:
                call.settle(Reason.DEADLINE_TOO_NEAR)
                continue
            self._count(call.tenant)
            call.settle(Reason.NONE)
