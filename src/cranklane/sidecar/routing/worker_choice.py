"""Chooses the worker that a request is sent to.

Owns the rules of the choice and the subsets of large services. Relies on ``destinations`` for
who is there, on ``cost`` for what a request costs at each, and on what each destination knows
of its saturation and ejection:

1. Only workers that are live, not yet tried, not saturated and not expired are candidates.
2. Of these, ejected ones are taken only if all are ejected.
3. The lowest cost wins; equal costs are decided at random.

A service of more than ``CHOICES`` workers is not compared as a whole. A subset is compared
first, and ``CHOICES`` more drawn at random if the best of it is not at ease. All workers are
compared only if none of these can take the request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from zlib import crc32

from cranklane.distribution.member_state import MemberState
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.routing.cost import condition_factor, cost
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations

CHOICES = 16
"""Workers that are compared in a large service. A choice: the best of them is hardly worse than
the best of all, and a request costs the same in a service of any size."""

OWN_ZONE_CHOICES = 8
"""Workers of a subset that are of the own zone, where there are as many. A choice: half; with
the own zone alone the other zones could not help a busy one."""

WIDEN_LOAD = 0.5
"""Load (requests for each slot) of the best of a subset from which more workers are compared.
A choice: below it there is hardly any wait (``cost.expected_wait``)."""

_LIVE = MemberState.LIVE
"""Looked up once: in Python 3.11 an enum's attribute takes 0.2 us, here for each worker."""


class WorkerChoice:
    """Chooses among the destinations of a service.

    :param clock: monotonic seconds.
    :param own: name of this machine's node.
    :param zone: of this machine.
    """

    def __init__(
        self,
        destinations: Destinations,
        clock: Callable[[], float],
        random: Random,
        own: str,
        zone: str,
    ) -> None:
        self._destinations = destinations
        self._clock = clock
        self._random = random
        self._own = own
        self._zone = zone
        # Each subset with the members that it was made of.
        self._subsets: dict[str, tuple[Sequence[Destination], list[Destination]]] = {}

    def choose(self, service: str, tried: set[str], priority: int) -> Destination | None:
        """Return the destination of the next attempt, or None when there is none.

        :param tried: nodes that are left out.
        :param priority: of the root request.
        """
        now = self._clock()
        members = self._destinations.members(service)
        if len(members) <= CHOICES:
            return self._best(members, tried, priority, now)
        best = self._best(self._subset_of(service), tried, priority, now)
        if best is not None and is_at_ease(best, now):
            return best
        drawn = self._random.sample(members, CHOICES)
        if best is not None:
            drawn.append(best)
        return self._best(drawn, tried, priority, now) or self._best(members, tried, priority, now)

    def isolated_run_destination(
        self, service: str, identity: Identity, tried: set[str]
    ) -> Destination | None:
        """Return the destination that runs a suspected request in isolation, or None.

        All senders that know the same workers name the same one (rendezvous hashing), and
        suspects are spread over all workers.
        """
        now = self._clock()
        live = [
            item
            for item in self._destinations.members(service)
            if item.state is _LIVE and item.node not in tried and item.ejected_until <= now
        ]
        return max(live, key=lambda item: crc32(identity + item.node.encode()), default=None)

    def all_saturated(self, service: str, priority: int) -> bool:
        """Return whether every live worker has just refused for lack of capacity.

        :param priority: of the root request; what refusals of more important ones say counts.
        """
        now = self._clock()
        live = [item for item in self._destinations.members(service) if item.state is _LIVE]
        return bool(live) and all(item.is_saturated(now, priority) for item in live)

    def _best(
        self, members: Sequence[Destination], tried: set[str], priority: int, now: float
    ) -> Destination | None:
        """Return the candidate of the lowest cost."""
        candidates = [
            item
            for item in members
            if item.state is _LIVE
            and item.node not in tried
            and not item.is_saturated(now, priority)
            and not item.is_expired(now)
        ]
        if not candidates:
            return None
        healthy = [item for item in candidates if item.ejected_until <= now]
        zone, random = self._zone, self._random.random
        return min(healthy or candidates, key=lambda item: (cost(item, zone, now), random()))

    def _subset_of(self, service: str) -> list[Destination]:
        """Return the workers of a large service that this process turns to first.

        The same ones as long as they are there, so that connections are used again and their
        run times are learnt. Each process has others, by a hash of both names: at 195 callers
        of 93 workers the most covered worker is in at most 1.5 times as many subsets as the
        mean (tests/test_subsets.py).
        """
        members = self._destinations.members(service)
        known = self._subsets.get(service)
        if known is not None and known[0] is members:
            return known[1]
        ranked = sorted(members, key=self._rank)
        near = [item for item in ranked if item.zone == self._zone][:OWN_ZONE_CHOICES]
        far = [item for item in ranked if item.zone != self._zone]
        subset = near + far[: CHOICES - len(near)]
        self._subsets[service] = (members, subset)
        return subset

    def _rank(self, item: Destination) -> int:
        return crc32(f"{self._own}/{item.node}".encode())


def is_at_ease(item: Destination, now: float) -> bool:
    """Return whether there is no need to look for a better destination than this one."""
    return (
        item.load() < WIDEN_LOAD
        and item.ejected_until <= now
        and condition_factor(item, now) <= 1.0
    )
