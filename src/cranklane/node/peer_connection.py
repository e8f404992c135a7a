"""The calling side of a connection to one destination node.

Many calls share the connection. One task reads; each call's own task sends and
waits. A call's number is never used again on its connection, so a late record
finds no call and is dropped.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

import gevent
from gevent.queue import SimpleQueue

from cranklane.errors import AnswerCutError, ConnectionLostError, MalformedRecordError
from cranklane.outcome import Reason
from cranklane.records.connection import CONNECTION_CALL, RecordConnection, SilenceWatch
from cranklane.records.messages import (
    AnswerAbort,
    AnswerBody,
    AnswerEnd,
    AnswerHead,
    CallCancel,
    CallOpen,
    Credit,
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

WINDOW_BYTES = 256 * 1024
"""Body bytes a destination may send ahead of the caller. A choice: what a call may cost in
memory; most answers fit in whole."""

CREDIT_BYTES = WINDOW_BYTES // 4
"""Body bytes read before the destination is granted as many again. A choice: a quarter of the
window, so that the sender does not run dry while the grant is on its way."""


class CallCancelledError(Exception):
    """Nobody waits for the call any more."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.label)
        self.reason = reason


class PeerCall:
    """One call on a connection, used by the task that made it.

    :ivar is_whole: whether the end of the answer has come, so that reading its
        body does not wait.
    """

    def __init__(self, connection: PeerConnection, number: int) -> None:
        self._connection = connection
        self._inbox: SimpleQueue = SimpleQueue()
        self._ended = False
        self.number = number
        self.unused_allowance = 0
        self.is_whole = False

    def deliver(self, item: Message | Exception) -> None:
        """Hand a record or an error to the call's task."""
        self.is_whole |= isinstance(item, AnswerEnd)
        self._inbox.put(item)

    def cancel(self, reason: Reason) -> None:
        """Cancel the call at the destination, and end the call's own wait."""
        if self._ended:
            return
        self._connection.end(self)
        self._ended = True
        self._connection.send_quietly(CallCancel(reason), self.number)
        self._inbox.put(CallCancelledError(reason))

    def head(self, timeout: float) -> AnswerHead:
        """Return the answer's head.

        :param timeout: seconds to wait.
        :raises gevent.Timeout: when the time is up.
        :raises ConnectionLostError: when the connection is lost.
        :raises CallCancelledError: when the call was cancelled.
        """
        with gevent.Timeout(max(0.0, timeout)):
            item = self._inbox.get()
        if isinstance(item, Exception):
            raise item
        if not isinstance(item, AnswerHead):
            raise ConnectionLostError(f"{type(item).__name__} came before the answer's head")
        return item

    def body(self, stall_timeout: float) -> Iterator[bytes]:
        """Yield the answer's body, checking that it is whole and in order.

        :param stall_timeout: seconds without any piece after which it counts as cut.
        :raises AnswerCutError: when the answer is not whole.
        """
        sequence = length = checksum = owed = 0
        while True:
            item = self._next_piece(stall_timeout)
            if isinstance(item, AnswerEnd):
                self._finish(item.allowance)
                if (item.length, item.checksum) != (length, checksum):
                    raise AnswerCutError("the body does not match its length and checksum")
                return
            if isinstance(item, AnswerAbort):
                self._finish(item.allowance)
                raise AnswerCutError(Reason(item.reason).label)
            if not isinstance(item, AnswerBody) or item.sequence != sequence:
                self.cancel(Reason.ANSWER_CUT)
                raise AnswerCutError("pieces of the body are missing, doubled or out of order")
            sequence += 1
            length += len(item.data)
            checksum = zlib.crc32(item.data, checksum)
            yield item.data
            owed += len(item.data)
            if owed >= CREDIT_BYTES:
                self._connection.send_quietly(Credit(owed), self.number)
                owed = 0

    def _next_piece(self, stall_timeout: float) -> Message:
        try:
            with gevent.Timeout(stall_timeout):
                item = self._inbox.get()
        except gevent.Timeout as error:
            self.cancel(Reason.ANSWER_CUT)
            raise AnswerCutError("no piece of the body came in time") from error
        if isinstance(item, Exception):
            raise AnswerCutError(str(item)) from item
        return item

    def _finish(self, allowance: int) -> None:
        self.unused_allowance = allowance
        self._ended = True
        self._connection.end(self)

    def close(self) -> None:
        """Forget the call; cancels it when its answer has not ended."""
        if not self._ended:
            self.cancel(Reason.CANCELLED)


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
        self.peer = self._records.greet(own)
        self._records.set_silent_after(None)
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
        watch = SilenceWatch(self._records, SILENT_SECONDS, self._runtime.monotonic())
        while not self._records.closed:
            self.send_quietly(Ping(self._version()), CONNECTION_CALL)
            gevent.sleep(PING_SECONDS)
            watch.look(self._runtime.monotonic())

    def close(self) -> None:
        """Close the connection; its calls end as lost."""
        self._records.close()
