"""Admission control for the worker: each call gets a slot, is queued, or is refused.

Counts the calls in the worker. :mod:`~cranklane.node.admission_rule` decides on refusals,
:mod:`~cranklane.node.fair_queue` orders the queued calls, and
:mod:`~cranklane.node.concurrency` limits the calls that run concurrently.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from cranklane.node import retry_after
from cranklane.node.admission_rule import expected_wait, immediate_refusal, is_overloaded
from cranklane.node.concurrency import ConcurrencyLimit
from cranklane.node.fair_queue import FairQueue, QueuedCall
from cranklane.node.recent_refusals import RecentRefusals
from cranklane.outcome import Criticality, Reason

DEFAULT_SLOTS = 8
"""Concurrent calls allowed before the first configuration arrives."""

DEFAULT_QUEUE_SIZE = 64
"""Queued calls allowed before the first configuration arrives."""

OnWait = Callable[[Callable[[Reason], Any]], Any]
"""Receives a function that removes the queued call, with the reason as its argument."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call.

    :ivar retry_after_ms: milliseconds before a retry; 0 when the refusal states no delay.
    """

    reason: Reason
    retry_after_ms: int = 0


@dataclass(slots=True, eq=False)
class Slot:
    """One of the worker's slots, held by a call until released.

    :ivar acquired_at: monotonic second at which the call got the slot.
    """

    tenant: str
    criticality: Criticality
    acquired_at: float


class Admission:
    """Slots and queue of one worker.

    :param clock: returns monotonic seconds.
    :param share_of: returns a tenant's weight.
    :ivar in_flight: calls in the worker.
    :ivar draining: True to refuse every new call.
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
        self._refusals = RecentRefusals(clock)
        self.concurrency = ConcurrencyLimit(DEFAULT_SLOTS)
        self.in_flight = 0
        self.draining = False

    def configure(self, slots: int, queue_size: int) -> None:
        """Set new limits; queued and running calls continue."""
        self.concurrency.set_slots(slots)
        self._queue_size = queue_size
        self._start_queued()

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return self._queue.size

    def expected_wait(self) -> float:
        """Return the estimated queueing delay of a new call in seconds, for any tenant."""
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
        """Return a slot or a refusal; block while the call is queued.

        :param deadline: the call's deadline in monotonic seconds.
        :param on_wait: called when the call has been queued.
        """
        now = self._clock()
        free = self.in_flight < self.concurrency.limit and not self._queue.size
        wait = None if free else self._tenant_wait(tenant, criticality)
        reason = immediate_refusal(
            self.draining, deadline - now, wait, self.concurrency.likely_service_time
        )
        if reason is Reason.DRAINING:
            return Err(Refusal(reason, retry_after.DRAINING_MS))
        if reason is Reason.DEADLINE_PASSED:
            return Err(Refusal(reason))
        if reason is not None:
            return Err(self._refuse(tenant, criticality, reason))
        if free:
            self._last_empty = now
            return Ok(self._acquire_slot(tenant, criticality))
        return self._wait_for_slot(tenant, criticality, deadline, on_wait)

    def _tenant_wait(self, tenant: str, criticality: Criticality) -> float:
        """Return a new call's estimated queueing delay in seconds, on its tenant's slots."""
        competing = [name for name in self._queue.tenants() if name != tenant]
        share = self._share_of(tenant)
        total = share + sum(self._share_of(name) for name in competing)
        slots = max(1.0, self.concurrency.limit * share / total)
        ahead = self._queue.count_ahead(tenant, criticality)
        return expected_wait(ahead, self.concurrency.service_time, slots)

    def _wait_for_slot(
        self,
        tenant: str,
        criticality: Criticality,
        deadline: float,
        on_wait: OnWait | None,
    ) -> Result[Slot, Refusal]:
        settled: AsyncResult = AsyncResult()
        call = QueuedCall(tenant, criticality, deadline, self._clock(), settled.set)
        if self._queue.size >= self._queue_size and not self._evict_for(call):
            return Err(self._refuse(tenant, criticality, Reason.QUEUE_FULL))
        self._queue.add(call)
        if on_wait is not None:
            on_wait(lambda reason: self._withdraw(call, reason))
        try:
            reason = settled.get(timeout=deadline - self._clock())
        except gevent.Timeout:
            # The call may have got a slot or a refusal at the same moment. Whichever code
            # removes it from the queue sets the result.
            self._withdraw(call, Reason.DEADLINE_PASSED)
            reason = settled.get()
        if reason is Reason.NONE:
            return Ok(Slot(tenant, criticality, self._clock()))
        return Err(self._refuse(tenant, criticality, reason))

    def _evict_for(self, new_call: QueuedCall) -> bool:
        victim = self._queue.victim(new_call, self._in_flight)
        if victim is None:
            return False
        return self._withdraw(victim, Reason.QUEUE_EVICTED)

    def _withdraw(self, call: QueuedCall, reason: Reason) -> bool:
        if not self._queue.remove(call):
            return False
        call.settle(reason)
        return True

    def _refuse(self, tenant: str, criticality: Criticality, reason: Reason) -> Refusal:
        if reason is not Reason.CANCELLED:
            self._refusals.record(tenant, criticality)
        return Refusal(reason, retry_after.after_queue(self._tenant_wait(tenant, criticality)))

    def refused_below(self, tenant: str) -> int:
        """Return one more than the highest criticality recently refused to a tenant, or 0."""
        return self._refusals.refused_below(tenant)

    def _acquire_slot(self, tenant: str, criticality: Criticality) -> Slot:
        self._count_call(tenant)
        return Slot(tenant, criticality, self._clock())

    def _count_call(self, tenant: str) -> None:
        self.in_flight += 1
        self._in_flight[tenant] = self._in_flight.get(tenant, 0) + 1

    def release(self, slot: Slot, ran: bool) -> None:
        """Release a slot and start the next queued calls.

        :param ran: whether the worker ran the call; if so, its service time is recorded.
        """
        self.in_flight -= 1
        tenant_in_flight = self._in_flight[slot.tenant] - 1
        if tenant_in_flight:
            self._in_flight[slot.tenant] = tenant_in_flight
        else:
            del self._in_flight[slot.tenant]
        if ran:
            self.concurrency.finished(self._clock() - slot.acquired_at)
        self._start_queued()

    def _start_queued(self) -> None:
        now = self._clock()
        if not self._queue.size:
            self._last_empty = now
        while self.in_flight < self.concurrency.limit:
            newest_first = is_overloaded(now, self._last_empty)
            call = self._queue.take(self._in_flight, newest_first)
            if call is None:
                return
            if call.deadline <= now + self.concurrency.likely_service_time:
                call.settle(Reason.DEADLINE_TOO_NEAR)
                continue
            self._count_call(call.tenant)
            call.settle(Reason.NONE)
