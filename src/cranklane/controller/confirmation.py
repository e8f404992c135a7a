"""As of when this process's copy of the state was certainly the newest.

A replica that leads knows it while a quorum supports it. Another one asks the leader and
learns up to which entry all lies that was acknowledged before it asked. The age counts
from the moment of asking, so that an answer that was delayed on its way proves no more
than it should. Owns the newest answers; log and leadership belong to the replica.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from cranklane.records.messages import ConfirmReply, ConfirmRequest
from cranklane.replication.replica import Replica

ASK_SECONDS = 0.25
"""Between two questions to the leader: what a follower confirms is older by about this much
than what the leader would. A choice: below the heartbeats of sidecars (0.5 s)."""

REPLY_SECONDS = 0.5
"""Wait for the leader's answer. A choice: a later one would prove little."""


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """All that was acknowledged before ``asked_at`` lies at or before an entry."""

    asked_at: float
    index: int


class Confirmation:
    """As of when one replica has applied all that was acknowledged."""

    def __init__(self, replica: Replica, clock: Callable[[], float]) -> None:
        self._replica = replica
        self._clock = clock
        self._applied: _Confirmation | None = None
        self._newest: _Confirmation | None = None

    def run(self) -> None:
        """Ask the leader each ``ASK_SECONDS`` while another replica leads, for ever."""
        while True:
            if not self._replica.is_leader:
                self._ask()
            gevent.sleep(ASK_SECONDS)

    def _ask(self) -> None:
        leader = self._replica.leader_member()
        if leader is None or leader.identity == self._replica.identity:
            return
        asked_at = self._clock()
        request = ConfirmRequest(self._replica.term)
        reply = self._replica.link(leader).call(request, ConfirmReply, REPLY_SECONDS)
        if reply is not None and reply.leads:
            self._newest = _Confirmation(asked_at, reply.commit)

    def age(self) -> float | None:
        """Return the seconds since the state here was certainly the newest; None: unknown."""
        if self._replica.may_read:
            return 0.0
        newest = self._newest
        if newest is not None and self._replica.applied_index >= newest.index:
            self._applied = newest
        return self._clock() - self._applied.asked_at if self._applied is not None else None
