"""Age of a replica's state: the time since it was known to hold every acknowledged entry.

A leader's state is current while it holds its lease. A follower asks the leader for its commit
index; once the follower has applied that index, its state is as recent as the request. The age
is counted from the request, because entries may be committed while the response is in flight.
Owns the latest responses; log and leadership belong to the replica.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

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
    """

    def __init__(self, replica: Replica, clock: Callable[[], float]) -> None:
        self._replica = replica
        self._clock = clock
        self._applied_confirmation: _ConfirmedIndex | None = None
        self._latest_confirmation: _ConfirmedIndex | None = None

    def run(self) -> None:
        """Ask the leader periodically while another replica leads; runs until the process ends."""
        while True:
            if not self._replica.is_leader:
                self._request_commit_index()
            gevent.sleep(CONFIRM_INTERVAL_SECONDS)

    def _request_commit_index(self) -> None:
        leader = self._replica.leader_member()
        if leader is None or leader.identity == self._replica.identity:
            return
        asked_at = self._clock()
        request = ConfirmRequest(self._replica.term)
        reply = self._replica.link(leader).call(request, ConfirmReply, REPLY_TIMEOUT_SECONDS)
        if reply is not None and reply.leads:
            self._latest_confirmation = _ConfirmedIndex(asked_at, reply.commit)

    def age(self) -> float | None:
        """Return the age of the state in seconds, or None before the first confirmation."""
        if self._replica.may_read:
            return 0.0
        latest = self._latest_confirmation
        if latest is not None and self._replica.applied_index >= latest.index:
            self._applied_confirmation = latest
        return (
            self._clock() - self._applied_confirmation.asked_at
            if self._applied_confirmation is not None
            else None
        )
