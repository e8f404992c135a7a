"""Subscription to control: receives configuration and members, and sends heartbeats.

Owns the connection to one control process at a time and the selection of the next one. The
adopted configuration belongs to the subscribing process.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import gevent

from cranklane.common.units import MICROSECONDS
from cranklane.distribution.configuration_file import ConfigurationFile
from cranklane.distribution.reconnect import Reconnect
from cranklane.distribution.subscription_callbacks import (
    AdoptedConfiguration,
    SubscriptionCallbacks,
    SubscriptionTiming,
)
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ConfigDelta,
    ControlReplicas,
    Departures,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    IncarnationKnown,
    MemberDelta,
    Message,
    Ping,
    Subscribe,
    TenantShares,
)
from cranklane.runtime.interface import Address, Runtime, Storage, parse_address

NEWER_VERSION_GRACE_SECONDS = 4.0
"""Time after another node shows a newer version until this node leaves its control process, which
may be out of touch without having detected it. Above ``control.process.OUT_OF_TOUCH_SECONDS``."""


class Subscription:
    """Keeps a connection to one of several control processes.

    :param controls: initial addresses of control processes; control may announce others.
    :param identity: identity of this node; the subscription fills in version and session.
    :param configuration: the adopted configuration, to which deltas are applied.
    :param storage: storage for the adopted configuration, None to save nothing.
    :param callbacks: callbacks of the subscribing process.
    :param log: logger of connection changes.
    :ivar connected: whether a control process serves this node now.
    """

    def __init__(
        self,
        runtime: Runtime,
        controls: Sequence[Address],
        identity: Subscribe,
        configuration: AdoptedConfiguration,
        storage: Storage | None,
        callbacks: SubscriptionCallbacks,
        log: Any,
        timing: SubscriptionTiming | None = None,
    ) -> None:
        self._runtime = runtime
        self._controls = list(controls)
        self._identity = identity
        self._configuration = configuration
        self._file = ConfigurationFile(storage) if storage is not None else None
        self._announced: list[Address] = []
        self._timing = timing or SubscriptionTiming()
        self._reconnect = Reconnect(self._timing.max_backoff)
        self._callbacks = callbacks
        self._log = log
        self._records: RecordConnection | None = None
        self._stopped = False
        self._newer_version_seen_at: float | None = None
        self.connected = False
        self._closed_bytes_received = 0

    @property
    def bytes_received(self) -> int:
        """Bytes received from control since startup."""
        records = self._records
        return self._closed_bytes_received + (records.bytes_received if records else 0)

    def load(self) -> None:
        """Adopt the saved configuration, if there is one."""
        saved = self._file.load() if self._file is not None else None
        if saved is not None and self._configuration.adopt(saved):
            self._callbacks.on_change()

    def follow(self) -> None:
        """Follow control until :meth:`stop`, with backoff between rounds of attempts."""
        while not self._stopped:
            self._identity.last_resort = False
            for address in self._candidates():
                if not self._stopped and self._follow_process(address):
                    self._reconnect.reset()
            self._reconnect.end_round()
            if self._reconnect.accepts_out_of_touch():
                self._follow_out_of_touch()
            gevent.sleep(self._reconnect.next_pause(self._runtime.random))

    def _follow_out_of_touch(self) -> None:
        """Follow the first control process that serves, even if it is out of touch.

        Such a process still provides its local members.
        """
        self._identity.last_resort = True
        for address in self._candidates():
            if not self._stopped and self._follow_process(address):
                return

    def _candidates(self) -> list[Address]:
        """Return shuffled addresses to try: announced ones first, then the initial ones."""
        announced_controls = list(self._announced)
        initial_controls = [
            address for address in self._controls if address not in announced_controls
        ]
        self._runtime.random.shuffle(announced_controls)
        self._runtime.random.shuffle(initial_controls)
        return announced_controls + initial_controls

    def set_initial_controls(self, controls: Sequence[Address]) -> None:
        """Replace the initial addresses after a change of the settings."""
        self._controls = list(controls)

    def _follow_process(self, address: Address) -> bool:
        """Follow one control process until the connection is lost; return whether it served."""
        try:
            connection = self._runtime.connect(address, self._reconnect.connect_timeout)
        except OSError:
            # The next address is tried; ``connected`` shows that no process serves.
            return False
        records = RecordConnection(connection, self._timing.idle_timeout)
        try:
            records.handshake(
                Hello(incarnation=self._identity.incarnation, node=self._identity.node)
            )
            self._renew_identity()
            records.send(self._identity)
            self._records = records
            self._runtime.spawn(self._send_heartbeats, records)
            while True:
                self._receive(records)
        except (ConnectionLostError, MalformedRecordError) as error:
            return self._close_lost_connection(records, error)
        except Exception as error:
            self._close_lost_connection(records, error)
            raise

    def _renew_identity(self) -> None:
        """Update session, version and state in the identity for a new connection."""
        identity = self._identity
        identity.version = self._configuration.version
        identity.session += 1
        current_state = self._callbacks.heartbeat()
        identity.state = current_state.state
        identity.slots = current_state.slots
        identity.instance = current_state.instance
        identity.service = current_state.service or identity.service

    def _receive(self, records: RecordConnection) -> None:
        _, message = records.receive()
        if not self.connected:
            self.connected = True
            self._log.info("control_connected")
        match message:
            case ConfigDelta():
                self._adopt(records, message)
            case MemberDelta():
                self._callbacks.on_members(message)
            case ControlReplicas():
                self._announced = [parse_address(text) for text in message.addresses]
            case HeartbeatAnswer() | TenantShares() | Departures() if (
                self._callbacks.on_answer is not None
            ):
                self._callbacks.on_answer(message)
            case IncarnationKnown():
                self._raise_incarnation(message.incarnation)
            case Ping():
                pass
            case _:
                raise MalformedRecordError(f"{type(message).__name__} is not expected from control")

    def _raise_incarnation(self, newest_incarnation: int) -> None:
        """Reconnect with an incarnation above the newest incarnation known to control.

        Incarnations come from the wall clock, which may have been ahead when an earlier process
        of this name started.

        :raises ConnectionLostError: to subscribe again, if ``raises_incarnation`` is set.
        """
        if self._timing.raises_incarnation:
            self._log.warning(
                "incarnation_raised",
                known=newest_incarnation,
                own=self._identity.incarnation,
            )
            self._identity.incarnation = newest_incarnation + 1
            raise ConnectionLostError(
                "control knows a newer incarnation of this name; subscribing with a higher one"
            )

    def _adopt(self, records: RecordConnection, delta: ConfigDelta) -> None:
        if delta.version < self._configuration.version:
            # The control process is behind: keep the newer configuration.
            return
        if not delta.whole and delta.base != self._configuration.version:
            raise MalformedRecordError(
                "the base of a configuration delta is not the current version"
            )
        if self._file is not None:
            self._file.save(delta)
        self._configuration.adopt(delta)
        self._newer_version_seen_at = None
        self._callbacks.on_change()
        records.send(self._heartbeat())

    def _heartbeat(self) -> Heartbeat:
        heartbeat = self._callbacks.heartbeat()
        heartbeat.incarnation = self._identity.incarnation
        heartbeat.version = self._configuration.version
        if self._callbacks.on_answer is not None:
            heartbeat.asked_us = int(self._runtime.monotonic() * MICROSECONDS)
        return heartbeat

    def _send_heartbeats(self, records: RecordConnection) -> None:
        try:
            while not records.closed:
                records.send(self._heartbeat())
                gevent.sleep(self._timing.heartbeat)
                self._disconnect_if_behind(records)
        except ConnectionLostError:
            # The task that reads the connection tries another control process.
            return
        finally:
            # Without heartbeats, control would take this node for gone.
            records.close()

    def on_newer_version(self) -> None:
        """Record that another node has a newer configuration version.

        Rows are requested only from control: the other node has rows of other services, and
        a version is complete only with all rows for this node.
        """
        if self._newer_version_seen_at is None:
            self._newer_version_seen_at = self._runtime.monotonic()

    def _disconnect_if_behind(self, records: RecordConnection) -> None:
        since = self._newer_version_seen_at
        if since is not None and self._runtime.monotonic() - since > NEWER_VERSION_GRACE_SECONDS:
            self._newer_version_seen_at = None
            self._log.warning("control_behind", version=self._configuration.version)
            records.close()

    def announce(self) -> None:
        """Send a heartbeat immediately after a change of this node's state."""
        self.send(self._heartbeat)

    def send(self, make: Callable[[], Message | None]) -> None:
        """Create a record and send it to control, if connected.

        :param make: returns the record, or None to send nothing.
        """
        records = self._records
        if records is None or records.closed:
            return
        message = make()
        if message is None:
            return
        try:
            records.send(message)
        except ConnectionLostError:
            # The task that reads the connection tries another control process.
            return

    def stop(self) -> None:
        """Stop following control; a replacement with the same name may be running already."""
        self._stopped = True
        if self._records is not None:
            self._records.close()

    def _close_lost_connection(self, records: RecordConnection, error: Exception) -> bool:
        """Close a lost connection; return whether the control process served."""
        records.close()
        self._closed_bytes_received += records.bytes_received
        if self._records is records:
            self._records = None
        served = self.connected
        self.connected = False
        if served:
            self._log.warning("control_lost", error=str(error))
        return served
