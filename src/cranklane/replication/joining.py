"""Group formation with replicas and founder from the settings.

See :mod:`group_bootstrap` for groups that form from seed addresses.
"""

from __future__ import annotations

from collections.abc import Sequence

import gevent

from cranklane.replication.join_request import send_join_request
from cranklane.replication.membership_change import JoinStatus
from cranklane.replication.replica import Replica

RETRY_DELAY_SECONDS = 0.5
"""Mean delay between rounds of join requests; delays vary randomly by up to half of it."""

REPLY_TIMEOUT_SECONDS = 6.0
"""Timeout of a join request; above ``PROPOSAL_TIMEOUT_SECONDS``, because the leader replies after
the membership change is committed."""


class Joining:
    """Joins the group of the configured replicas, or founds it.

    :param peers: addresses of the replicas from the settings.
    :param founder: whether this replica may found the group. It does so only after all other
        replicas answered that they have no group, so that a founder that lost its disk does
        not found a second group.
    :param voter: whether this replica is to become a voter.
    """

    def __init__(self, replica: Replica, peers: Sequence[str], founder: bool, voter: bool) -> None:
        self._replica = replica
        self._peers = [peer for peer in peers if peer != replica.info.address]
        self._founder = founder
        self._voter = voter

    def run(self) -> None:
        """Retry until this replica is a member of its group."""
        replica = self._replica
        waiting = False
        while not replica.is_member:
            if self._send_join_requests():
                break
            if not waiting:
                waiting = True
                replica.event_log.info("waiting_for_group", group=replica.info.group)
            gevent.sleep(RETRY_DELAY_SECONDS * (0.5 + replica.runtime.random.random()))
        replica.event_log.info("joined_group", group=replica.info.group, name=replica.info.name)

    def _send_join_requests(self) -> bool:
        """Send join requests to all replicas; return whether this replica is a member."""
        without_group = 0
        addresses = list(self._peers)
        tried_addresses: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            tried_addresses.add(address)
            reply = send_join_request(self._replica, address, self._voter, REPLY_TIMEOUT_SECONDS)
            if reply is None:
                continue
            if reply.status == JoinStatus.NO_GROUP:
                without_group += 1
            elif reply.status == JoinStatus.NOT_LEADER and reply.leader:
                if reply.leader not in tried_addresses:
                    addresses.insert(0, reply.leader)
            elif reply.status == JoinStatus.ACCEPTED:
                return self._replica.is_member
        if self._founder and without_group == len(self._peers):
            self._replica.found_group()
            return True
        return False
