"""Load balancing: chooses the destination node of an attempt.

:mod:`~cranklane.node.ejection` excludes failing members. The sidecar's balancer is
:mod:`~cranklane.sidecar.routing.worker_choice`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from cranklane.distribution.member_state import MemberState
from cranklane.node.ejection import without_ejected
from cranklane.node.members import MemberView

SLOW_START_SECONDS = 10.0
"""Seconds after which a new member gets its full share of calls. Long enough for a worker to
fill its caches and connection pools."""

MIN_WARMTH = 0.1
"""Initial warmth of a new member, by which its load is divided. Above zero, so that the member
gets some calls to warm up with."""

SPILLOVER_LOAD = 1.0
"""Calls per slot of the least loaded local member above which other zones are used too. At 1.0
every local slot is taken."""

IDLE_LOAD = 0.01
"""Added to each load, so that idle members are ranked by warmth. Far below the load of one
call."""


class Balancer:
    """Chooses the less loaded of two random members, in the local zone while it has capacity.

    New members are warmed up with fewer calls. Members first seen within
    :data:`SLOW_START_SECONDS` of this process's start count as warm, because the process
    cannot know their age.

    :param clock: returns monotonic seconds.
    :param zone: the local zone.
    """

    def __init__(self, clock: Callable[[], float], random: Random, zone: str) -> None:
        self._clock = clock
        self._random = random
        self._zone = zone
        self._started = clock()

    def choose(
        self, members: Sequence[MemberView], excluded: frozenset[str] = frozenset()
    ) -> MemberView | None:
        """Return the member for the next attempt, or None if none is available.

        :param excluded: names of members already tried for this call.
        """
        live = [
            member
            for member in members
            if member.state is MemberState.LIVE and member.node not in excluded
        ]
        candidates = without_ejected(live, self._clock())
        if not candidates:
            return None
        local_members = [member for member in candidates if member.zone == self._zone]
        if local_members and min(member.load() for member in local_members) < SPILLOVER_LOAD:
            candidates = local_members
        return self._less_loaded_of_two(candidates)

    def _less_loaded_of_two(self, candidates: Sequence[MemberView]) -> MemberView:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return min(first, second, key=self._score)

    def _score(self, member: MemberView) -> tuple[float, float]:
        return (member.load() + IDLE_LOAD) / self._warmth(member), member.latency

    def _warmth(self, member: MemberView) -> float:
        if member.first_seen - self._started < SLOW_START_SECONDS:
            return 1.0
        age = self._clock() - member.first_seen
        return min(1.0, max(MIN_WARMTH, age / SLOW_START_SECONDS))
