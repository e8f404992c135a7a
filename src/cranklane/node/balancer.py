"""Chooses the node that gets a call.

Owns the rule and its constants; relies on :mod:`~cranklane.node.ejection` for who is left
out. The sidecar chooses by another rule (:mod:`~cranklane.sidecar.routing.worker_choice`): it
also weighs a worker's health and the cost of another zone.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from cranklane.distribution.member_state import MemberState
from cranklane.node.ejection import without_ejected
from cranklane.node.members import MemberView

SLOW_START_SECONDS = 10.0
"""Seconds until a member new to this node counts as warm. A choice: caches and connection
pools of a worker fill within seconds."""

MIN_WARMTH = 0.1
"""Warmth of a member that has just come: its load counts ten times. A choice: it gets some
calls at once, so that it can warm up."""

SPILL_LOAD = 1.0
"""Calls for each slot in the own zone from which other zones are used too. A choice: at 1
every member there has all its slots taken."""

IDLE_LOAD = 0.01
"""Added to each load, so that warmth tells idle members apart. A choice: far below the load
of one call."""


class Balancer:
    """Less loaded of two random members, in the own zone while that has capacity.

    Members are new to a process that has just started; all those that it first sees within
    :data:`SLOW_START_SECONDS` of its own start count as warm.

    :param clock: monotonic seconds.
    :param zone: the own zone.
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
        candidates = without_ejected(live, self._clock())
        if not candidates:
            return None
        near = [member for member in candidates if member.zone == self._zone]
        if near and min(member.load() for member in near) < SPILL_LOAD:
            candidates = near
        return self._better_of_two(candidates)

    def _better_of_two(self, candidates: Sequence[MemberView]) -> MemberView:
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
