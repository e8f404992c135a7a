"""The queue of calls that wait for one of the worker's slots.

Tenants share the slots by weighted max-min: the next slot goes to the waiting
tenant that has the fewest slots for its share. Within a tenant the higher
criticality goes first, and within that the oldest call, or the newest once the
queue is overloaded: an old call has little time left and would be wasted work.

Owns the waiting calls; :mod:`~cranklane.node.admission` counts those that run.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cranklane.outcome import Criticality, Reason


@dataclass(slots=True, eq=False)
class Waiting:
    """One call in the queue.

    :ivar deadline: monotonic second after which nobody waits.
    :ivar settle: called once, with NONE when the call gets a slot, else the reason.
    """

    tenant: str
    criticality: Criticality
    deadline: float
    since: float
    settle: Callable[[Reason], None]


@dataclass(slots=True)
class _TenantQueue:
    levels: dict[Criticality, OrderedDict[int, Waiting]] = field(
        default_factory=lambda: {level: OrderedDict() for level in Criticality}
    )
    size: int = 0


class FairQueue:
    """Waiting calls by tenant and criticality.

    :param share_of: returns a tenant's weight.
    :ivar size: calls that wait.
    """

    def __init__(self, share_of: Callable[[str], int]) -> None:
        self._share_of = share_of
        self._tenants: dict[str, _TenantQueue] = {}
        self.size = 0

    def add(self, call: Waiting) -> None:
        """Let a call wait."""
        queue = self._tenants.setdefault(call.tenant, _TenantQueue())
        queue.levels[call.criticality][id(call)] = call
        queue.size += 1
        self.size += 1

    def remove(self, call: Waiting) -> bool:
        """Withdraw a call; return False when it no longer waits."""
        queue = self._tenants.get(call.tenant)
        if queue is None or queue.levels[call.criticality].pop(id(call), None) is None:
            return False
        queue.size -= 1
        self.size -= 1
        if not queue.size:
            del self._tenants[call.tenant]
        return True

    def take(self, in_flight: dict[str, int], newest_first: bool) -> Waiting | None:
        """Remove and return the call that gets the next slot.

        :param in_flight: slots taken now, by tenant.
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

    def victim(self, newcomer: Waiting, in_flight: dict[str, int]) -> Waiting | None:
        """Return the waiting call that must give way to a newcomer, if any.

        The tenant with the most waiting and running calls for its share gives
        way, the newcomer counted with its own; within a tenant only a lower
        criticality gives way.
        """

        heaviest = self._heaviest(newcomer.tenant, in_flight)
        queue = self._tenants.get(heaviest)
        if queue is None:
            return None
        for level in Criticality:
            if heaviest == newcomer.tenant and level >= newcomer.criticality:
                return None
            if queue.levels[level]:
                return next(iter(queue.levels[level].values()))
        return None

    def _heaviest(self, newcomer: str, in_flight: dict[str, int]) -> str:
        """Return the tenant that has the most calls for its share; of equals the newcomer's."""

        def load(name: str) -> float:
            waiting = self._tenants[name].size if name in self._tenants else 0
            waiting += 1 if name == newcomer else 0
            return (waiting + in_flight.get(name, 0)) / self._share_of(name)

        heaviest = max(sorted({*self._tenants, newcomer}), key=load)
        return heaviest if load(heaviest) > load(newcomer) else newcomer

    def ahead_of(self, tenant: str, criticality: Criticality) -> int:
        """Return how many calls of the tenant go before a newcomer's."""
        queue = self._tenants.get(tenant)
        if queue is None:
            return 0
        return sum(len(queue.levels[level]) for level in Criticality if level >= criticality)

    def tenants(self) -> list[str]:
        """Return the tenants with waiting calls."""
        return list(self._tenants)

    def __iter__(self) -> Iterator[Waiting]:
        for queue in list(self._tenants.values()):
            for calls in queue.levels.values():
                yield from list(calls.values())
