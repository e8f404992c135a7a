"""Follows control: configuration and members in, heartbeats out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import gevent

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.common.units import MICROSECONDS
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    ConfigDelta,
    ConfigRow,
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

HEARTBEAT_SECONDS = 2.0
"""Seconds between heartbeats to control."""

CONTROL_SILENT_SECONDS = 5.0
"""Seconds without a byte from control after which another one is tried."""

NEWER_SEEN_SECONDS = 4.0
"""Seconds that other nodes may show a newer version before this one looks for
another control process: its own may have lost touch without knowing it."""

CONNECT_SECONDS = 1.0

FIRST_CONNECT_SECONDS = 0.25
"""Seconds for a connection in the first round over all control processes: a machine
without power does not answer at all, and another one may be there. Each further
round allows twice as long."""

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0


_FILE = "configuration"


class ConfigurationFile:
    """The adopted configuration on disk, so that a restart never goes back."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._rows: dict[str, ConfigRow] = {}

    def load(self) -> ConfigDelta | None:
        """Return what was adopted last, or None when there is nothing usable."""
        data = self._storage.read(_FILE)
        payload = verified_payload(data) if data is not None else None
        if payload is None:
            return None
        delta = ConfigDelta.unpack(payload)
        self._rows = {row.key: row for row in delta.rows}
        return delta

    def save(self, delta: ConfigDelta) -> None:
        """Put the state after a delta on disk, synced."""
        if delta.whole:
            self._rows.clear()
        for row in delta.rows:
            if row.value:
                self._rows[row.key] = row
            else:
                self._rows.pop(row.key, None)
        whole = ConfigDelta(version=delta.version, whole=True, rows=list(self._rows.values()))
        self._storage.replace(_FILE, add_checksum(whole.pack()))


