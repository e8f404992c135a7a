"""Updates of configuration, members, replicas, departures and admission ratios for subscribers.

Owns the cache of frames that subscribers share.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cranklane.distribution.membership import Membership
from cranklane.distribution.shared_frames import SharedFrameCache
from cranklane.distribution.sidecar_support import SidecarSupport
from cranklane.distribution.subscriber import Subscriber
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.policy.names import SYSTEM_TENANT
from cranklane.records.connection import CONNECTION_CALL, encode_frame
from cranklane.records.messages import (
    ConfigDelta,
    ConfigRow,
    ControlReplicas,
    Member,
    MemberDelta,
    ServiceRow,
)


class RowSource(Protocol):
    """Store of the published configuration.

    :ivar revision: revision of the newest configuration.
    """

    revision: int

    def delta(self, base: int) -> ConfigDelta:
        """Return the changes from revision ``base`` to the current revision."""

    def value(self, key: str) -> bytes:
        """Return a row's value, empty when the row is missing or deleted."""


class SubscriberUpdates:
    """Builds and sends the updates of one control process.

    :param replicas: returns the addresses of control processes for subscribers, None to send
        none.
    :param on_failure: called with what could not be sent and the exception; all else is sent.
    :ivar sidecars: provides departures and admission ratios, None without sidecars.
    """

    def __init__(
        self,
        source: RowSource,
        membership: Membership,
        replicas: Callable[[], list[str]] | None,
        on_failure: Callable[[str, Exception], None],
    ) -> None:
        self._on_failure = on_failure
        self._source = source
        self._membership = membership
        self._replicas = replicas
        self._configuration_frames = SharedFrameCache()
        self._member_frames = SharedFrameCache()
        self.sidecars: SidecarSupport | None = None

    def send(self, subscriber: Subscriber) -> bool:
        """Send pending updates to a subscriber; return whether any were sent.

        An update that fails does not keep the others from the subscriber; it is tried again the
        next time.

        :raises ConnectionLostError: when the connection is closed.
        """
        # Departures first, so that a sidecar which has just started knows them before it serves.
        updates = (
            self._send_departures,
            self._send_replicas,
            self._send_configuration,
            self._send_members,
            self._send_shares,
        )
        sent = False
        for update in updates:
            try:
                sent |= update(subscriber)
            except ConnectionLostError:
                raise
            except Exception as error:
                self._on_failure(update.__name__, error)
        return sent

    def _send_departures(self, subscriber: Subscriber) -> bool:
        if self.sidecars is None:
            return False
        node = subscriber.identity.node
        position = self.sidecars.departures_position(node)
        if position == subscriber.sent_departures:
            return False
        is_first = subscriber.sent_departures is None
        if is_first and not self.sidecars.knows_departures_until(subscriber.subscribed_at):
            return False
        subscriber.records.send(self.sidecars.departures_of(node))
        subscriber.sent_departures = position
        return True

    def mark_current(self, subscriber: Subscriber) -> None:
        """Mark the rows as sent if the subscriber has the newest configuration already."""
        if subscriber.identity.version >= self._source.revision:
            subscriber.sent_services = self.required_services(subscriber)

    def _send_replicas(self, subscriber: Subscriber) -> bool:
        addresses = self._replicas() if self._replicas is not None else []
        if addresses == subscriber.sent_replicas:
            return False
        subscriber.records.send(ControlReplicas(addresses))
        subscriber.sent_replicas = addresses
        return True

    def _send_shares(self, subscriber: Subscriber) -> bool:
        if self.sidecars is None:
            return False
        position = self.sidecars.shares_position
        shares = self.sidecars.shares_since(subscriber.sent_shares)
        if shares is None:
            return False
        subscriber.records.send(shares)
        subscriber.sent_shares = position
        return True

    def _send_configuration(self, subscriber: Subscriber) -> bool:
        revision = self._source.revision
        if revision <= subscriber.sent_version:
            return False
        if subscriber.identity.everything:
            self._send_shared_configuration(subscriber, revision)
        else:
            self._send_rows_of_services(subscriber)
        return True

    def _send_shared_configuration(self, subscriber: Subscriber, revision: int) -> None:
        base = subscriber.sent_version
        frame = self._configuration_frames.get(
            (base, revision), lambda: self._encode_delta(self._source.delta(base))
        )
        subscriber.records.send_frame(frame)
        subscriber.sent_version = revision

    def _send_rows_of_services(self, subscriber: Subscriber) -> None:
        """Send the rows of a node's service and of the services that it calls."""
        delta = self._source.delta(subscriber.sent_version)
        services = self.required_services(subscriber)
        if services != subscriber.sent_services:
            # Rows and members of newly called services were never sent, so send all.
            subscriber.sent_services = services
            subscriber.sent_members = 0
            delta = self._source.delta(0)
        if services is not None:
            delta.rows = [row for row in delta.rows if _is_relevant_row(row, services)]
        subscriber.records.send_frame(self._encode_delta(delta))
        subscriber.sent_version = delta.version

    def _encode_delta(self, delta: ConfigDelta) -> bytes:
        """Return the frame of a delta, without the rows that cannot be packed."""
        try:
            return encode_frame(CONNECTION_CALL, delta)
        except MalformedRecordError:
            delta.rows = [row for row in delta.rows if self._is_packable(row)]
            return encode_frame(CONNECTION_CALL, delta)

    def _is_packable(self, row: ConfigRow) -> bool:
        try:
            row.pack()
        except MalformedRecordError as error:
            self._on_failure(f"row {ascii(row.key)}", error)
            return False
        return True

    def required_services(self, subscriber: Subscriber) -> frozenset[str] | None:
        """Return the services whose rows and members a node needs, or None for all."""
        if subscriber.identity.everything:
            return None
        subscription = subscriber.identity
        value = self._source.value(f"service/{subscription.tenant}/{subscription.service}")
        row = ServiceRow.unpack(value) if value else ServiceRow()
        ledgers = [f"{SYSTEM_TENANT}.{group}" for group in row.ledgers]
        return frozenset({subscriber.service, *row.calls, *ledgers})

    def _send_members(self, subscriber: Subscriber) -> bool:
        position = self._membership.position
        if position == subscriber.sent_members:
            return False
        if subscriber.identity.everything:
            return self._send_shared_members(subscriber, position)
        return self._send_members_of_services(subscriber)

    def _send_shared_members(self, subscriber: Subscriber, position: int) -> bool:
        sent = subscriber.sent_members
        frame = self._member_frames.get((sent, position), lambda: self._member_frame(sent))
        subscriber.sent_members = position
        if not frame:
            return False
        subscriber.records.send_frame(frame)
        return True

    def _send_members_of_services(self, subscriber: Subscriber) -> bool:
        whole = subscriber.sent_members == 0
        changed, position = self._membership.since(subscriber.sent_members)
        members = [member for member in changed if _is_relevant_member(subscriber, member)]
        has_news = bool(members) or whole
        if has_news:
            subscriber.records.send(MemberDelta(whole, members))
        subscriber.sent_members = position
        return has_news

    def _member_frame(self, sent: int) -> bytes:
        """Return the frame with all members changed since a position, empty for none."""
        changed, _ = self._membership.since(sent)
        members = [member for member in changed if member.service]
        if not members and sent:
            return b""
        return encode_frame(CONNECTION_CALL, MemberDelta(sent == 0, members))


def _is_relevant_member(subscriber: Subscriber, member: Member) -> bool:
    services = subscriber.sent_services
    if not member.service:
        return False
    return services is None or f"{member.tenant}.{member.service}" in services


def _is_relevant_row(row: ConfigRow, services: frozenset[str]) -> bool:
    kind, _, rest = row.key.partition("/")
    return kind == "tenant" or rest.replace("/", ".") in services
