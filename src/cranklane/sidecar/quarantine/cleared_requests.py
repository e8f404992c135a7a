"""Remembers which requests were cleared, so that older reports of them change nothing."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from cranklane.sidecar.quarantine.rules import CLEARED_SECONDS
from cranklane.sidecar.request.identity import Identity

MAX_CLEARED = 256
"""Cleared requests that are remembered, the newest. A choice: as many as may be quarantined."""


class _Clearing(NamedTuple):
    """A clearing, and the ids of the crashes that were evidence against the request before it."""

    crashes: frozenset[bytes]
    at: float


class ClearedRequests:
    """The clearings of one sidecar, its own and those that others reported.

    :param clock: seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._clearings: OrderedDict[Identity, _Clearing] = OrderedDict()

    def add(self, identity: Identity, crashes: frozenset[bytes]) -> None:
        """Remember a clearing, and forget the oldest ones of too many."""
        former = self._clearings.pop(identity, None)
        if former is not None:
            crashes |= former.crashes
        self._clearings[identity] = _Clearing(crashes, self._clock())
        while len(self._clearings) > MAX_CLEARED:
            self._clearings.popitem(last=False)

    def crashes(self, identity: Identity) -> frozenset[bytes] | None:
        """Return the crash ids that were known when a request was cleared; None: it was not."""
        clearing = self._clearings.get(identity)
        return clearing.crashes if clearing is not None else None

    def is_recent(self, identity: Identity) -> bool:
        """Return whether a request was cleared so shortly ago that a sender may not know."""
        clearing = self._clearings.get(identity)
        return clearing is not None and self._clock() - clearing.at <= CLEARED_SECONDS
