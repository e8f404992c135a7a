"""Sends configuration and members to subscribed nodes.

One task for each subscriber sends what it has not seen yet: a subscriber that is
slow gets one larger delta later, never a queue of small ones.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

from cranklane.distribution.membership import Membership
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.policy.names import SYSTEM_TENANT
from cranklane.records.connection import CONNECTION_CALL, RecordConnection, encode_frame
from cranklane.records.messages import (
    ConfigDelta,
    ConfigRow,
    ControlReplicas,
    Heartbeat,
    IncarnationKnown,
    Member,
    MemberDelta,
    Ping,
    ServiceRow,
    Subscribe,
    UsageReport,
)
from cranklane.runtime.interface import Runtime

SILENT_SECONDS = 6.0
"""Seconds without a heartbeat after which a subscriber counts as lost."""

MERGE_SECONDS = 0.05
"""Seconds that changes are gathered before subscribers are told of them: when
many nodes join at once, each hears of many in one record."""

PING_SECONDS = 2.0
"""Seconds between pings to a subscriber that there is no news for."""


class RowSource(Protocol):
    """Where configuration comes from: the store, or a relay's copy of it.

    :ivar revision: of the newest configuration.
    """

    revision: int

    def delta(self, base: int) -> ConfigDelta:
        """Return what a subscriber at ``base`` needs to be current."""

    def value(self, key: str) -> bytes:
        """Return a row's value, empty when there is none."""


class _NewestFrames:
    """Frames that bring subscribers from where they are to the newest state.

    Subscribers that get everything and are at the same place get the same bytes, which
    are made once for all of them; those of an older state are dropped.
    """

    def __init__(self) -> None:
        self._newest = -1
        self._by_base: dict[int, bytes] = {}

    def get(self, span: tuple[int, int], make: Callable[[], bytes]) -> bytes:
        """Return the frame for a span of states, from a base to the newest.

        :param make: makes it where it is not there yet.
        """
        base, newest = span
        if newest != self._newest:
            self._newest = newest
            self._by_base.clear()
        frame = self._by_base.get(base)
        if frame is None:
            frame = self._by_base[base] = make()
        return frame


class _Frames:
    """Frames shared by subscribers."""

    def __init__(self) -> None:
        self.configuration = _NewestFrames()
        self.members = _NewestFrames()


class Subscriber:
    """One subscribed node.

    :ivar since: when it subscribed.
    :ivar heard_at: when its last record came.
    """

    def __init__(self, identity: Subscribe, records: RecordConnection) -> None:
        self.identity = identity
        self.records = records
        self.sent_version = identity.version
        self.sent_services: frozenset[str] | None = frozenset()
        self.sent_members = 0
        self.sent_replicas: list[str] = []
        self.sent_shares = 0
        self.heard_at = 0.0
        self.news = Event()
        self.since = 0.0

    @property
    def service(self) -> str:
        """Full name of the node's service, or empty at an edge."""
        identity = self.identity
        return f"{identity.tenant}.{identity.service}" if identity.service else ""


