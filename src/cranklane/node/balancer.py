"""Chooses the node that gets a call."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from cranklane.distribution.member_state import MemberState
from cranklane.node.members import MemberView

SLOW_START_SECONDS = 10.0
"""A member new to us gets its full part of the calls only after this long."""

SLOW_START_FLOOR = 0.1
SPILL_LOAD = 1.0
"""Calls for each slot in the own zone from which other zones are used too."""

EJECTED_FLOOR = 0.5
"""At least this part of a service's members is never ejected."""


class Balancer:
    """Least loaded of two random members, in the own zone while that has room.

    :param zone: the own zone.
    :param slow_start: whether members new to us warm up; off right after this
        process itself has started, when every member is new to it.
    """

    def __init__(self, clock: Callable[[], float], random: Random, zone: str) -> None:
        self._clock = clock
        self._random = random
        self._zone = zone
        self._started = clock()

    def choose(
        self, members: Sequence[MemberView], excluded: frozenset[str] = frozenset()
    ) -> MemberView | None:
        """Return the member for the next attempt, or None when there is none.

        :param excluded: names of members already tried for this call.
        """
        live = [
            member
            for member in members
            if member.state is MemberState.LIVE and member.node not in excluded
        ]
        candidates = self._without_ejected(live)
        if not candidates:
            return None
        near = [member for member in candidates if member.zone == self._zone]
        if near and min(member.load() for member in near) < SPILL_LOAD:
            candidates = near
        return self._better_of_two(candidates)

    def _without_ejected(self, members: list[MemberView]) -> list[MemberView]:
        now = self._clock()
        healthy = [member for member in members if member.ejected_until <= now]
        if len(healthy) >= len(members) * EJECTED_FLOOR:
            return healthy
        # More look broken than not: the fault is likelier on this side.
        return members

    def _better_of_two(self, candidates: list[MemberView]) -> MemberView:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return min(first, second, key=self._score)

    def _score(self, member: MemberView) -> tuple[float, float]:
        return (member.load() + 0.01) / self._warmth(member), member.latency

    def _warmth(self, member: MemberView) -> float:
        if member.first_seen - self._started < SLOW_START_SECONDS:
            return 1.0
        age = self._clock() - member.first_seen
        return min(1.0, max(SLOW_START_FLOOR, age / SLOW_START_SECONDS))
