"""Service of a control process to nodes, independent of the kind of configuration.

Tracks members together with the other control processes, publishes members and configuration
to subscribers, and ends subscriptions while this process is out of touch with its group.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.distribution.group_contact import GroupContact, NodeServiceTiming
from cranklane.distribution.member_exchange import MemberExchange
from cranklane.distribution.membership import Membership
from cranklane.distribution.publisher import Publisher
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.distribution.subscriber_updates import RowSource
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    DepartureCommand,
    DepartureReply,
    Hello,
    MemberReport,
    ReplicaMember,
    Subscribe,
)
from cranklane.replication.replica import Replica
from cranklane.runtime.interface import Runtime


class NodeService:
    """Members and subscribers of one control process.

    :param source: store of the published configuration.
    :param hello: returns this process's Hello record.
    :param sends_replicas: whether subscribers get the addresses of other control processes.
    :ivar membership: members of the fleet.
    :ivar publisher: serves the subscribers.
    """

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        source: RowSource,
        hello: Callable[[], Hello],
        log: Any,
        timing: NodeServiceTiming,
        sends_replicas: bool = False,
    ) -> None:
        self._runtime = runtime
        self._log = log
        self._timing = timing
        self._replica: Replica | None = None
        self._sidecars: SidecarSupport | None = None
        self._contact = GroupContact(timing, runtime.monotonic)
        self.membership = Membership(name, runtime.monotonic, self._members_changed)
        replicas = self._replica_addresses if sends_replicas else None
        self.publisher = Publisher(runtime, source, self.membership, log, replicas, timing.ping)
        self._exchange = MemberExchange(runtime, self.membership, self._other_controls, hello)

    def serve_sidecars(self, sidecars: SidecarSupport) -> None:
        """Enable heartbeat answers, usage reports and admission ratios for sidecars."""
        self.publisher.serve_sidecars(sidecars)
        self._exchange.sidecars = sidecars
        self._sidecars = sidecars
        self._runtime.spawn_restarting(sidecars.run)

    def usage_changed(self) -> None:
        """Send new totals of tenant usage to other control processes."""
        self._exchange.changed()

    def start(self, replica: Replica) -> None:
        """Start the tasks of this service.

        :param replica: this process's replica of the group.
        """
        self._replica = replica
        for task in (self._exchange.run, self._expire, self._watch_contact):
            self._runtime.spawn_restarting(task)

    def serve(self, records: RecordConnection) -> None:
        """Serve the connection of a node or of another control process until it closes."""
        _, message = records.receive()
        match message:
            case Subscribe() if self._contact.admits(message.last_resort):
                self._log.info("subscribed", member=message.node, version=message.version)
                self.publisher.serve(records, message)
            case MemberReport():
                self._exchange.serve(records, message)
            case DepartureCommand() if self._sidecars is not None:
                records.send(DepartureReply(self._sidecars.commit_departures(message)))
            case _:
                records.close()

    @property
    def in_touch(self) -> bool:
        """Whether this process was recently in touch with its group's leader."""
        return self._contact.in_touch

    def _members(self) -> list[ReplicaMember]:
        return self._replica.members.current if self._replica is not None else []

    def _other_controls(self) -> list[ReplicaMember]:
        local_identity = self._replica.identity if self._replica is not None else 0
        return [item for item in self._members() if item.identity != local_identity]

    def _replica_addresses(self) -> list[str]:
        return sorted(item.address for item in self._members())

    def _members_changed(self) -> None:
        self.publisher.changed()
        self._exchange.changed()

    def _watch_contact(self) -> None:
        """End subscriptions while this process is out of touch; runs until the process ends."""
        out_of_touch = False
        while True:
            gevent.sleep(self._timing.contact_check)
            if self._replica is not None and self._replica.in_touch:
                self._contact.record_contact()
            if self.in_touch == out_of_touch:
                out_of_touch = not out_of_touch
                self._log.warning("out_of_touch" if out_of_touch else "in_touch")
            if out_of_touch:
                self.publisher.end_subscriptions(*self._contact.subscription_cutoffs())

    def _expire(self) -> None:
        """Mark members with an expired lease; runs until the process ends."""
        while True:
            gevent.sleep(self._timing.expiry_check)
            for member in self.membership.expire():
                self._log.warning("member_gone", member=member.node)