class AdoptedConfiguration(Protocol):
    """What a subscription brings up to date."""

    version: int

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False when it does not follow what is in force."""


@dataclass(frozen=True)
class FollowTiming:
    """Times of a subscription, in seconds.

    :ivar heartbeat: between heartbeats to control.
    :ivar raises_incarnation: whether no other process of this name can be alive, so
        that one that seems newer is an earlier one whose clock was ahead.
    :ivar silent: without a byte from control after which another one is tried.
    """

    heartbeat: float = HEARTBEAT_SECONDS
    silent: float = CONTROL_SILENT_SECONDS
    max_backoff: float = MAX_BACKOFF_SECONDS
    raises_incarnation: bool = False


class Subscription:
    """Keeps one connection to one of several control processes.

    :param controls: addresses to start from; control may name others later.
    :param identity: who this node is; versions are filled in here.
    :param storage: keeps what was adopted over a restart; None keeps nothing.
    :param heartbeat: returns the node's own state for its heartbeats; who it is
        and the version in force are filled in here.
    :param on_change: called after a change of configuration is in force.
    :param on_answer: given answers to heartbeats and shares of tenants; None asks for none.
    :ivar connected: whether a control process answers now.
    """

    def __init__(
        self,
        runtime: Runtime,
        controls: Sequence[Address],
        identity: Subscribe,
        configuration: AdoptedConfiguration,
        storage: Storage | None,
        on_members: Callable[[MemberDelta], None],
        on_change: Callable[[], None],
        heartbeat: Callable[[], Heartbeat],
        log: Any,
        timing: FollowTiming | None = None,
        on_answer: Callable[[Message], None] | None = None,
    ) -> None:
        self._runtime = runtime
        self._controls = list(controls)
        self._identity = identity
        self._configuration = configuration
        self._file = ConfigurationFile(storage) if storage is not None else None
        self._named: list[Address] = []
        self._timing = timing or FollowTiming()
        self._on_members = on_members
        self._on_answer = on_answer
        self._on_change = on_change
        self._own_state = heartbeat
        self._log = log
        self._records: RecordConnection | None = None
        self._stopped = False
        self._newer_since: float | None = None
        self.connected = False
        self._earlier_received = 0
        self._earlier_sent = 0

    @property
    def bytes_received(self) -> int:
        """Bytes that came from control since the start."""
        records = self._records
        return self._earlier_received + (records.bytes_received if records else 0)

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to control since the start."""
        records = self._records
        return self._earlier_sent + (records.bytes_sent if records else 0)

    def load(self) -> None:
        """Put the configuration adopted before the last stop in force."""
        saved = self._file.load() if self._file is not None else None
        if saved is not None and self._configuration.adopt(saved):
            self._on_change()

    def follow(self) -> None:
        """Follow control until told to stop."""
        backoff = MIN_BACKOFF_SECONDS
        connect = FIRST_CONNECT_SECONDS
        while not self._stopped:
            self._identity.last_resort = False
            for address in self._candidates():
                if not self._stopped and self._follow_one(address, connect):
                    backoff = MIN_BACKOFF_SECONDS
                    connect = FIRST_CONNECT_SECONDS
            connect = min(CONNECT_SECONDS, connect * 2)
            if backoff > MIN_BACKOFF_SECONDS:
                # None of them is in touch with its group: better one that knows
                # the members around it than none.
                self._identity.last_resort = True
                for address in self._candidates():
                    if not self._stopped and self._follow_one(address, connect):
                        break
            gevent.sleep(backoff * (0.5 + self._runtime.random.random()))
            backoff = min(self._timing.max_backoff, backoff * 2)

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

    def _follow_one(self, address: Address, connect_seconds: float) -> bool:
        """Follow one control process until it is lost; return whether it served."""
        try:
            connection = self._runtime.connect(address, connect_seconds)
        except OSError:
            return False
        records = RecordConnection(connection, self._timing.silent)
        try:
            records.greet(Hello(incarnation=self._identity.incarnation, node=self._identity.node))
            self._identity.version = self._configuration.version
            self._identity.session += 1
            own = self._own_state()
            self._identity.state = own.state
            self._identity.slots = own.slots
            self._identity.instance = own.instance
            self._identity.service = own.service or self._identity.service
            records.send(self._identity)
            self._records = records
            self._runtime.spawn(self._send_heartbeats, records)
            while True:
                self._take(records)
        except (ConnectionLostError, MalformedRecordError) as error:
            return self._lost(records, error)

    def _take(self, records: RecordConnection) -> None:
        _, message = records.receive()
        if not self.connected:
            self.connected = True
            self._log.info("control_connected")
        match message:
            case ConfigDelta():
                self._adopt(records, message)
            case MemberDelta():
                self._on_members(message)
            case ControlReplicas():
                self._named = [parse_address(text) for text in message.addresses]
            case HeartbeatAnswer() | TenantShares() if self._on_answer is not None:
                self._on_answer(message)
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
        self._on_change()
        records.send(self._heartbeat())

    def _heartbeat(self) -> Heartbeat:
        heartbeat = self._own_state()
        heartbeat.incarnation = self._identity.incarnation
        heartbeat.version = self._configuration.version
        if self._on_answer is not None:
            heartbeat.asked_us = int(self._runtime.monotonic() * MICROSECONDS)
        return heartbeat

    def _send_heartbeats(self, records: RecordConnection) -> None:
        while not records.closed:
            try:
                records.send(self._heartbeat())
            except ConnectionLostError:
                return
            gevent.sleep(self._timing.heartbeat)
            self._leave_when_behind(records)

    def newer_seen(self) -> None:
        """Take that another node has shown a version newer than the one in force here.

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
            pass

    def stop(self) -> None:
        """Follow control no more; a replacement of the same name may be there already."""
        self._stopped = True
        if self._records is not None:
            self._records.close()

    def _lost(self, records: RecordConnection, error: Exception) -> bool:
        """Take that a connection ended; return whether it had served."""
        records.close()
        self._earlier_received += records.bytes_received
        self._earlier_sent += records.bytes_sent
        if self._records is records:
            self._records = None
        served = self.connected
        self.connected = False
        if served:
            self._log.warning("control_lost", error=str(error))
        return served
