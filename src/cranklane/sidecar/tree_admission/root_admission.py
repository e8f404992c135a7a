"""Refuses root requests for which the services of their call trees have no capacity.

For a sustained overload of a service that many call trees share. The levels come with the replies
of the route's workers. They are combined over the workers, because each worker sees only its own
share of the load: callers move calls from one overloaded worker to the others. A worker's level
counts by the replies that it sends, so that a slow worker counts little. A level that no reply has
confirmed for a while admits one request at a time, whose reply confirms or replaces it. Without one
it is forgotten. Meanwhile it follows the levels of other routes if all of them are higher, since
call trees of different routes tend to share the service that is short.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.request.attempt import Reply

FRESH_SECONDS = 0.4
"""Age from which a level is probed."""

PROBE_SECONDS = 0.9
"""Time for the reply to a probe, after which the level is forgotten. A probe that meets the
overload is refused within a part of a call tree's duration."""

EXPIRY_SECONDS = 1.2
"""Age at which a level is no longer passed on to callers."""

OPENING_RANKS = 64.0
"""Ranks by which a level that is not confirmed opens until it expires; a quarter of a priority."""

PROBED_RANKS = 1024.0
"""Ranks above the level that are probed once it has expired: four priorities. Between it is less,
so that a request close to the level is the probe if there is one."""

UNSTATED_RANKS = 128.0
"""Ranks by which the combined level is above the stated levels if as many workers state
none; grows with the square of their ratio, since workers that state none have capacity left, to
which callers move calls. With one of four stating a level, it is above all usual priorities."""

RECENT_SECONDS = 2.0
"""Time since the last stated level for which a route shows the end of a shortage."""

FORGET_SECONDS = 10.0
"""Interval between removals of expired entries."""


REPLIES_SECONDS = 0.3
"""Time constant of the counts of replies."""


@dataclass(slots=True)
class WorkerLevel:
    """The level that one worker stated last.

    :ivar received_at: monotonic second of its last reply.
    :ivar replies: decaying count of its replies to requests that ran.
    """

    level: int = MAX_ADMISSION_LEVEL
    received_at: float = 0.0
    replies: float = 0.0

    def add(self, now: float, level: int, ran: bool) -> None:
        """Record a reply."""
        self.replies = self.replies * math.exp((self.received_at - now) / REPLIES_SECONDS) + ran
        self.received_at = now
        self.level = level

    def weight(self, now: float) -> float:
        """Return the weight of the level; more than 0 also if it refuses every request."""
        decay = math.exp((self.received_at - now) / REPLIES_SECONDS)
        return self.replies * decay + MIN_WEIGHT


MIN_WEIGHT = 0.1
"""Weight of the level of a worker that has run no request; a tenth of one reply."""


@dataclass(slots=True)
class _RouteLevels:
    """Levels of one route by the node that stated them. Times are monotonic seconds.

    :ivar stated_at: time at which any worker last stated a level.
    :ivar received_at: time of the last reply.
    :ivar probe_ends_at: time by which the reply to a probe is due; 0 without one.
    :ivar combined: combined level of the workers, as of ``combined_at``.
    """

    by_node: dict[str, WorkerLevel] = field(default_factory=dict)
    stated_at: float = 0.0
    probe_ends_at: float = 0.0
    combined: int = MAX_ADMISSION_LEVEL
    combined_at: float = 0.0
    received_at: float = 0.0


COMBINE_SECONDS = 0.02
"""Time for which a combined level is reused; bounds the cost with many workers."""


def combine(levels: list[tuple[int, float]]) -> int:
    """Return the level of a service from those of its workers and their weights.

    The mean of the upper half of the levels: callers move calls away from the workers with lower
    ones.

    >>> combine([(100, 1.0), (120, 1.0)]), combine([(100, 1.0), (120, 2.0), (130, 1.0)])
    (120, 125)
    >>> combine([(100, 9.0), (MAX_ADMISSION_LEVEL, 1.0)]), combine([(MAX_ADMISSION_LEVEL, 1.0)])
    (101, 65535)
    """
    stated = sorted((entry for entry in levels if entry[0] < MAX_ADMISSION_LEVEL), reverse=True)
    if not stated:
        return MAX_ADMISSION_LEVEL
    stated_weight = sum(weight for _, weight in stated)
    unstated_weight = sum(weight for _, weight in levels) - stated_weight
    remaining = half = stated_weight / 2
    total = 0.0
    for level, weight in stated:
        used = min(weight, remaining)
        total += level * used
        remaining -= used
    level_of_all = total / half + UNSTATED_RANKS * (unstated_weight / stated_weight) ** 2
    return int(min(MAX_ADMISSION_LEVEL, level_of_all))