class Publisher:
    """Serves subscribers of one control process.

    :param replicas: returns where nodes may subscribe; None tells them nothing.
    :param ping_seconds: between pings to a subscriber that there is no news for.
    :ivar subscribers: by the node's name.
    :ivar sidecars: serves what only sidecars need; None where there are none.
    """

    def __init__(
        self,
        runtime: Runtime,
        source: RowSource,
        membership: Membership,
        replicas: Callable[[], list[str]] | None = None,
        ping_seconds: float = PING_SECONDS,
    ) -> None:
        self._replicas = replicas
        self._ping_seconds = ping_seconds
        self._runtime = runtime
        self._source = source
        self._membership = membership
        self._changed = Event()
        self._frames = _Frames()
        self.subscribers: dict[str, Subscriber] = {}
        self.sidecars: SidecarSupport | None = None
        runtime.spawn(self._wake_subscribers)

    def changed(self) -> None:
        """Take that there is news for subscribers."""
        self._changed.set()

    def _wake_subscribers(self) -> None:
        while True:
            self._changed.wait()
            gevent.sleep(MERGE_SECONDS)
            self._changed.clear()
            self.wake()

    def wake(self) -> None:
        """Have every subscriber told at once what is new."""
        for subscriber in list(self.subscribers.values()):
            subscriber.news.set()

    def serve(self, records: RecordConnection, identity: Subscribe) -> None:
        """Serve one subscriber's connection until it ends."""
        subscriber = Subscriber(identity, records)
        subscriber.since = self._runtime.monotonic()
        try:
            newest = self._membership.incarnation_of(identity.node)
            if newest > identity.incarnation:
                records.send(IncarnationKnown(newest))
            self._join(subscriber)
            while True:
                self._take(subscriber)
        except (ConnectionLostError, MalformedRecordError):
            pass
        finally:
            records.close()
            self._leave(subscriber)

    def _take(self, subscriber: Subscriber) -> None:
        """Take one record of a subscriber."""
        _, message = subscriber.records.receive()
        subscriber.heard_at = self._runtime.monotonic()
        match message:
            case Heartbeat():
                self._membership.heard(subscriber.identity, message)
                if self.sidecars is not None:
                    self.sidecars.answer_heartbeat(subscriber.records, message)
            case UsageReport() if self.sidecars is not None:
                self.sidecars.take_usage(message)
            case _:
                raise MalformedRecordError(f"{type(message).__name__} from a subscriber")

    def heard_since(self, moment: float) -> int:
        """Return how many subscribers were heard since a monotonic second."""
        return sum(item.heard_at >= moment for item in self.subscribers.values())

    def send_away(self, before: float, last_resort_before: float) -> int:
        """End subscriptions, so that their nodes go to another control process.

        :param before: those older than this monotonic second.
        :param last_resort_before: the same for nodes that found no other process.
        :returns: how many were ended.
        """
        ended = 0
        for subscriber in list(self.subscribers.values()):
            limit = last_resort_before if subscriber.identity.last_resort else before
            if subscriber.since < limit:
                subscriber.records.close()
                ended += 1
        return ended

    def _join(self, subscriber: Subscriber) -> None:
        name = subscriber.identity.node
        replaced = self.subscribers.get(name)
        if replaced is not None:
            newer = (replaced.identity.incarnation, replaced.identity.session)
            if newer > (subscriber.identity.incarnation, subscriber.identity.session):
                raise ConnectionLostError("a newer process of this name is subscribed")
            replaced.records.close()
        self.subscribers[name] = subscriber
        version = subscriber.identity.version
        if version >= self._source.revision:
            # It restarts with what is in force: it has the rows of its services.
            subscriber.sent_services = self._services_of(subscriber)
        self._membership.joined(subscriber.identity)
        self._runtime.spawn(self._publish, subscriber)

    def _leave(self, subscriber: Subscriber) -> None:
        subscriber.news.set()
        if self.subscribers.get(subscriber.identity.node) is subscriber:
            del self.subscribers[subscriber.identity.node]

    def _publish(self, subscriber: Subscriber) -> None:
        records = subscriber.records
        try:
            while not records.closed:
                subscriber.news.clear()
                sent = self._send_replicas(subscriber)
                sent |= self._send_configuration(subscriber)
                sent |= self._send_members(subscriber)
                sent |= self._send_shares(subscriber)
                if not sent:
                    records.send(Ping(subscriber.sent_version))
                subscriber.news.wait(self._ping_seconds)
        except ConnectionLostError:
            pass

    def _send_replicas(self, subscriber: Subscriber) -> bool:
        addresses = self._replicas() if self._replicas is not None else []
        if addresses == subscriber.sent_replicas:
            return False
        subscriber.sent_replicas = addresses
        subscriber.records.send(ControlReplicas(addresses))
        return True

    def _send_shares(self, subscriber: Subscriber) -> bool:
        if self.sidecars is None:
            return False
        shares = self.sidecars.shares_since(subscriber.sent_shares)
        if shares is None:
            return False
        subscriber.sent_shares = self.sidecars.shares_position
        subscriber.records.send(shares)
        return True

    def _send_configuration(self, subscriber: Subscriber) -> bool:
        revision = self._source.revision
        if revision <= subscriber.sent_version:
            return False
        if subscriber.identity.everything:
            base = subscriber.sent_version
            frame = self._frames.configuration.get(
                (base, revision), lambda: encode_frame(CONNECTION_CALL, self._source.delta(base))
            )
            subscriber.records.send_frame(frame)
            subscriber.sent_version = revision
            return True
        delta = self._source.delta(subscriber.sent_version)
        services = self._services_of(subscriber)
        if services != subscriber.sent_services:
            # It now calls services whose rows and members it has never had.
            subscriber.sent_services = services
            subscriber.sent_members = 0
            delta = self._source.delta(0)
        if services is not None:
            delta.rows = [row for row in delta.rows if _is_for(row, services)]
        subscriber.records.send(delta)
        subscriber.sent_version = delta.version
        return True

    def _services_of(self, subscriber: Subscriber) -> frozenset[str] | None:
        """Return the services a node needs to know, or None for all."""
        if subscriber.identity.everything:
            return None
        own = subscriber.identity
        value = self._source.value(f"service/{own.tenant}/{own.service}")
        row = ServiceRow.unpack(value) if value else ServiceRow()
        ledgers = [f"{SYSTEM_TENANT}.{group}" for group in row.ledgers]
        return frozenset({subscriber.service, *row.calls, *ledgers})

    def _send_members(self, subscriber: Subscriber) -> bool:
        sent = subscriber.sent_members
        position = self._membership.position
        if position == sent:
            return False
        whole = sent == 0
        if subscriber.identity.everything:
            frame = self._frames.members.get((sent, position), lambda: self._member_frame(sent))
            subscriber.sent_members = position
            if not frame:
                return False
            subscriber.records.send_frame(frame)
            return True
        changed, position = self._membership.since(sent)
        subscriber.sent_members = position
        members = [member for member in changed if self._needs(subscriber, member)]
        if not members and not whole:
            return False
        subscriber.records.send(MemberDelta(whole, members))
        return True

    def _member_frame(self, sent: int) -> bytes:
        """Return the frame that tells all members changed since; nothing for none."""
        changed, _ = self._membership.since(sent)
        members = [member for member in changed if member.service]
        if not members and sent:
            return b""
        return encode_frame(CONNECTION_CALL, MemberDelta(sent == 0, members))

    def _needs(self, subscriber: Subscriber, member: Member) -> bool:
        services = subscriber.sent_services
        if not member.service:
            return False
        return services is None or f"{member.tenant}.{member.service}" in services


def _is_for(row: ConfigRow, services: frozenset[str]) -> bool:
    kind, _, rest = row.key.partition("/")
    return kind == "tenant" or rest.replace("/", ".") in services
