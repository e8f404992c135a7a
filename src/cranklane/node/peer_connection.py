"""The calling side of a connection to one destination node.

Many calls share the connection. One task reads; each call's own task sends and
waits. A call's number is never used again on its connection, so a late record
finds no call and is dropped.
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

PING_SECONDS = 1.0
"""Seconds between pings on a connection. A choice: the reports of load that answer them stay
current, and an idle pair of nodes costs little."""

SILENT_SECONDS = 3.0
"""Seconds without a byte after which a destination counts as lost. A choice: three pings."""


class PeerConnection:
    """A connection to one destination node.

    :ivar going_away: the destination takes no new calls here.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        own: Hello,
        connect_timeout: float,
        on_load: Callable[[LoadReport], None],
        version: Callable[[], int],
    ) -> None:
        connection = runtime.connect(address, connect_timeout)
        self._runtime = runtime
        self._records = RecordConnection(connection, SILENT_SECONDS)
        self.peer = self._records.handshake(own)
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

        :raises ConnectionLostError: when nothing of it was sent.
        """
        self._next_number += 1
        call = PeerCall(self, self._next_number)
        self._calls[call.number] = call
        if self._records.closed:
            self.end(call)
            raise ConnectionLostError("connection is closed")
        # From here on part of the record may be on its way: a failure goes to the call,
        # whose outcome is then unknown.
        try:
            self._records.send(message, call.number)
        except ConnectionLostError as error:
            call.deliver(error)
        return call

    def end(self, call: PeerCall) -> None:
        """Take no more records for a call."""
        self._calls.pop(call.number, None)

    def send_quietly(self, message: Message, number: int) -> None:
        """Send a record that need not arrive."""
        try:
            self._records.send(message, number)
        except ConnectionLostError:
            # The task that reads notices it too, and ends all calls on the connection.
            pass

    def _read(self) -> None:
        try:
            while True:
                number, message = self._records.receive()
                self._take(number, message)
        except (ConnectionLostError, MalformedRecordError) as error:
            self._lost(error)

    def _take(self, number: int, message: Message) -> None:
        if number == CONNECTION_CALL:
            if isinstance(message, LoadReport):
                self._on_load(message)
            elif isinstance(message, GoingAway):
                self.going_away = True
            return
        call = self._calls.get(number)
        if call is not None:
            call.deliver(message)

    def _lost(self, error: Exception) -> None:
        self._records.close()
        calls = list(self._calls.values())
        self._calls.clear()
        for call in calls:
            call.deliver(ConnectionLostError(str(error)))

    def _ping(self) -> None:
        watch = IdleMonitor(self._records, SILENT_SECONDS, self._runtime.monotonic())
        while not self._records.closed:
            self.send_quietly(Ping(self._version()), CONNECTION_CALL)
            gevent.sleep(PING_SECONDS)
            watch.close_if_idle(self._runtime.monotonic())

    def close(self) -> None:
        """Close the connection; its calls end as lost."""
        self._records.close()
