"""Server of node subscriptions.

One task for each subscriber sends deltas from its last sent state, so that a slow subscriber gets
one larger delta rather than a queue of small ones. Owns the set of subscribers;
:class:`SubscriberUpdates` builds the updates.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from cranklane.common.rate_limit import RateLimit
from cranklane.distribution.membership import Membership
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.distribution.subscriber import Subscriber
from cranklane.distribution.subscriber_updates import RowSource, SubscriberUpdates
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    DepartureReport,
    Departures,
    Heartbeat,
    IncarnationKnown,
    Ping,
    Subscribe,
    UsageReport,
)
from cranklane.runtime.interface import Runtime

IDLE_TIMEOUT_SECONDS = 6.0
"""Time without received bytes after which a subscriber is lost: three heartbeat intervals, as for
a member's lease."""

MERGE_DELAY_SECONDS = 0.05
"""Delay that merges changes before they are sent, so that many simultaneous joins are one record
for each subscriber."""

PING_INTERVAL_SECONDS = 2.0
"""Interval of pings to a subscriber without updates; two fit into
``subscription_callbacks.CONTROL_IDLE_TIMEOUT_SECONDS``."""

FAILURE_LINES_PER_SECOND = 1.0
"""Rate limit of lines on updates that could not be sent; each subscriber's may fail."""


