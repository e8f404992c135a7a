"""What a control process does for nodes, whichever configuration it keeps.

It knows the members with the other control processes, sends them and the
configuration to its subscribers, and sends subscribers away while it may miss what
its group has committed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from cranklane.distribution.exchange import Exchange
from cranklane.distribution.membership import Membership
from cranklane.distribution.publisher import PING_SECONDS, Publisher, RowSource
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, MemberReport, ReplicaMember, Subscribe
from cranklane.replication.replica import Replica
from cranklane.runtime.interface import Runtime


@dataclass(frozen=True)
class NodeServiceTiming:
    """Times in seconds.

    :ivar stale: out of touch with the group after which subscribers are sent away.
    :ivar last_resort: that a node which found no other process stays nevertheless.
    :ivar touch: between looks at whether this process is in touch.
    :ivar expiry: between looks for members whose lease has run out.
    :ivar ping: between pings to a subscriber that there is no news for.
    """

    stale: float
    last_resort: float
    touch: float
    expiry: float
    ping: float = PING_SECONDS


class NodeService:
    """Members and subscribers of one control process.

    :param source: the configuration that subscribers get.
    :param hello: returns this process's greeting.
    :param tells_replicas: whether subscribers are told where else to subscribe.
    :ivar membership: who is there.
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
        tells_replicas: bool = False,
    ) -> None:
        self._runtime = runtime
        self._log = log
        self._timing = timing
        self._replica: Replica | None = None
        self._in_touch_at = runtime.monotonic()
        self.membership = Membership(name, runtime.monotonic, self._members_changed)
        replicas = self._replica_addresses if tells_replicas else None
        self.publisher = Publisher(runtime, source, self.membership, replicas, timing.ping)
        self._exchange = Exchange(runtime, self.membership, self._others, hello)

    def serve_sidecars(self, sidecars: SidecarSupport) -> None:
        """Serve also what only sidecars need."""
        self.publisher.sidecars = sidecars
        self._exchange.sidecars = sidecars
        self._runtime.spawn(sidecars.run)

    def usage_changed(self) -> None:
        """Take that sums of tenants' usage are new, for other control processes."""
        self._exchange.changed()

    def start(self, replica: Replica) -> None:
        """Start its tasks.

        :param replica: this process's replica of the group.
        """
        self._replica = replica
        for task in (self._exchange.run, self._expire, self._watch_touch):
            self._runtime.spawn(task)

    def serve(self, records: RecordConnection) -> None:
        """Serve the connection of a node, or of another control process."""
        _, message = records.receive()
        match message:
            case Subscribe() if self.in_touch or message.last_resort:
                self._log.info("subscribed", member=message.node, version=message.version)
                self.publisher.serve(records, message)
            case MemberReport():
                self._exchange.serve(records, message)
            case _:
                records.close()

    @property
    def in_touch(self) -> bool:
        """Whether this process has heard of its group's leader lately."""
        return self._runtime.monotonic() - self._in_touch_at < self._timing.stale

    def _members(self) -> list[ReplicaMember]:
        return self._replica.members.current if self._replica is not None else []

    def _others(self) -> list[ReplicaMember]:
        own = self._replica.identity if self._replica is not None else 0
        return [item for item in self._members() if item.identity != own]

    def _replica_addresses(self) -> list[str]:
        return sorted(item.address for item in self._members())

    def _members_changed(self) -> None:
        self.publisher.changed()
        self._exchange.changed()

    def _watch_touch(self) -> None:
        """Send subscribers away while this process may miss what is committed."""
        out_of_touch = False
        while True:
            gevent.sleep(self._timing.touch)
            now = self._runtime.monotonic()
            if self._replica is not None and self._replica.in_touch:
                self._in_touch_at = now
            if self.in_touch == out_of_touch:
                out_of_touch = not out_of_touch
                self._log.warning("out_of_touch" if out_of_touch else "in_touch")
            if out_of_touch:
                self.publisher.send_away(now, now - self._timing.last_resort)

    def _expire(self) -> None:
        while True:
            gevent.sleep(self._timing.expiry)
            for member in self.membership.expire():
                self._log.warning("member_gone", member=member.node)
