"""Makes a replica with an empty data folder part of its group, as operators have planned it.

Used where an operator names all replicas and the founder; see :mod:`self_assembly` for groups
that form without one. Relies on the membership changes of the replicas that are asked.
"""

from __future__ import annotations

from collections.abc import Sequence

import gevent

from cranklane.replication.join_request import ask_to_join
from cranklane.replication.membership_change import JoinStatus
from cranklane.replication.replica import Replica

RETRY_SECONDS = 0.5
"""Mean time between rounds over all replicas, spread by half on either side. A choice."""

REPLY_SECONDS = 6.0
"""Wait for an answer. A choice: above ``PROPOSAL_SECONDS``, as the leader answers after the
change of members is committed."""


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
            if self._ask_all():
                break
            if not waiting:
                waiting = True
                replica.event_log.info("waiting_for_group", group=replica.own.group)
            gevent.sleep(RETRY_SECONDS * (0.5 + replica.runtime.random.random()))
        replica.event_log.info("joined_group", group=replica.own.group, name=replica.own.name)

    def _ask_all(self) -> bool:
        """Ask each replica once; return whether this one belongs to the group now."""
        without_group = 0
        addresses = list(self._peers)
        asked: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            asked.add(address)
            reply = ask_to_join(self._replica, address, self._voter, REPLY_SECONDS)
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
