"""Contact of a control process with its group, and admission of subscribers without contact.

A process out of touch with its group's leader may miss committed changes, so its subscribers
must find another one. A node that finds none may subscribe for a limited time as a last resort,
because the process still tracks its local members.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cranklane.distribution.publisher import PING_INTERVAL_SECONDS


@dataclass(frozen=True)
class NodeServiceTiming:
    """Timing of a control process toward nodes, in seconds.

    :ivar out_of_touch_after: time without contact after which subscriptions are ended.
    :ivar last_resort_stay: longest last-resort subscription without contact.
    :ivar contact_check: interval of checks of the contact.
    :ivar expiry_check: interval of checks for expired member leases.
    :ivar ping: interval of pings to a subscriber without updates.
    """

    out_of_touch_after: float
    last_resort_stay: float
    contact_check: float
    expiry_check: float
    ping: float = PING_INTERVAL_SECONDS


class GroupContact:
    """Tracks the contact of one control process with its group.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, timing: NodeServiceTiming, clock: Callable[[], float]) -> None:
        self._timing = timing
        self._clock = clock
        self._in_touch_at = clock()

    def record_contact(self) -> None:
        """Record that the replica is in touch with its leader now."""
        self._in_touch_at = self._clock()

    @property
    def in_touch(self) -> bool:
        """Whether the replica was in touch within ``out_of_touch_after``."""
        return self._clock() - self._in_touch_at < self._timing.out_of_touch_after

    def admits(self, last_resort: bool) -> bool:
        """Return whether a node may subscribe.

        :param last_resort: whether the node found no control process in touch.
        """
        return self.in_touch or last_resort

    def subscription_cutoffs(self) -> tuple[float, float]:
        """Return the monotonic seconds before which subscriptions end while out of touch.

        :returns: the cutoff of ordinary subscriptions, which all end, and the cutoff of
            last-resort subscriptions.
        """
        now = self._clock()
        return now, now - self._timing.last_resort_stay