def probed_level(level: int, age: float) -> int:
    """Return the last rank that may probe a level of an age in seconds.

    >>> [probed_level(100, age) for age in (0.3, 0.8, 1.2)]
    [100, 356, 65535]
    """
    if age >= EXPIRY_SECONDS:
        return MAX_ADMISSION_LEVEL
    opening = max(0.0, age - FRESH_SECONDS) / (EXPIRY_SECONDS - FRESH_SECONDS)
    return min(MAX_ADMISSION_LEVEL, int(level + PROBED_RANKS * opening * opening))


def opened(level: int, age: float) -> int:
    """Return the last rank that is admitted at an age of the level in seconds.

    >>> [opened(100, age) for age in (0.4, 0.8, 1.2, 5.0)]
    [100, 132, 164, 164]
    """
    opening = (age - FRESH_SECONDS) / (EXPIRY_SECONDS - FRESH_SECONDS)
    return level + int(OPENING_RANKS * min(1.0, max(0.0, opening)))


class RootAdmission:
    """Admission levels of the routes called through this sidecar.

    :param clock: monotonic seconds.
    :param on_refusal: called with the route and rank of each refused request, and the level.
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

    def record_reply(self, route: str, node: str, reply: Reply) -> None:
        """Store the level that came with a reply, if the worker's sidecar replied."""
        if reply.load.slots:
            self.record(route, node, reply.advertised.admission_level, reply.arrived)

    def record(self, route: str, node: str, level: int, ran: bool) -> None:
        """Store the level that came with a reply.

        :param node: node of the worker that replied.
        :param ran: whether the worker ran the request.
        """
        levels = self._routes.get(route)
        if levels is None:
            if level == MAX_ADMISSION_LEVEL:
                return
            levels = self._routes[route] = _RouteLevels()
        now = self._clock()
        worker = levels.by_node.get(node)
        if worker is None:
            worker = levels.by_node[node] = WorkerLevel()
        worker.add(now, level, ran)
        levels.received_at = now
        levels.probe_ends_at = 0.0
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
        if now - levels.received_at >= EXPIRY_SECONDS:
            return MAX_ADMISSION_LEVEL
        return self._combined(levels, now)

    def _combined(self, levels: _RouteLevels, now: float) -> int:
        if now - levels.combined_at >= COMBINE_SECONDS:
            newest = levels.received_at
            levels.combined_at = now
            levels.combined = combine(
                [
                    (worker.level, worker.weight(newest))
                    for worker in levels.by_node.values()
                    if newest - worker.received_at < EXPIRY_SECONDS
                ]
            )
        return levels.combined

    def admits(self, route: str, rank: int) -> bool:
        """Return whether to admit a root request."""
        levels = self._routes.get(route)
        if levels is None:
            return True
        now = self._clock()
        level = self._combined(levels, now)
        age = now - levels.received_at
        if age > FRESH_SECONDS:
            level = max(level, self._lowest_confirmed(now))
        if rank <= opened(level, age) or self._probes(levels, rank, level, now):
            return True
        if levels.probe_ends_at and now >= levels.probe_ends_at:
            del self._routes[route]
            return True
        if self._on_refusal is not None:
            self._on_refusal(route, rank, level)
        return False

    def _lowest_confirmed(self, now: float) -> int:
        """Return the lowest confirmed level of the routes with a recent level; 0 without any."""
        return min(
            (
                self._combined(levels, now)
                for levels in self._routes.values()
                if now - levels.received_at <= FRESH_SECONDS
                and now - levels.stated_at <= RECENT_SECONDS
            ),
            default=0,
        )

    @staticmethod
    def _probes(levels: _RouteLevels, rank: int, level: int, now: float) -> bool:
        """Return whether a request above the level is to probe it, and note that it does."""
        if levels.probe_ends_at or rank > probed_level(level, now - levels.received_at):
            return False
        levels.probe_ends_at = now + PROBE_SECONDS
        return True

    @property
    def lowest(self) -> int:
        """Lowest level in force over all routes, for a gauge."""
        return min(map(self.level, self._routes), default=MAX_ADMISSION_LEVEL)

    def _forget(self, now: float) -> None:
        """Remove the routes whose last stated level has expired."""
        self._forgot_at = now
        for route, levels in list(self._routes.items()):
            if now - levels.stated_at >= RECENT_SECONDS:
                del self._routes[route]
                continue
            for node, worker in list(levels.by_node.items()):
                if now - worker.received_at >= EXPIRY_SECONDS:
                    del levels.by_node[node]
