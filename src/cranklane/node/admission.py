"""Decides which calls the worker gets, which wait, and which are refused."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from cranklane.node.concurrency import ConcurrencyLimit
from cranklane.node.fair_queue import FairQueue, Waiting
from cranklane.outcome import Criticality, Reason

OVERLOADED_AFTER = 0.2
"""Seconds without an empty queue after which the newest call goes first."""

REFUSAL_MEMORY = 1.0
"""Seconds a refusal is told to callers, so that they refuse early."""

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call does not run, and when to come back."""

    reason: Reason
    retry_after_ms: int = 0


@dataclass(slots=True, eq=False)
class Slot:
    """One of the worker's slots, held for a call until released."""

    tenant: str
    criticality: Criticality
    since: float


class Admission:
    """Exact count of calls in the worker, and the queue before it.

    :param clock: monotonic seconds.
    :param share_of: a tenant's weight.
    :param slots: the worker's stated concurrency.
    :param queue_size: most calls that may wait.
    :ivar draining: when True every new call is refused.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        share_of: Callable[[str], int],
        slots: int = 8,
        queue_size: int = 64,
    ) -> None:
        self._clock = clock
        self._share_of = share_of
        self._queue = FairQueue(share_of)
        self._queue_size = queue_size
        self._in_flight: dict[str, int] = {}
        self._last_empty = clock()
        self._refused: dict[tuple[str, Criticality], float] = {}
        self.concurrency = ConcurrencyLimit(slots)
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
        turn = self.concurrency.service_time / self.concurrency.limit
        return (self._queue.size + 1) * turn

    def admit(
        self,
        tenant: str,
        criticality: Criticality,
        deadline: float,
        on_wait: Callable[[Callable[[Reason], Any]], Any] | None = None,
    ) -> Result[Slot, Refusal]:
        """Return a slot, waiting for one if need be, or a refusal at once.

        :param deadline: monotonic second after which nobody waits.
        :param on_wait: given a function that withdraws the call while it waits.
        """
        now = self._clock()
        if self.draining:
            return Err(Refusal(Reason.DRAINING, MIN_RETRY_AFTER_MS))
        if deadline <= now:
            return Err(Refusal(Reason.DEADLINE_PASSED))
        if self.in_flight < self.concurrency.limit and not self._queue.size:
            self._last_empty = now
            return Ok(self._occupy(tenant, criticality))
        if self._wait_for(tenant, criticality) + self.concurrency.likely_time > deadline - now:
            return Err(self._refuse(tenant, criticality, Reason.DEADLINE_TOO_NEAR))
        return self._wait(tenant, criticality, deadline, on_wait)

    def _wait_for(self, tenant: str, criticality: Criticality) -> float:
        """Return the seconds a newcomer waits, given its tenant's share of the slots."""
        others = [name for name in self._queue.tenants() if name != tenant]
        own = self._share_of(tenant)
        total = own + sum(self._share_of(name) for name in others)
        slots = max(1.0, self.concurrency.limit * own / total)
        ahead = self._queue.ahead_of(tenant, criticality)
        return (ahead + 1) * self.concurrency.service_time / slots

    def _wait(
        self,
        tenant: str,
        criticality: Criticality,
        deadline: float,
        on_wait: Callable[[Callable[[Reason], Any]], Any] | None,
    ) -> Result[Slot, Refusal]:
        settled: AsyncResult = AsyncResult()
        call = Waiting(tenant, criticality, deadline, self._clock(), settled.set)
        if self._queue.size >= self._queue_size and not self._make_room(call):
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

    def _make_room(self, newcomer: Waiting) -> bool:
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
            self._refused[tenant, criticality] = self._clock()
        wait_ms = int(self._wait_for(tenant, criticality) * 1000)
        return Refusal(reason, min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))

    def refused_below(self, tenant: str) -> int:
        """Return one more than the highest criticality refused lately, or 0."""
        oldest = self._clock() - REFUSAL_MEMORY
        levels = [
            level + 1
            for level in Criticality
            if self._refused.get((tenant, level), oldest) > oldest
        ]
        return max(levels, default=0)

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
        held = self._in_flight[slot.tenant] - 1
        if held:
            self._in_flight[slot.tenant] = held
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
            overloaded = now - self._last_empty > OVERLOADED_AFTER
            call = self._queue.take(self._in_flight, overloaded)
            if call is None:
                return
            if call.deadline <= now + self.concurrency.likely_time:
                call.settle(Reason.DEADLINE_TOO_NEAR)
                continue
            self._count(call.tenant)
            call.settle(Reason.NONE)
