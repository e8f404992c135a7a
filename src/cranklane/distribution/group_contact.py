"""Whether a control process is in touch with its group, and what follows for its subscribers.

A process that has no leader may miss what is committed. Its subscribers go to another one;
a node that found no other one may stay for a while nevertheless: a process out of touch
knows the members around it, which is better than nothing. Owns only when the process was last in
touch.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cranklane.distribution.publisher import PING_SECONDS


@dataclass(frozen=True)
class NodeServiceTiming:
    """Times in seconds.

    :ivar out_of_touch_after: without contact to the group until subscribers are sent away.
    :ivar last_resort_stay: that a node which found no other process stays nevertheless.
    :ivar contact_check: between checks whether this process is in touch.
    :ivar expiry_check: between checks for members whose lease has run out.
    :ivar ping: between pings to a subscriber that there is no update for.
    """

    out_of_touch_after: float
    last_resort_stay: float
    contact_check: float
    expiry_check: float
    ping: float = PING_SECONDS


class GroupContact:
    """Contact of one control process to its group.

    :param clock: monotonic seconds.
    """

    def __init__(self, timing: NodeServiceTiming, clock: Callable[[], float]) -> None:
        self._timing = timing
        self._clock = clock
        self._in_touch_at = clock()

    def confirm(self) -> None:
        """Note that the replica is in touch now."""
        self._in_touch_at = self._clock()

    @property
    def in_touch(self) -> bool:
        """Whether the replica was in touch within ``out_of_touch_after``."""
        return self._clock() - self._in_touch_at < self._timing.out_of_touch_after

    def admits(self, last_resort: bool) -> bool:
        """Return whether a node may subscribe.

        :param last_resort: whether the node found no process in touch.
        """
        return self.in_touch or last_resort

    def oldest_allowed(self) -> tuple[float, float]:
        """Return from which monotonic second on subscriptions may stay while out of touch.

        The first is for ordinary nodes, none of which stays; the second for nodes that
        subscribed as a last resort.
        """
        now = self._clock()
        return now, now - self._timing.last_resort_stay
