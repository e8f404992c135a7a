"""Draws the tickets of root requests at the sidecar where they enter.

For any load: a rank is the priority in the high byte, followed by a random low byte, so that a
saturated service which takes ranks in order carries whole call trees and starves none for being
of a certain kind. While priority 0 alone fills a service, the order by rank would leave nothing to
lower priorities. A fraction of their trees is therefore ranked with priority 0: as many as it takes
for each priority to be served :data:`MIN_SERVED_RATIO` times as often as all requests. It follows
from the requests counted at this sidecar, and is 0 where no priority falls short.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cranklane.sidecar.request.tree_ticket import (
    NO_TICKET,
    RANKS_PER_PRIORITY,
    TreeTicket,
    rank_of_priority,
)

MIN_SERVED_RATIO = 0.25
"""Fraction served of each priority, relative to the fraction served of all requests."""

SERVED_RATIO_MARGIN = 1.5
"""Factor on the ratio that is aimed at. The counts lag behind the load by some seconds."""

MAX_CARRIED_FRACTION = 0.25
"""Upper bound of the fraction of trees ranked with priority 0. It bounds what priority 0 loses
while the trees ranked with it fail for other reasons than capacity."""

CARRIED_RANKS = 64
"""Ranks of priority 0 that carried trees get: the first quarter, so that they are served also while
most of priority 0 is refused, and few are needed."""

MIN_CARRIED_SERVED = 0.5
"""Lower bound of the assumed fraction served of trees ranked with priority 0."""

COUNT_SECONDS = 2.0
"""Time constant of the counts. Much longer than a call tree takes, whose result is counted."""

INITIAL_COUNT = 0.5
"""Served requests assumed at the start, so that a first failure has little
effect. More would hide that a priority is starved at a sidecar with few requests."""


@dataclass(slots=True)
class _Served:
    """Decaying counts of requests.

    :ivar offered: requests that ended.
    :ivar served: those of them that got a successful response.
    """

    offered: float = INITIAL_COUNT
    served: float = INITIAL_COUNT

    @property
    def fraction(self) -> float:
        return self.served / self.offered

    def decay(self, factor: float) -> None:
        self.offered = INITIAL_COUNT + (self.offered - INITIAL_COUNT) * factor
        self.served = INITIAL_COUNT + (self.served - INITIAL_COUNT) * factor

    def add(self, served: bool) -> None:
        self.offered += 1
        self.served += served


def carried_fraction(ordinary: float, carried: float, of_all: float) -> float:
    """Return the fraction of a priority's trees to rank with priority 0.

    :param ordinary: fraction served of the priority's trees that are ranked by their priority.
    :param carried: fraction served of those ranked with priority 0.
    :param of_all: fraction served of the requests of all priorities.

    >>> carried_fraction(1.0, 1.0, 1.0), carried_fraction(0.4, 1.0, 0.8)
    (0.0, 0.0)
    >>> round(carried_fraction(0.0, 1.0, 0.5), 3)
    0.188
    """
    missing = MIN_SERVED_RATIO * SERVED_RATIO_MARGIN * of_all - ordinary
    if missing <= 0:
        return 0.0
    return min(MAX_CARRIED_FRACTION, missing / (max(carried, MIN_CARRIED_SERVED) - ordinary))


class TicketIssuer:
    """Draws tickets and counts how often the trees of each priority are served.

    :param clock: monotonic seconds.
    :param random: random numbers of the process.
    :param enabled: whether requests get tickets; call trees without one are admitted call by call.
    """

    def __init__(self, clock: Callable[[], float], random: Random, enabled: bool = True) -> None:
        self._enabled = enabled
        self._clock = clock
        self._random = random
        self._all = _Served()
        self._ordinary: dict[int, _Served] = {}
        self._carried: dict[int, _Served] = {}
        self._decayed_at = clock()

    def draw(self, priority: int) -> TreeTicket:
        """Return the ticket of a new root request."""
        if not self._enabled:
            return NO_TICKET
        low_byte = self._random.getrandbits(8)
        fraction = self.carried_fraction(priority)
        if fraction and self._random.random() < fraction:
            return TreeTicket(low_byte % CARRIED_RANKS)
        return TreeTicket(rank_of_priority(priority) + low_byte)

    def carried_fraction(self, priority: int) -> float:
        """Return the fraction of a priority's trees that is ranked with priority 0 now."""
        ordinary = self._ordinary.get(priority)
        if priority == 0 or ordinary is None:
            return 0.0
        carried = self._carried[priority].fraction
        return carried_fraction(ordinary.fraction, carried, self._all.fraction)

    def record(self, priority: int, ticket: TreeTicket, served: bool) -> None:
        """Count a root request that has ended.

        :param priority: priority of the request, whatever its rank.
        :param served: whether it got a successful response.
        """
        self._decay()
        self._all.add(served)
        if priority == 0 or ticket.rank is None:
            return
        is_carried = ticket.rank < RANKS_PER_PRIORITY
        if priority not in self._ordinary:
            self._ordinary[priority] = _Served()
            self._carried[priority] = _Served()
        counts = self._carried if is_carried else self._ordinary
        counts[priority].add(served)

    def _decay(self) -> None:
        now = self._clock()
        age = now - self._decayed_at
        if age < COUNT_SECONDS / 10:
            return
        factor = math.exp(-age / COUNT_SECONDS)
        self._decayed_at = now
        self._all.decay(factor)
        for counts in (*self._ordinary.values(), *self._carried.values()):
            counts.decay(factor)
