"""Queue of the calls that wait for one of the worker's slots.

Tenants share the slots by weighted max-min fairness: the next slot goes to the queued tenant
with the fewest slots relative to its share. Within a tenant, calls are ordered by criticality
and then by age: oldest first, or newest first under overload, when old calls would miss their
deadlines.

:mod:`~cranklane.node.admission` counts the running calls.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cranklane.outcome import Criticality, Reason


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A call in the queue.

    :ivar deadline: the call's deadline in monotonic seconds.
    :ivar queued_at: monotonic second at which the call was queued.
    :ivar settle: called once, with NONE if the call gets a slot, else with the refusal reason.
    """

    tenant: str
    criticality: Criticality
    deadline: float
    queued_at: float
    settle: Callable[[Reason], None]


@dataclass(slots=True)
class _TenantQueue:
    levels: dict[Criticality, OrderedDict[int, QueuedCall]] = field(
        default_factory=lambda: {level: OrderedDict() for level in Criticality}
    )
    size: int = 0


class FairQueue:
    """Queued calls by tenant and criticality.

    :param share_of: returns a tenant's weight.
    :ivar size: number of queued calls.
    """

    def __init__(self, share_of: Callable[[str], int]) -> None:
        self._share_of = share_of
        self._tenants: dict[str, _TenantQueue] = {}
        self.size = 0

    def add(self, call: QueuedCall) -> None:
        """Add a call to the queue."""
        queue = self._tenants.setdefault(call.tenant, _TenantQueue())
        queue.levels[call.criticality][id(call)] = call
        queue.size += 1
        self.size += 1

    def remove(self, call: QueuedCall) -> bool:
        """Remove a call; return False if it is no longer queued."""
        queue = self._tenants.get(call.tenant)
        if queue is None or queue.levels[call.criticality].pop(id(call), None) is None:
            return False
        queue.size -= 1
        self.size -= 1
        if not queue.size:
            del self._tenants[call.tenant]
        return True

    def take(self, in_flight: dict[str, int], newest_first: bool) -> QueuedCall | None:
        """Remove and return the call that gets the next slot.

        :param in_flight: number of occupied slots by tenant.
        :param newest_first: whether the newest of equally critical calls goes first.
        """
        if not self._tenants:
            return None
        tenant = min(self._tenants, key=lambda name: in_flight.get(name, 0) / self._share_of(name))
        queue = self._tenants[tenant]
        for level in sorted(Criticality, reverse=True):
            calls = queue.levels[level]
            if calls:
                key = next(reversed(calls)) if newest_first else next(iter(calls))
                call = calls[key]
                self.remove(call)
                return call
        return None

    def victim(self, new_call: QueuedCall, in_flight: dict[str, int]) -> QueuedCall | None:
        """Return the queued call to evict for a new call, or None.

        The victim belongs to the tenant with the most queued and running calls relative to
        its share, including the new call. A call of the new call's own tenant is evicted only
        if it has a lower criticality.
        """

        heaviest = self._heaviest(new_call.tenant, in_flight)
        queue = self._tenants.get(heaviest)
        if queue is None:
            return None
        for level in Criticality:
            if heaviest == new_call.tenant and level >= new_call.criticality:
                return None
            if queue.levels[level]:
                return next(iter(queue.levels[level].values()))
        return None

    def _heaviest(self, new_tenant: str, in_flight: dict[str, int]) -> str:
        """Return the tenant with the most calls relative to its share; on a tie, ``new_tenant``."""

        def load(name: str) -> float:
            queued = self._tenants[name].size if name in self._tenants else 0
            queued += 1 if name == new_tenant else 0
            return (queued + in_flight.get(name, 0)) / self._share_of(name)

        heaviest = max(sorted({*self._tenants, new_tenant}), key=load)
        return heaviest if load(heaviest) > load(new_tenant) else new_tenant

    def count_ahead(self, tenant: str, criticality: Criticality) -> int:
        """Return how many queued calls of a tenant go before a new one."""
        queue = self._tenants.get(tenant)
        if queue is None:
            return 0
        return sum(len(queue.levels[level]) for level in Criticality if level >= criticality)

    def tenants(self) -> list[str]:
        """Return the tenants with queued calls."""
        return list(self._tenants)

    def __iter__(self) -> Iterator[QueuedCall]:
        for queue in list(self._tenants.values()):
            for calls in queue.levels.values():
                yield from list(calls.values())
