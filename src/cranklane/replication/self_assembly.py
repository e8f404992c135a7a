"""How the replicas of a group find each other without an operator.

All start from the same few seed addresses. One of the seeds, the same for all,
founds the group on the first start of the whole system; every other replica asks
to join. A replica that hears of no leader for a while asks again: it may have
been replaced while it was away.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from cranklane.records.messages import JoinReply, JoinRequest
from cranklane.replication.link import ReplicaLink
from cranklane.replication.membership_change import JoinStatus
from cranklane.replication.replica import Replica

RETRY_SECONDS = 0.25
REPLY_SECONDS = 2.0

OUT_OF_TOUCH_SECONDS = 2.5
"""Seconds without a leader after which a replica asks whether it still belongs."""


class SelfAssembly:
    """Founds, joins and rejoins a group.

    :param seeds: returns addresses of replicas, as the settings name them now.
    :param first_start: whether the whole system starts for the first time.
    """

    def __init__(
        self, replica: Replica, seeds: Callable[[], Sequence[str]], first_start: bool
    ) -> None:
        self._replica = replica
        self._seeds = seeds
        self._first_start = first_start
        self._in_touch_at = replica.runtime.monotonic()

    def run(self) -> None:
        """Keep the replica in its group, for ever."""
        replica = self._replica
        if self._founds():
            replica.found_group()
            replica.event_log.info("group_founded", group=replica.own.group)
        while True:
            if not self._belongs():
                self._ask_all()
            gevent.sleep(RETRY_SECONDS * (0.5 + replica.runtime.random.random()))

    def _founds(self) -> bool:
        """Return whether this replica founds the group.

        On a first start every disk is empty and all have the same seeds, so
        exactly one replica does. A disk that was lost later makes no founder.
        """
        replica = self._replica
        seeds = self._seeds()
        empty = replica.log.last_index == 0 and not replica.is_member
        return self._first_start and empty and bool(seeds) and min(seeds) == replica.own.address

    def _belongs(self) -> bool:
        replica = self._replica
        now = replica.runtime.monotonic()
        if replica.in_touch:
            self._in_touch_at = now
        return replica.is_member and now - self._in_touch_at < OUT_OF_TOUCH_SECONDS

    def _ask_all(self) -> None:
        replica = self._replica
        known = [member.address for member in replica.members.current]
        addresses = list(dict.fromkeys([*known, *self._seeds()]))
        addresses = [address for address in addresses if address != replica.own.address]
        replica.runtime.random.shuffle(addresses)
        asked: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            if address in asked:
                continue
            asked.add(address)
            reply = self._ask(address)
            if reply is None:
                continue
            if reply.status == JoinStatus.NOT_LEADER and reply.leader:
                addresses.insert(0, reply.leader)
            elif reply.status == JoinStatus.ACCEPTED:
                self._in_touch_at = replica.runtime.monotonic()
                return

    def _ask(self, address: str) -> JoinReply | None:
        replica = self._replica
        own = replica.own
        link = ReplicaLink(replica.runtime, address, replica.hello())
        request = JoinRequest(replica.identity, True, own.name, own.address, own.http)
        try:
            return link.call(request, JoinReply, REPLY_SECONDS)
        finally:
            link.close()
