"""Calling side of a connection to one destination node.

Many calls share the connection. One task reads all records; each call's task sends its records
and waits for the answer. Call numbers are never reused on a connection, so a late record
matches no call and is dropped.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.node.peer_call import PeerCall
from cranklane.records.connection import CONNECTION_CALL, IdleMonitor, RecordConnection
from cranklane.records.messages import (
    CallOpen,
    GoingAway,
    Hello,
    LoadReport,
    Message,
    Ping,
)
from cranklane.runtime.interface import Address, Runtime

PING_INTERVAL_SECONDS = 1.0
"""Seconds between pings on a connection; each is answered with a load report."""

IDLE_TIMEOUT_SECONDS = 3.0
"""Seconds without a byte after which a connection counts as lost; several pings long."""


class PeerConnection:
    """Connection to one destination node.

    :ivar going_away: whether the destination has announced that it accepts no new calls.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        hello: Hello,
        connect_timeout: float,
        on_load: Callable[[LoadReport], None],
        version: Callable[[], int],
    ) -> None:
        connection = runtime.connect(address, connect_timeout)
        self._runtime = runtime
        self._records = RecordConnection(connection, IDLE_TIMEOUT_SECONDS)
        self.peer = self._records.handshake(hello)
        self._records.set_idle_timeout(None)
        self._calls: dict[int, PeerCall] = {}
        self._next_number = CONNECTION_CALL
        self._on_load = on_load
        self._version = version
        self.going_away = False
        runtime.spawn(self._read)
        runtime.spawn(self._ping)

    @property
    def usable(self) -> bool:
        """Whether new calls may be opened."""
        return not self._records.closed and not self.going_away

    def open(self, message: CallOpen) -> PeerCall:
        """Open a call.

        :raises ConnectionLostError: when the connection was closed before anything was sent.
        """
        self._next_number += 1
        call = PeerCall(self, self._next_number)
        self._calls[call.number] = call
        if self._records.closed:
            self.end(call)
            raise ConnectionLostError("the connection is closed")
        # A failed send may have sent part of the record, so the call's outcome is unknown:
        # deliver the error to the call instead of raising it.
        try:
            self._records.send(message, call.number)
        except ConnectionLostError as error:
            call.deliver(error)
        return call

    def end(self, call: PeerCall) -> None:
        """Stop delivering records to a call."""
        self._calls.pop(call.number, None)

    def send_quietly(self, message: Message, number: int) -> None:
        """Send a record; ignore a lost connection."""
        try:
            self._records.send(message, number)
        except ConnectionLostError:
            # The reading task detects the loss as well and fails all calls on the connection.
            pass

    def _read(self) -> None:
        reason = "the task that reads the connection has ended"
        try:
            while True:
                number, message = self._records.receive()
                self._handle_record(number, message)
        except (ConnectionLostError, MalformedRecordError) as error:
            reason = str(error)
        finally:
            self._fail_calls(reason)

    def _handle_record(self, number: int, message: Message) -> None:
        if number == CONNECTION_CALL:
            if isinstance(message, LoadReport):
                self._on_load(message)
            elif isinstance(message, GoingAway):
                self.going_away = True
            return
        call = self._calls.get(number)
        if call is not None:
            call.deliver(message)

    def _fail_calls(self, reason: str) -> None:
        self._records.close()
        calls = list(self._calls.values())
        self._calls.clear()
        for call in calls:
            call.deliver(ConnectionLostError(reason))

    def _ping(self) -> None:
        monitor = IdleMonitor(self._records, IDLE_TIMEOUT_SECONDS, self._runtime.monotonic())
        while not self._records.closed:
            self.send_quietly(Ping(self._version()), CONNECTION_CALL)
            gevent.sleep(PING_INTERVAL_SECONDS)
            monitor.close_if_idle(self._runtime.monotonic())

    def close(self) -> None:
        """Close the connection, which fails its calls with ConnectionLostError."""
        self._records.close()
