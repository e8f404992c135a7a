"""How the replicas of a group find each other without an operator.

All start from the same few seed addresses. One of the seeds, the same for all,
founds the group on the first start of the whole system; every other replica asks
to join. A replica without a leader for a while asks again: it may have
been replaced while it was away.

Owns only when the replica was last in touch with a leader; relies on the membership changes
of the replicas that are asked.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from cranklane.replication.join_request import ask_to_join
from cranklane.replication.membership_change import JoinStatus
from cranklane.replication.replica import Replica

RETRY_SECONDS = 0.25
"""Mean time between rounds over all addresses, spread by half on either side. A choice."""

REPLY_SECONDS = 2.0
"""Wait for an answer. A choice: a machine without power does not hold up a round for long."""

OUT_OF_TOUCH_SECONDS = 2.5
"""Time without a leader after which a replica asks whether it still belongs. A choice: above
the longest election timeout (2 s), so that an ordinary election asks nobody."""


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
        if self._is_founder():
            replica.found_group()
            replica.event_log.info("group_founded", group=replica.own.group)
        while True:
            if not self._belongs():
                self._ask_all()
            gevent.sleep(RETRY_SECONDS * (0.5 + replica.runtime.random.random()))

    def _is_founder(self) -> bool:
        """Return whether this replica founds the group.

        On a first start every disk is empty and all have the same seeds, so
        exactly one replica does. A disk that was lost later makes no founder.
        """
        replica = self._replica
        seeds = self._seeds()
        empty = replica.log.last_index == 0 and not replica.is_member
        return self._first_start and empty and bool(seeds) and min(seeds) == replica.own.address

    def _belongs(self) -> bool:
        """Return whether it is a member that was in touch with a leader lately."""
        replica = self._replica
        now = replica.runtime.monotonic()
        if replica.in_touch:
            self._in_touch_at = now
        return replica.is_member and now - self._in_touch_at < OUT_OF_TOUCH_SECONDS

    def _ask_all(self) -> None:
        """Ask each known address once, in random order, until one accepts this replica."""
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
            reply = ask_to_join(replica, address, voter=True, timeout=REPLY_SECONDS)
            if reply is None:
                continue
            if reply.status == JoinStatus.NOT_LEADER and reply.leader:
                addresses.insert(0, reply.leader)
            elif reply.status == JoinStatus.ACCEPTED:
                self._in_touch_at = replica.runtime.monotonic()
                return