class Publisher:
    """Serves the subscribers of one control process.

    :param log: logger of updates that could not be sent.
    :param replicas: returns the addresses of control processes for subscribers, None to send
        none.
    :param ping_seconds: interval of pings to a subscriber without updates.
    :ivar subscribers: current subscribers by node name.
    :ivar failed_updates: updates and rows that could not be sent since the start.
    """

    def __init__(
        self,
        runtime: Runtime,
        source: RowSource,
        membership: Membership,
        log: Any,
        replicas: Callable[[], list[str]] | None = None,
        ping_seconds: float = PING_INTERVAL_SECONDS,
    ) -> None:
        self._ping_seconds = ping_seconds
        self._runtime = runtime
        self._membership = membership
        self._changed = Event()
        self._log = log
        self._failure_limit = RateLimit(runtime.monotonic, FAILURE_LINES_PER_SECOND)
        self.failed_updates = 0
        self._updates = SubscriberUpdates(source, membership, replicas, self._update_failed)
        self.subscribers: dict[str, Subscriber] = {}
        self._sidecars: SidecarSupport | None = None
        runtime.spawn_restarting(self._wake_subscribers)

    def serve_sidecars(self, sidecars: SidecarSupport) -> None:
        """Enable heartbeat answers, usage reports and admission ratios for sidecars."""
        self._sidecars = sidecars
        self._updates.sidecars = sidecars

    def changed(self) -> None:
        """Send updates to subscribers after a delay of ``MERGE_DELAY_SECONDS``."""
        self._changed.set()

    def _wake_subscribers(self) -> None:
        while True:
            self._changed.wait()
            gevent.sleep(MERGE_DELAY_SECONDS)
            self._changed.clear()
            self.wake()

    def wake(self) -> None:
        """Send updates to all subscribers without delay."""
        for subscriber in list(self.subscribers.values()):
            subscriber.wakeup.set()

    def wake_new_subscribers(self) -> None:
        """Send updates without delay to the subscribers that await their departures."""
        for subscriber in list(self.subscribers.values()):
            if subscriber.sent_departures is None:
                subscriber.wakeup.set()

    def serve(self, records: RecordConnection, identity: Subscribe) -> None:
        """Serve one subscriber's connection until it closes."""
        subscriber = Subscriber(identity, records)
        subscriber.subscribed_at = self._runtime.monotonic()
        try:
            newest = self._membership.incarnation_of(identity.node)
            if newest > identity.incarnation:
                records.send(IncarnationKnown(newest))
            self._register(subscriber)
            while True:
                self._receive(subscriber)
        except (ConnectionLostError, MalformedRecordError):
            # The node subscribes here again or elsewhere before its lease expires.
            return
        finally:
            records.close()
            self._unregister(subscriber)

    def _receive(self, subscriber: Subscriber) -> None:
        """Receive and process one record of a subscriber."""
        _, message = subscriber.records.receive()
        subscriber.last_record_at = self._runtime.monotonic()
        match message:
            case Heartbeat():
                self._membership.heartbeat(subscriber.identity, message)
                if self._sidecars is not None:
                    self._sidecars.answer_heartbeat(subscriber.records, message)
                if subscriber.sent_departures is None:
                    # They wait until the leader has confirmed this process's state.
                    subscriber.wakeup.set()
            case UsageReport() if self._sidecars is not None:
                self._sidecars.take_usage(message)
            case DepartureReport() if self._sidecars is not None:
                self._runtime.spawn(
                    self._store_departures, self._sidecars, subscriber, message.instances
                )
            case _:
                raise MalformedRecordError(
                    f"{type(message).__name__} is not expected from a subscriber"
                )

    @staticmethod
    def _store_departures(
        sidecars: SidecarSupport, subscriber: Subscriber, instances: list[str]
    ) -> None:
        """Store the departures of a subscriber's worker, and confirm them.

        The first record of departures has to name all that are stored: the sidecar uses its worker
        from then on. So nothing is confirmed before it; the sidecar reports again.
        """
        if not sidecars.store_departures(subscriber.identity.node, instances):
            return
        if subscriber.sent_departures is None:
            return
        try:
            subscriber.records.send(Departures(instances))
        except ConnectionLostError:
            # The sidecar reports them again, here or elsewhere.
            return

    def count_active_since(self, moment: float) -> int:
        """Return the number of subscribers that sent a record since a monotonic second."""
        return sum(item.last_record_at >= moment for item in self.subscribers.values())

    def end_subscriptions(self, before: float, last_resort_before: float) -> int:
        """Close connections of subscribers, so that they find another control process.

        :param before: monotonic second; older ordinary subscriptions are ended.
        :param last_resort_before: monotonic second; older last-resort subscriptions are ended.
        :returns: number of ended subscriptions.
        """
        ended = 0
        for subscriber in list(self.subscribers.values()):
            limit = last_resort_before if subscriber.identity.last_resort else before
            if subscriber.subscribed_at < limit:
                subscriber.records.close()
                ended += 1
        return ended

    def _register(self, subscriber: Subscriber) -> None:
        name = subscriber.identity.node
        existing = self.subscribers.get(name)
        if existing is not None:
            existing_order = (existing.identity.incarnation, existing.identity.session)
            if existing_order > (subscriber.identity.incarnation, subscriber.identity.session):
                raise ConnectionLostError("a newer process of this name is subscribed")
            existing.records.close()
        self.subscribers[name] = subscriber
        self._updates.mark_current(subscriber)
        self._membership.add_subscriber(subscriber.identity)
        self._runtime.spawn_restarting(self._publish, subscriber)

    def _unregister(self, subscriber: Subscriber) -> None:
        subscriber.wakeup.set()
        if self.subscribers.get(subscriber.identity.node) is subscriber:
            del self.subscribers[subscriber.identity.node]

    def _update_failed(self, update: str, error: Exception) -> None:
        """Count and log an update that could not be sent."""
        self.failed_updates += 1
        if self._failure_limit.allows():
            self._log.error(
                "update_failed",
                update=update,
                error=f"{type(error).__name__}: {ascii(str(error))}",
                others=self._failure_limit.take_left_out(),
            )

    def _publish(self, subscriber: Subscriber) -> None:
        records = subscriber.records
        try:
            while not records.closed:
                subscriber.wakeup.clear()
                if not self._updates.send(subscriber):
                    records.send(Ping(subscriber.sent_version))
                subscriber.wakeup.wait(self._ping_seconds)
        except ConnectionLostError:
            # The task that reads the connection fails as well and ends the subscription.
            return
