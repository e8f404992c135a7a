"""Records cleared requests, so that outdated quarantine reports are ignored."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from cranklane.sidecar.quarantine.rules import CLEARED_GRACE_SECONDS
from cranklane.sidecar.request.identity import Identity

MAX_CLEARED = 256
"""Number of newest clearings kept; equal to the maximum number of quarantined requests."""


class _Clearing(NamedTuple):
    """A clearing and the ids of the crashes that it invalidates as evidence."""

    crashes: frozenset[bytes]
    cleared_at: float


class ClearedRequests:
    """The clearings known to one sidecar, local and reported by peers.

    :param clock: seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._clearings: OrderedDict[Identity, _Clearing] = OrderedDict()

    def add(self, identity: Identity, crashes: frozenset[bytes]) -> None:
        """Record a clearing; evict the oldest ones above :data:`MAX_CLEARED`."""
        previous = self._clearings.pop(identity, None)
        if previous is not None:
            crashes |= previous.crashes
        self._clearings[identity] = _Clearing(crashes, self._clock())
        while len(self._clearings) > MAX_CLEARED:
            self._clearings.popitem(last=False)

    def crashes(self, identity: Identity) -> frozenset[bytes] | None:
        """Return the crash ids that a request's clearing covers; None if it was not cleared."""
        clearing = self._clearings.get(identity)
        return clearing.crashes if clearing is not None else None

    def is_recent(self, identity: Identity) -> bool:
        """Return whether a request was cleared within the grace period for delayed updates."""
        clearing = self._clearings.get(identity)
        return clearing is not None and self._clock() - clearing.cleared_at <= CLEARED_GRACE_SECONDS
