"""Serves the subscriptions of nodes.

One task for each subscriber sends what it has not seen yet: a subscriber that is
slow gets one larger delta later, never a queue of small ones. Owns who is subscribed;
:class:`SubscriberUpdates` knows what to send.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from cranklane.distribution.membership import Membership
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.distribution.subscriber import Subscriber
from cranklane.distribution.subscriber_updates import RowSource, SubscriberUpdates
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Heartbeat, IncarnationKnown, Ping, Subscribe, UsageReport
from cranklane.runtime.interface import Runtime

SILENT_SECONDS = 6.0
"""Time without a byte after which a subscriber counts as lost. A choice: three heartbeats, as
the lease of a member."""

MERGE_SECONDS = 0.05
"""Time over which changes are gathered before subscribers get them: when many nodes join at
once, each subscriber gets many in one record. A choice."""

PING_SECONDS = 2.0
"""Between pings to a subscriber that there is no update for. A choice: two fit into the 5 s of
silence after which a node looks for another control process."""


class Publisher:
    """Serves subscribers of one control process.

    :param replicas: returns the addresses at which nodes may subscribe; None sends none.
    :param ping_seconds: between pings to a subscriber that there is no update for.
    :ivar subscribers: by the node's name.
    """

    def __init__(
        self,
        runtime: Runtime,
        source: RowSource,
        membership: Membership,
        replicas: Callable[[], list[str]] | None = None,
        ping_seconds: float = PING_SECONDS,
    ) -> None:
        self._ping_seconds = ping_seconds
        self._runtime = runtime
        self._membership = membership
        self._changed = Event()
        self._updates = SubscriberUpdates(source, membership, replicas)
        self.subscribers: dict[str, Subscriber] = {}
        self._sidecars: SidecarSupport | None = None
        runtime.spawn(self._wake_subscribers)

    def serve_sidecars(self, sidecars: SidecarSupport) -> None:
        """Serve also what only sidecars need."""
        self._sidecars = sidecars
        self._updates.sidecars = sidecars

    def changed(self) -> None:
        """Send subscribers what is new, gathered over ``MERGE_SECONDS``."""
        self._changed.set()

    def _wake_subscribers(self) -> None:
        while True:
            self._changed.wait()
            gevent.sleep(MERGE_SECONDS)
            self._changed.clear()
            self.wake()

    def wake(self) -> None:
        """Send every subscriber what is new at once."""
        for subscriber in list(self.subscribers.values()):
            subscriber.wakeup.set()

    def serve(self, records: RecordConnection, identity: Subscribe) -> None:
        """Serve one subscriber's connection until it ends."""
        subscriber = Subscriber(identity, records)
        subscriber.subscribed_at = self._runtime.monotonic()
        try:
            newest = self._membership.incarnation_of(identity.node)
            if newest > identity.incarnation:
                records.send(IncarnationKnown(newest))
            self._join(subscriber)
            while True:
                self._take(subscriber)
        except (ConnectionLostError, MalformedRecordError):
            # The node subscribes again or elsewhere; its lease runs until then.
            return
        finally:
            records.close()
            self._leave(subscriber)

    def _take(self, subscriber: Subscriber) -> None:
        """Take one record of a subscriber."""
        _, message = subscriber.records.receive()
        subscriber.last_record_at = self._runtime.monotonic()
        match message:
            case Heartbeat():
                self._membership.heartbeat(subscriber.identity, message)
                if self._sidecars is not None:
                    self._sidecars.answer_heartbeat(subscriber.records, message)
            case UsageReport() if self._sidecars is not None:
                self._sidecars.take_usage(message)
            case _:
                raise MalformedRecordError(f"{type(message).__name__} from a subscriber")

    def active_since(self, moment: float) -> int:
        """Return how many subscribers have sent a record since a monotonic second."""
        return sum(item.last_record_at >= moment for item in self.subscribers.values())

    def send_away(self, before: float, last_resort_before: float) -> int:
        """End subscriptions, so that their nodes go to another control process.

        :param before: those older than this monotonic second.
        :param last_resort_before: the same for nodes that found no other process.
        :returns: how many were ended.
        """
        ended = 0
        for subscriber in list(self.subscribers.values()):
            limit = last_resort_before if subscriber.identity.last_resort else before
            if subscriber.subscribed_at < limit:
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
        self._updates.resume(subscriber)
        self._membership.subscribed(subscriber.identity)
        self._runtime.spawn(self._publish, subscriber)

    def _leave(self, subscriber: Subscriber) -> None:
        subscriber.wakeup.set()
        if self.subscribers.get(subscriber.identity.node) is subscriber:
            del self.subscribers[subscriber.identity.node]

    def _publish(self, subscriber: Subscriber) -> None:
        records = subscriber.records
        try:
            while not records.closed:
                subscriber.wakeup.clear()
                if not self._updates.send(subscriber):
                    records.send(Ping(subscriber.sent_version))
                subscriber.wakeup.wait(self._ping_seconds)
        except ConnectionLostError:
            # The task that reads the connection sees the same and ends the subscription.
            return
