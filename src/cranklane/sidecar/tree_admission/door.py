"""Refuses root requests for which the services of their call trees have no capacity.

For a sustained overload of a service that many call trees share. The levels come with the replies
of the route's workers. They are combined over the workers, because each worker sees only its own
share of the load: callers move calls from one overloaded worker to the others, so its level counts
for its share. A level that is not confirmed opens gradually, so that the first requests which it
admits confirm or replace it before all requests are admitted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.request.tree_ticket import RANKS_PER_PRIORITY

FRESH_SECONDS = 0.5
"""Age up to which a level holds unchanged."""

EXPIRY_SECONDS = 1.2
"""Age at which a level has expired."""

OPENING_RANKS = 1024.0
"""Ranks by which a level has opened shortly before it expires: four priorities."""

UNSTATED_RANKS = 128.0
"""Ranks by which the combined level is above the mean of the stated levels if as many workers state
none; grows with the square of their ratio, since workers that state none have capacity left, to
which callers move calls. With one of four stating a level, it is above all usual priorities."""

FORGET_SECONDS = 10.0
"""Interval between removals of expired entries."""


@dataclass(slots=True)
class _RouteLevels:
    """Levels of one route by the node that stated them, with the monotonic second of receipt."""

    by_node: dict[str, tuple[int, float]] = field(default_factory=dict)
    stated_at: float = 0.0
    combined: int = MAX_ADMISSION_LEVEL
    combined_at: float = 0.0


COMBINE_SECONDS = 0.02
"""Time for which a combined level is reused; bounds the cost with many workers."""


def combine(stated: list[int], unstated: int) -> int:
    """Return the level of a service from those of its workers.

    :param stated: levels of the workers that state one.
    :param unstated: number of workers that state none.

    >>> combine([100, 120], 0), combine([100, 120], 2), combine([], 3)
    (110, 238, 65535)
    >>> combine([100] * 9, 1), combine([100], 3)
    (101, 1252)
    """
    if not stated:
        return MAX_ADMISSION_LEVEL
    level = sum(stated) / len(stated) + UNSTATED_RANKS * (unstated / len(stated)) ** 2
    return min(MAX_ADMISSION_LEVEL, int(level))


def opened(level: int, age: float) -> int:
    """Return what is left of a level at an age in seconds.

    >>> [opened(100, age) for age in (0.4, 0.85, 1.2)]
    [100, 356, 65535]
    """
    if age >= EXPIRY_SECONDS:
        return MAX_ADMISSION_LEVEL
    if age <= FRESH_SECONDS:
        return level
    opening = (age - FRESH_SECONDS) / (EXPIRY_SECONDS - FRESH_SECONDS)
    return min(MAX_ADMISSION_LEVEL, int(level + OPENING_RANKS * opening * opening))


class Door:
    """Admission levels of the routes called through this sidecar.

    :param clock: monotonic seconds.
    :param on_refusal: called with each route and rank refused, and the level.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_refusal: Callable[[str, int, int], None] | None = None,
    ) -> None:
        self._clock = clock
        self._on_refusal = on_refusal
        self._routes: dict[str, _RouteLevels] = {}
        self._forgot_at = clock()

    def record(self, route: str, node: str, level: int) -> None:
        """Store the level that came with a reply.

        :param node: node of the worker that replied.
        """
        levels = self._routes.get(route)
        if levels is None:
            if level == MAX_ADMISSION_LEVEL:
                return
            levels = self._routes[route] = _RouteLevels()
        now = self._clock()
        levels.by_node[node] = (level, now)
        if level < MAX_ADMISSION_LEVEL:
            levels.stated_at = now
        if now - self._forgot_at >= FORGET_SECONDS:
            self._forget(now)

    def level(self, route: str) -> int:
        """Return the combined level of a route's workers now."""
        levels = self._routes.get(route)
        if levels is None:
            return MAX_ADMISSION_LEVEL
        now = self._clock()
        if now - levels.combined_at >= COMBINE_SECONDS:
            levels.combined = self._combine(levels, now)
            levels.combined_at = now
        return levels.combined

    @staticmethod
    def _combine(levels: _RouteLevels, now: float) -> int:
        newest = max(received_at for _, received_at in levels.by_node.values())
        current = [
            level
            for level, received_at in levels.by_node.values()
            if newest - received_at < EXPIRY_SECONDS
        ]
        stated = [level for level in current if level < MAX_ADMISSION_LEVEL]
        return opened(combine(stated, len(current) - len(stated)), now - newest)

    def admits(self, route: str, rank: int) -> bool:
        """Return whether to admit a root request."""
        if not self._routes:
            return True
        level = self.level(route)
        if rank <= level:
            return True
        if self._on_refusal is not None:
            self._on_refusal(route, rank, level)
        return False

    @property
    def lowest(self) -> int:
        """Lowest level in force over all routes, for a gauge."""
        return min(map(self.level, self._routes), default=MAX_ADMISSION_LEVEL)

    def _forget(self, now: float) -> None:
        """Remove the routes whose last stated level has expired."""
        self._forgot_at = now
        for route, levels in list(self._routes.items()):
            if now - levels.stated_at >= EXPIRY_SECONDS:
                del self._routes[route]
