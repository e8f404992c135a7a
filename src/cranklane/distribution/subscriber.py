"""State of a subscriber at its control process."""

from __future__ import annotations

from gevent.event import Event

from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Subscribe


class Subscriber:
    """A subscription and the state sent on it.

    :ivar sent_version: revision of the configuration sent last.
    :ivar sent_services: services whose rows and members were sent, None for all.
    :ivar sent_members: position of the members sent last, 0 for none.
    :ivar sent_replicas: addresses of control processes sent last.
    :ivar sent_departures: position of the departures sent last, None for none.
    :ivar sent_shares: position of the admission ratios sent last.
    :ivar subscribed_at: monotonic second of the subscription.
    :ivar last_record_at: monotonic second of the last received record, 0 for none.
    :ivar wakeup: set when there may be an update to send.
    """

    def __init__(self, identity: Subscribe, records: RecordConnection) -> None:
        self.identity = identity
        self.records = records
        self.sent_version = identity.version
        self.sent_services: frozenset[str] | None = frozenset()
        self.sent_members = 0
        self.sent_replicas: list[str] = []
        self.sent_departures: int | None = None
        self.sent_shares = 0
        self.subscribed_at = 0.0
        self.last_record_at = 0.0
        self.wakeup = Event()

    @property
    def service(self) -> str:
        """Full name of the node's service, empty for an edge."""
        identity = self.identity
        return f"{identity.tenant}.{identity.service}" if identity.service else ""
