"""Follows control: configuration and members in, heartbeats out.

Owns the connection to one control process at a time and the choice of the next one. The
configuration in force belongs to the process that follows.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import gevent

from cranklane.common.units import MICROSECONDS
from cranklane.distribution.configuration_file import ConfigurationFile
from cranklane.distribution.follower import AdoptedConfiguration, Follower, FollowTiming
from cranklane.distribution.reconnect import Reconnect
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ConfigDelta,
    ControlReplicas,
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

NEWER_SEEN_SECONDS = 4.0
"""Time that other nodes may show a newer version before this one looks for another control
process: its own may have lost touch without knowing it. A choice: above the 3 s after which a
control process notices by itself."""


class Subscription:
    """Keeps one connection to one of several control processes.

    :param controls: addresses to start from; control may name others later.
    :param identity: who this node is; versions are filled in here.
    :param configuration: what is in force here; deltas are applied to it.
    :param storage: keeps what was adopted over a restart; None keeps nothing.
    :param follower: the process that follows.
    :param log: for changes of the connection.
    :ivar connected: whether a control process answers now.
    """

    def __init__(
        self,
        runtime: Runtime,
        controls: Sequence[Address],
        identity: Subscribe,
        configuration: AdoptedConfiguration,
        storage: Storage | None,
        follower: Follower,
        log: Any,
        timing: FollowTiming | None = None,
    ) -> None:
        self._runtime = runtime
        self._controls = list(controls)
        self._identity = identity
        self._configuration = configuration
        self._file = ConfigurationFile(storage) if storage is not None else None
        self._named: list[Address] = []
        self._timing = timing or FollowTiming()
        self._reconnect = Reconnect(self._timing.max_backoff)
        self._follower = follower
        self._log = log
        self._records: RecordConnection | None = None
        self._stopped = False
        self._newer_since: float | None = None
        self.connected = False
        self._earlier_received = 0

    @property
    def bytes_received(self) -> int:
        """Bytes that came from control since the start."""
        records = self._records
        return self._earlier_received + (records.bytes_received if records else 0)

    def load(self) -> None:
        """Put the configuration adopted before the last stop in force."""
        saved = self._file.load() if self._file is not None else None
        if saved is not None and self._configuration.adopt(saved):
            self._follower.on_change()

    def follow(self) -> None:
        """Follow control until told to stop."""
        while not self._stopped:
            self._identity.last_resort = False
            for address in self._candidates():
                if not self._stopped and self._follow_one(address):
                    self._reconnect.served()
            self._reconnect.round_ended()
            if self._reconnect.needs_any():
                self._follow_out_of_touch()
            gevent.sleep(self._reconnect.pause(self._runtime.random))

    def _follow_out_of_touch(self) -> None:
        """Follow the first control process that serves, in touch with its group or not.

        One that knows the members around it is better than none.
        """
        self._identity.last_resort = True
        for address in self._candidates():
            if not self._stopped and self._follow_one(address):
                return

    def _candidates(self) -> list[Address]:
        """Return the control processes to try: those named last, then the first ones."""
        named = list(self._named)
        first = [address for address in self._controls if address not in named]
        self._runtime.random.shuffle(named)
        self._runtime.random.shuffle(first)
        return named + first

    def start_from(self, controls: Sequence[Address]) -> None:
        """Replace the addresses to start from, as when the settings have changed."""
        self._controls = list(controls)

    def _follow_one(self, address: Address) -> bool:
        """Follow one control process until it is lost; return whether it served."""
        try:
            connection = self._runtime.connect(address, self._reconnect.connect_seconds)
        except OSError:
            # Another one is tried; that none answers shows in ``connected``.
            return False
        records = RecordConnection(connection, self._timing.silent)
        try:
            records.greet(Hello(incarnation=self._identity.incarnation, node=self._identity.node))
            self._renew_identity()
            records.send(self._identity)
            self._records = records
            self._runtime.spawn(self._send_heartbeats, records)
            while True:
                self._take(records)
        except (ConnectionLostError, MalformedRecordError) as error:
            return self._lost(records, error)

    def _renew_identity(self) -> None:
        """Fill in what a new session states: the version in force and the own state."""
        identity = self._identity
        identity.version = self._configuration.version
        identity.session += 1
        own = self._follower.heartbeat()
        identity.state = own.state
        identity.slots = own.slots
        identity.instance = own.instance
        identity.service = own.service or identity.service

    def _take(self, records: RecordConnection) -> None:
        _, message = records.receive()
        if not self.connected:
            self.connected = True
            self._log.info("control_connected")
        match message:
            case ConfigDelta():
                self._adopt(records, message)
            case MemberDelta():
                self._follower.on_members(message)
            case ControlReplicas():
                self._named = [parse_address(text) for text in message.addresses]
            case HeartbeatAnswer() | TenantShares() if self._follower.on_answer is not None:
                self._follower.on_answer(message)
            case IncarnationKnown():
                self._raise_incarnation(message.incarnation)
            case Ping():
                pass
            case _:
                raise MalformedRecordError(f"{type(message).__name__} from control")

    def _raise_incarnation(self, known: int) -> None:
        """Subscribe again as newer than all that was known of this name.

        Incarnations come from the clock of the day, which may have been ahead
        when an earlier process of this name started.
        """
        if self._timing.raises_incarnation:
            self._log.warning("incarnation_raised", known=known, own=self._identity.incarnation)
            self._identity.incarnation = known + 1
            raise ConnectionLostError("an earlier process of this name seemed newer")

    def _adopt(self, records: RecordConnection, delta: ConfigDelta) -> None:
        if delta.version < self._configuration.version:
            # An old replica: what is in force here stays.
            return
        if not delta.whole and delta.base != self._configuration.version:
            raise MalformedRecordError("a configuration change is missing in between")
        if self._file is not None:
            self._file.save(delta)
        self._configuration.adopt(delta)
        self._newer_since = None
        self._follower.on_change()
        records.send(self._heartbeat())

    def _heartbeat(self) -> Heartbeat:
        heartbeat = self._follower.heartbeat()
        heartbeat.incarnation = self._identity.incarnation
        heartbeat.version = self._configuration.version
        if self._follower.on_answer is not None:
            heartbeat.asked_us = int(self._runtime.monotonic() * MICROSECONDS)
        return heartbeat

    def _send_heartbeats(self, records: RecordConnection) -> None:
        while not records.closed:
            try:
                records.send(self._heartbeat())
            except ConnectionLostError:
                # The task that reads the connection follows another control process.
                return
            gevent.sleep(self._timing.heartbeat)
            self._leave_when_behind(records)

    def newer_seen(self) -> None:
        """Note that another node has shown a version newer than the one in force here.

        Rows are not asked of that node: it holds those of other services, and a
        version is in force only with all rows that concern this one.
        """
        if self._newer_since is None:
            self._newer_since = self._runtime.monotonic()

    def _leave_when_behind(self, records: RecordConnection) -> None:
        since = self._newer_since
        if since is not None and self._runtime.monotonic() - since > NEWER_SEEN_SECONDS:
            self._newer_since = None
            self._log.warning("control_behind", version=self._configuration.version)
            records.close()

    def announce(self) -> None:
        """Send a heartbeat now, after the node's own state has changed."""
        self.send(self._heartbeat)

    def send(self, make: Callable[[], Message | None]) -> None:
        """Send a record to control, if it is connected; otherwise make none.

        :param make: returns the record, None for nothing to send.
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
            # Its reader sees the same and looks for another control process.
            return

    def stop(self) -> None:
        """Follow control no more; a replacement of the same name may be there already."""
        self._stopped = True
        if self._records is not None:
            self._records.close()

    def _lost(self, records: RecordConnection, error: Exception) -> bool:
        """Clean up after a connection ended; return whether it had served."""
        records.close()
        self._earlier_received += records.bytes_received
        if self._records is records:
            self._records = None
        served = self.connected
        self.connected = False
        if served:
            self._log.warning("control_lost", error=str(error))
        return served
