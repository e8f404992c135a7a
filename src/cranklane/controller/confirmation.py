"""Age of a replica's state: the time since it was known to hold every acknowledged entry.

A leader's state is current while it holds its lease. A follower asks the leader for its commit
index; once the follower has applied that index, its state is as recent as the request. The age
is counted from the request, because entries may be committed while the response is in flight.
Owns the latest responses; log and leadership belong to the replica.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from cranklane.records.messages import ConfirmReply, ConfirmRequest
from cranklane.replication.replica import Replica

CONFIRM_INTERVAL_SECONDS = 0.25
"""Interval of a follower's requests to the leader. Adds to the age of a follower's state; below
the heartbeat interval of sidecars (0.5 s)."""

REPLY_TIMEOUT_SECONDS = 0.5
"""Timeout of a request to the leader."""


@dataclass(frozen=True, slots=True)
class _ConfirmedIndex:
    """Log index that covers every entry acknowledged before ``asked_at``."""

    asked_at: float
    index: int


class StateFreshness:
    """Tracks the age of one replica's state.

    :param clock: returns monotonic seconds.
    :param on_requested_confirmation: called after a confirmation that was requested.
    """

    def __init__(
        self,
        replica: Replica,
        clock: Callable[[], float],
        on_requested_confirmation: Callable[[], None] = lambda: None,
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._on_requested_confirmation = on_requested_confirmation
        self._requested = Event()
        self._applied_confirmation: _ConfirmedIndex | None = None
        self._latest_confirmation: _ConfirmedIndex | None = None

    def run(self) -> None:
        """Ask the leader periodically while another replica leads; runs until the process ends."""
        is_requested = False
        while True:
            is_confirmed = not self._replica.is_leader and self._request_commit_index()
            if is_confirmed and is_requested:
                self._on_requested_confirmation()
            is_requested = bool(self._requested.wait(CONFIRM_INTERVAL_SECONDS))
            self._requested.clear()

    def request(self, moment: float) -> None:
        """Ask the leader now, unless it was asked after a monotonic second.

        Then only the confirmed entries remain to be applied.
        """
        latest = self._latest_confirmation
        if latest is None or latest.asked_at < moment:
            self._requested.set()

    def _request_commit_index(self) -> bool:
        """Ask the leader for its commit index; return whether it confirmed one."""
        leader = self._replica.leader_member()
        if leader is None or leader.identity == self._replica.identity:
            return False
        asked_at = self._clock()
        request = ConfirmRequest(self._replica.term)
        reply = self._replica.link(leader).call(request, ConfirmReply, REPLY_TIMEOUT_SECONDS)
        if reply is None or not reply.leads:
            return False
        self._latest_confirmation = _ConfirmedIndex(asked_at, reply.commit)
        return True

    def includes_all_until(self, moment: float) -> bool:
        """Return whether the state holds every entry acknowledged before a monotonic second."""
        if self._replica.may_read:
            return True
        applied = self._applied()
        return applied is not None and applied.asked_at >= moment

    def age(self) -> float | None:
        """Return the age of the state in seconds, or None before the first confirmation."""
        if self._replica.may_read:
            return 0.0
        applied = self._applied()
        return self._clock() - applied.asked_at if applied is not None else None

    def _applied(self) -> _ConfirmedIndex | None:
        """Return the latest confirmation whose index this replica has applied."""
        latest = self._latest_confirmation
        if latest is not None and self._replica.applied_index >= latest.index:
            self._applied_confirmation = latest
        return self._applied_confirmation
