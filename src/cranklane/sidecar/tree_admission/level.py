"""Derives the admission level of a worker: the last rank of call trees for which it has capacity.

For a worker that is offered more than its slots can run, by call trees whose calls come one after
the other. While calls are refused for lack of capacity or wait long, arrivals are counted by rank.
The level moves towards the rank up to which the arrivals fill the capacity. It falls by half of the
difference in each step, so that noise sheds little. What it rises by takes the duration of a call
tree to arrive; until then it is deducted from the capacity that is left. Without a refusal or a
long wait nothing is counted and no level is stated.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.request.tree_ticket import RANKS_PER_PRIORITY

STEP_SECONDS = 0.1
"""Interval between changes of the level; many steps fit into the time for a reaction (1 s)."""

COUNT_SECONDS = 0.5
"""Time constant of the counts of arrivals. Shorter ones follow the noise of a small worker."""

MIN_COUNT_SECONDS = 0.2
"""Time for which arrivals are counted before the first level is stated."""

TARGET_LOAD = 0.97
"""Fraction of the capacity that admitted trees may fill. With more, calls of admitted trees queue
up to their limits whenever arrivals bunch."""

CAPACITY_WEIGHT = 0.3
"""Weight of the newest step in the average of the capacity."""

FALL_FRACTION = 0.5
"""Fraction of the difference by which the level falls in a step."""

RISE_DELAY_FACTOR = 2.0
"""Duration of a call tree over the mean age of its root at the arrival of a call."""

IDLE_WEIGHT = 0.1
"""Weight of the newest arrival in the average of the idle slots, which shows the end of an overload
before the counts do."""

USUAL_IDLE_FRACTION = 0.1
"""Fraction of idle slots that bunched arrivals leave at the target load."""

RISE_FRACTION = 0.3
"""Fraction of the difference by which the level rises in a step."""

BIN_RANKS = 8
"""Ranks that are counted together."""

PRIOR_RANKS = 16.0
"""Ranks whose arrivals are assumed where the level enters a priority that has not been seen
arriving: as dense as if that priority alone filled the capacity."""

LONG_WAIT_FRACTION = 0.5
"""Fraction of its permitted wait from which a call's wait counts as long."""

QUIET_SECONDS = 1.0
"""Time without a refusal or long wait after which counting ends, once all ranks are admitted."""


