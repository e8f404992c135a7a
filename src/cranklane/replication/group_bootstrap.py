"""Group formation from seed addresses, without an operator.

All replicas have the same seeds. On the first start of the system, the lowest seed address
founds the group; all other replicas request to join. A replica that loses its leader requests
to join again, because it may have been replaced meanwhile.

Owns the time of the last contact with a leader.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from cranklane.replication.join_request import send_join_request
from cranklane.replication.membership_change import JoinStatus
from cranklane.replication.replica import Replica

RETRY_DELAY_SECONDS = 0.25
"""Mean delay between rounds of join requests; delays vary randomly by up to half of it."""

REPLY_TIMEOUT_SECONDS = 2.0
"""Timeout of a join request; bounds the delay by an unreachable machine."""

LEADER_CONTACT_TIMEOUT_SECONDS = 2.5
"""Time without contact to a leader after which a replica requests to join again. Above the
longest election timeout, so that an ordinary election causes no join requests."""


class GroupBootstrap:
    """Founds, joins and rejoins the group of one replica.

    :param seeds: returns the seed addresses from the current settings.
    :param first_start: whether this is the first start of the whole system.
    """

    def __init__(
        self, replica: Replica, seeds: Callable[[], Sequence[str]], first_start: bool
    ) -> None:
        self._replica = replica
        self._seeds = seeds
        self._first_start = first_start
        self._in_touch_at = replica.runtime.monotonic()

    def run(self) -> None:
        """Found the group or keep this replica in it; runs until the process ends."""
        replica = self._replica
        if self._is_founder():
            replica.found_group()
            replica.event_log.info("group_founded", group=replica.info.group)
        while True:
            if not self._is_connected_member():
                self._send_join_requests()
            gevent.sleep(RETRY_DELAY_SECONDS * (0.5 + replica.runtime.random.random()))

    def _is_founder(self) -> bool:
        """Return whether this replica founds the group.

        On the first start all disks are empty and the seeds are equal, so exactly one replica
        founds the group. On a later start an empty disk is a lost one and founds none.
        """
        replica = self._replica
        seeds = self._seeds()
        empty = replica.log.last_index == 0 and not replica.is_member
        return self._first_start and empty and bool(seeds) and min(seeds) == replica.info.address

    def _is_connected_member(self) -> bool:
        """Return whether this replica is a member with recent contact to a leader."""
        replica = self._replica
        now = replica.runtime.monotonic()
        if replica.in_touch:
            self._in_touch_at = now
        return replica.is_member and now - self._in_touch_at < LEADER_CONTACT_TIMEOUT_SECONDS

    def _send_join_requests(self) -> None:
        """Send join requests to members and seeds in random order until one accepts."""
        replica = self._replica
        member_addresses = [member.address for member in replica.members.current]
        addresses = list(dict.fromkeys([*member_addresses, *self._seeds()]))
        addresses = [address for address in addresses if address != replica.info.address]
        replica.runtime.random.shuffle(addresses)
        tried_addresses: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            if address in tried_addresses:
                continue
            tried_addresses.add(address)
            reply = send_join_request(replica, address, voter=True, timeout=REPLY_TIMEOUT_SECONDS)
            if reply is None:
                continue
            if reply.status == JoinStatus.NOT_LEADER and reply.leader:
                addresses.insert(0, reply.leader)
            elif reply.status == JoinStatus.ACCEPTED:
                self._in_touch_at = replica.runtime.monotonic()
                return
