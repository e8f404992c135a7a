"""Load balancing: selects the worker for each request.

1. Candidates are the workers that are live, untried, unsaturated and unexpired.
2. Ejected candidates are excluded unless all are ejected; then those that limit their requests
   and whose next turn is still to come are excluded, unless all remaining ones do.
3. The candidate with the lowest cost (``cost``) is selected; ties are broken at random.

For services with more than ``SUBSET_SIZE`` workers, this applies first to a fixed subset. If
its best worker is loaded, ejected or in bad condition, ``SUBSET_SIZE`` randomly sampled workers
are added. All workers are compared only if none of these is a candidate.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple
from zlib import crc32

from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.routing.cost import condition_factor, cost
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations

SUBSET_SIZE = 16
"""Workers compared per selection in a large service, which bounds the work per request. The best of
16 is hardly worse than the best of all."""

SUBSET_LOCAL_ZONE_SIZE = 8
"""Maximum number of local-zone workers in a subset. The rest are in other zones, which can
then take load from a busy local zone."""

WIDEN_LOAD_THRESHOLD = 0.5
"""Load, in requests per slot, of a subset's best worker from which more workers are compared.
Below it, ``cost.expected_wait`` is close to zero."""

_LIVE = MemberState.LIVE
"""Cached because enum attribute lookup is slow and this is compared for each worker."""


class Saturation(NamedTuple):
    """Saturation of a worker.

    :ivar reason: reason of the refusal that began it.
    :ivar seconds: remaining time.
    """

    reason: Reason
    seconds: float


class WorkerChoice:
    """Selects among the destinations of a service.

    :param clock: returns monotonic time in seconds.
    :param node_name: name of the local node.
    :param zone: zone of the local node.
    """

    def __init__(
        self,
        destinations: Destinations,
        clock: Callable[[], float],
        random: Random,
        node_name: str,
        zone: str,
    ) -> None:
        self._destinations = destinations
        self._clock = clock
        self._random = random
        self._node_name = node_name
        self._zone = zone
        # Members and the subset computed from them, by service.
        self._subsets: dict[str, tuple[Sequence[Destination], list[Destination]]] = {}

    def choose(self, service: str, tried: set[str], rank: int) -> Destination | None:
        """Return the destination of the next attempt, or None if there is no candidate.

        :param tried: names of nodes to exclude.
        :param rank: rank of the call tree.
        """
        now = self._clock()
        members = self._destinations.members(service)
        if len(members) <= SUBSET_SIZE:
            return self._best(members, tried, rank, now)
        best = self._best(self._subset_of(service), tried, rank, now)
        if best is not None and is_lightly_loaded_and_healthy(best, now):
            return best
        sampled = self._random.sample(members, SUBSET_SIZE)
        if best is not None:
            sampled.append(best)
        return self._best(sampled, tried, rank, now) or self._best(members, tried, rank, now)

    def isolated_run_destination(
        self, service: str, identity: Identity, tried: set[str]
    ) -> Destination | None:
        """Return the destination that runs a suspected request in isolation, or None.

        Uses rendezvous hashing: sidecars with the same member list select the same worker for
        a request, and different requests are spread over all workers.
        """
        now = self._clock()
        live = [
            worker
            for worker in self._destinations.members(service)
            if worker.state is _LIVE and worker.node not in tried and worker.ejected_until <= now
        ]
        return max(live, key=lambda worker: crc32(identity + worker.node.encode()), default=None)

    def all_saturated(self, service: str, rank: int) -> bool:
        """Return whether every live worker is saturated for a rank.

        :param rank: rank of the call tree.
        """
        now = self._clock()
        live = [worker for worker in self._destinations.members(service) if worker.state is _LIVE]
        return bool(live) and all(worker.is_saturated(now, rank) for worker in live)

    def first_saturation(self, service: str) -> Saturation:
        """Return the saturation that ends first, of a service whose live workers are saturated."""
        now = self._clock()
        live = (worker for worker in self._destinations.members(service) if worker.state is _LIVE)
        first = min(live, key=lambda worker: worker.saturated_until)
        return Saturation(first.saturated_reason, max(0.0, first.saturated_until - now))

    def _best(
        self, members: Sequence[Destination], tried: set[str], rank: int, now: float
    ) -> Destination | None:
        """Return the candidate with the lowest cost, or None."""
        candidates = [
            worker
            for worker in members
            if worker.state is _LIVE
            and worker.node not in tried
            and not worker.is_saturated(now, rank)
            and not worker.is_expired(now)
        ]
        if not candidates:
            return None
        candidates = [worker for worker in candidates if worker.ejected_until <= now] or candidates
        candidates = [worker for worker in candidates if worker.paused_until <= now] or candidates
        zone, random = self._zone, self._random.random
        return min(candidates, key=lambda worker: (cost(worker, zone, now), random()))

    def _subset_of(self, service: str) -> list[Destination]:
        """Return the subset of a large service's workers that this sidecar prefers.

        The subset changes only with the members, so that connections are reused and run times
        accumulate. Sidecars have different subsets, by a hash of the node names of sidecar and
        worker, which together cover all workers evenly.
        """
        members = self._destinations.members(service)
        cached = self._subsets.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        ranked = sorted(members, key=self._rendezvous_rank)
        local = [worker for worker in ranked if worker.zone == self._zone][:SUBSET_LOCAL_ZONE_SIZE]
        remote = [worker for worker in ranked if worker.zone != self._zone]
        subset = local + remote[: SUBSET_SIZE - len(local)]
        self._subsets[service] = (members, subset)
        return subset

    def _rendezvous_rank(self, destination: Destination) -> int:
        return crc32(f"{self._node_name}/{destination.node}".encode())


def is_lightly_loaded_and_healthy(destination: Destination, now: float) -> bool:
    """Return whether a destination is lightly loaded, not ejected and in good condition."""
    return (
        destination.load() < WIDEN_LOAD_THRESHOLD
        and destination.ejected_until <= now
        and condition_factor(destination, now) <= 1.0
    )