class AdmissionLevel:
    """The admission level of one worker.

    :param clock: monotonic seconds.
    :param starts_per_second: returns how many runs the worker can start per second.
    :param idle_fraction: returns the fraction of its slots that are idle.
    :param on_change: called with the level when it begins and ends to be stated, and at most once
        in :data:`QUIET_SECONDS` between.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        starts_per_second: Callable[[], float],
        idle_fraction: Callable[[], float],
        on_change: Callable[[int], None] | None = None,
    ) -> None:
        self._clock = clock
        self._starts_per_second = starts_per_second
        self._idle_fraction = idle_fraction
        self._on_change = on_change
        self._reported_at = -math.inf
        self.is_counting = False
        self._end()

    def _end(self) -> None:
        self.is_counting = False
        self._level: float = MAX_ADMISSION_LEVEL
        self._last = 0
        self._pending_ranks = 0.0
        self._counts: dict[int, float] = {}
        self._ages = 0.0
        self._seconds = 0.0
        self._capacity = 0.0
        self._idle = 0.0

    @property
    def stated(self) -> int:
        """The level now; :data:`MAX_ADMISSION_LEVEL` without pressure."""
        if not self.is_counting or self._clock() - self._stepped_at > QUIET_SECONDS:
            return MAX_ADMISSION_LEVEL
        return int(self._level)

    def arrived(self, rank: int, root_age: float) -> int:
        """Count the arrival of a call; return the order of its tree within its priority.

        The order is 0 without pressure, so that arrival times alone decide.

        :param root_age: age of the root request in seconds.
        """
        if not self.is_counting:
            return 0
        now = self._clock()
        if now - self._stepped_at >= STEP_SECONDS:
            self._step(now)
        first = rank // BIN_RANKS
        self._counts[first] = self._counts.get(first, 0.0) + 1.0
        self._ages += root_age
        self._idle += IDLE_WEIGHT * (self._idle_fraction() - self._idle)
        return rank % RANKS_PER_PRIORITY

    def decided(self, lacks_capacity: bool, waited: float, permitted_wait: float) -> None:
        """Record a decision on a call.

        :param lacks_capacity: whether it was refused for lack of capacity.
        :param waited: seconds for which it waited.
        :param permitted_wait: seconds for which it could have waited.
        """
        if not lacks_capacity and (waited <= 0.0 or waited < LONG_WAIT_FRACTION * permitted_wait):
            return
        self._pressed_at = now = self._clock()
        if not self.is_counting:
            self.is_counting = True
            self._began_at = self._stepped_at = now

    def _step(self, now: float) -> None:
        """Move the level after an interval, and decay the counts."""
        seconds = now - self._stepped_at
        if seconds > QUIET_SECONDS and now - self._pressed_at > QUIET_SECONDS:
            self._end()
            return
        self._stepped_at = now
        capacity = self._starts_per_second()
        weight = CAPACITY_WEIGHT if self._capacity else 1.0
        self._capacity += weight * (capacity - self._capacity)
        self._seconds += seconds
        if now - self._began_at >= MIN_COUNT_SECONDS and self._counts and self._capacity:
            former = self.stated
            self._move(seconds)
            self._report(former, now)
        if self._level == MAX_ADMISSION_LEVEL and now - self._pressed_at > QUIET_SECONDS:
            self._end()
            return
        factor = math.exp(-seconds / COUNT_SECONDS)
        self._seconds *= factor
        self._ages *= factor
        for first in list(self._counts):
            self._counts[first] *= factor
            if self._counts[first] < 0.01:
                del self._counts[first]

    def _move(self, seconds: float) -> None:
        capacity = TARGET_LOAD * self._capacity * self._seconds
        # Priorities beyond the level stop arriving, but are still offered.
        lowest_priority = max(self._counts) * BIN_RANKS // RANKS_PER_PRIORITY
        self._last = last = max(self._last, (lowest_priority + 1) * RANKS_PER_PRIORITY)
        level = min(self._level, float(last))
        # Half of the arrivals of a tree come before its mean age.
        tree_seconds = RISE_DELAY_FACTOR * self._ages / sum(self._counts.values())
        self._pending_ranks *= math.exp(-seconds / max(STEP_SECONDS, tree_seconds))
        # Slots that stay idle show that less is to come than was assumed.
        self._pending_ranks *= 1.0 - max(0.0, self._idle - USUAL_IDLE_FRACTION)
        filled_at = self._rank_filling(capacity)
        if filled_at < level:
            fall = FALL_FRACTION * (level - filled_at)
            self._pending_ranks = max(0.0, self._pending_ranks - fall)
            self._level = level - fall
            return
        if self._level == MAX_ADMISSION_LEVEL:
            return
        admitted = self._count_up_to(level)
        idle = (self._idle - USUAL_IDLE_FRACTION) * capacity
        slack = max(capacity - admitted, idle)
        free_ranks = min(slack / self._density(level, capacity), RANKS_PER_PRIORITY)
        rise = RISE_FRACTION * max(0.0, free_ranks - self._pending_ranks)
        self._pending_ranks += rise
        self._level = level + rise
        if self._level >= last:
            self._level = MAX_ADMISSION_LEVEL

    def _rank_filling(self, capacity: float) -> float:
        """Return the rank up to which arrivals fill a capacity; ``math.inf`` if all fit."""
        total = 0.0
        for first in sorted(self._counts):
            count = self._counts[first]
            if total + count > capacity:
                return (first + (capacity - total) / count) * BIN_RANKS
            total += count
        return math.inf

    def _count_up_to(self, rank: float) -> float:
        return sum(
            count * min(1.0, max(0.0, rank / BIN_RANKS - first))
            for first, count in self._counts.items()
        )

    def _density(self, rank: float, capacity: float) -> float:
        """Return the arrivals per rank to expect from admitting ranks beyond one."""
        begin = rank // RANKS_PER_PRIORITY * RANKS_PER_PRIORITY
        seen = self._count_up_to(rank) - self._count_up_to(begin)
        assumed = PRIOR_RANKS * capacity / RANKS_PER_PRIORITY
        return (seen + assumed) / (rank - begin + PRIOR_RANKS)

    def _report(self, former: int, now: float) -> None:
        level = self.stated
        ended_or_began = MAX_ADMISSION_LEVEL in (former, level)
        if self._on_change is None or level == former:
            return
        if ended_or_began or now - self._reported_at >= QUIET_SECONDS:
            self._reported_at = now
            self._on_change(level)
