"""How a replica with an empty data folder becomes part of its group."""

from __future__ import annotations

from collections.abc import Sequence

import gevent

from cranklane.records.messages import JoinReply, JoinRequest
from cranklane.replication.link import ReplicaLink
from cranklane.replication.membership_change import JoinStatus
from cranklane.replication.replica import Replica

RETRY_SECONDS = 0.5
REPLY_SECONDS = 6.0


class Joining:
    """Asks the other replicas, and founds the group only when there is none.

    :param peers: addresses of the other replicas, as the settings name them.
    :param founder: whether this replica may found the group. It does so only
        after every other one has answered that it belongs to none, so that a
        founder whose disk was lost does not found a second group.
    :param voter: whether it is to vote.
    """

    def __init__(self, replica: Replica, peers: Sequence[str], founder: bool, voter: bool) -> None:
        self._replica = replica
        self._peers = [peer for peer in peers if peer != replica.own.address]
        self._founder = founder
        self._voter = voter

    def run(self) -> None:
        """Return once the replica is a member of its group."""
        replica = self._replica
        waiting = False
        while not replica.is_member:
            if self._try():
                break
            if not waiting:
                waiting = True
                replica.event_log.info("waiting_for_group", group=replica.own.group)
            gevent.sleep(RETRY_SECONDS * (0.5 + replica.runtime.random.random()))
        replica.event_log.info("joined_group", group=replica.own.group, name=replica.own.name)

    def _try(self) -> bool:
        without_group = 0
        addresses = list(self._peers)
        asked: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            asked.add(address)
            reply = self._ask(address)
            if reply is None:
                continue
            if reply.status == JoinStatus.NO_GROUP:
                without_group += 1
            elif reply.status == JoinStatus.NOT_LEADER and reply.leader:
                if reply.leader not in asked:
                    addresses.insert(0, reply.leader)
            elif reply.status == JoinStatus.ACCEPTED:
                return self._replica.is_member
        if self._founder and without_group == len(self._peers):
            self._replica.found_group()
            return True
        return False

    def _ask(self, address: str) -> JoinReply | None:
        replica = self._replica
        own = replica.own
        link = ReplicaLink(replica.runtime, address, replica.hello())
        request = JoinRequest(replica.identity, self._voter, own.name, own.address, own.http)
        try:
            return link.call(request, JoinReply, REPLY_SECONDS)
        finally:
            link.close()
