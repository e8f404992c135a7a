"""Calling side of one call on a connection to a destination node.

Buffers the received records of the answer. :mod:`~cranklane.node.peer_connection` sends and
receives the records.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Protocol

import gevent
from gevent.queue import SimpleQueue

from cranklane.errors import ConnectionLostError, TruncatedAnswerError
from cranklane.outcome import Reason
from cranklane.records.messages import (
    AnswerAbort,
    AnswerBody,
    AnswerEnd,
    AnswerHead,
    CallCancel,
    Credit,
    Message,
)

WINDOW_BYTES = 256 * 1024
"""Flow-control window: body bytes a destination may send before the caller reads them. Bounds
the memory of a call."""

CREDIT_BYTES = WINDOW_BYTES // 4
"""Body bytes read before the caller grants them again as credit. Part of the window, so that
the sender can continue while the credit is in transit."""


class CallChannel(Protocol):
    """The methods of a connection that a call uses."""

    def end(self, call: PeerCall) -> None:
        """Stop delivering records to a call."""

    def send_quietly(self, message: Message, number: int) -> None:
        """Send a record; ignore a lost connection."""


class CallCancelledError(Exception):
    """The call was cancelled."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.label)
        self.reason = reason


class PeerCall:
    """A call on a connection; only the task that opened it reads the answer.

    :ivar unused_allowance: retries that the called node returned unused with the answer.
    :ivar is_complete: whether the whole answer has arrived, so that reading its body does not
        block.
    """

    def __init__(self, connection: CallChannel, number: int) -> None:
        self._connection = connection
        self._inbox: SimpleQueue = SimpleQueue()
        self._ended = False
        self.number = number
        self.unused_allowance = 0
        self.is_complete = False

    def deliver(self, received: Message | Exception) -> None:
        """Queue a record or an error for the call's task."""
        self.is_complete |= isinstance(received, AnswerEnd)
        self._inbox.put(received)

    def cancel(self, reason: Reason) -> None:
        """Cancel the call at the destination and wake the task that reads the answer."""
        if self._ended:
            return
        self._connection.end(self)
        self._ended = True
        self._connection.send_quietly(CallCancel(reason), self.number)
        self._inbox.put(CallCancelledError(reason))

    def head(self, timeout: float) -> AnswerHead:
        """Wait for the answer's head and return it.

        :param timeout: seconds to wait.
        :raises gevent.Timeout: when the head does not arrive in time.
        :raises ConnectionLostError: when the connection is lost.
        :raises CallCancelledError: when the call was cancelled.
        """
        with gevent.Timeout(max(0.0, timeout)):
            received = self._inbox.get()
        if isinstance(received, Exception):
            raise received
        if not isinstance(received, AnswerHead):
            raise ConnectionLostError(f"found {type(received).__name__}; expected AnswerHead")
        return received

    def body(self, stall_timeout: float) -> Iterator[bytes]:
        """Yield the chunks of the answer's body, checking its order, length and checksum.

        :param stall_timeout: seconds to wait for each chunk.
        :raises TruncatedAnswerError: when the body is truncated or malformed.
        """
        sequence = length = checksum = uncredited = 0
        while True:
            record = self._next_record(stall_timeout)
            if isinstance(record, AnswerEnd):
                self._finish(record.allowance)
                if (record.length, record.checksum) != (length, checksum):
                    raise TruncatedAnswerError("the body does not match its length and checksum")
                return
            if isinstance(record, AnswerAbort):
                self._finish(record.allowance)
                raise TruncatedAnswerError(Reason(record.reason).label)
            if not isinstance(record, AnswerBody) or record.sequence != sequence:
                self.cancel(Reason.ANSWER_CUT)
                raise TruncatedAnswerError(
                    "chunks of the body are missing, duplicated or out of order"
                )
            sequence += 1
            length += len(record.data)
            checksum = zlib.crc32(record.data, checksum)
            yield record.data
            uncredited += len(record.data)
            if uncredited >= CREDIT_BYTES:
                self._connection.send_quietly(Credit(uncredited), self.number)
                uncredited = 0

    def _next_record(self, stall_timeout: float) -> Message:
        try:
            with gevent.Timeout(stall_timeout):
                received = self._inbox.get()
        except gevent.Timeout as error:
            self.cancel(Reason.ANSWER_CUT)
            raise TruncatedAnswerError("no chunk of the body arrived in time") from error
        if isinstance(received, Exception):
            raise TruncatedAnswerError(str(received)) from received
        return received

    def _finish(self, allowance: int) -> None:
        self.unused_allowance = allowance
        self._ended = True
        self._connection.end(self)

    def close(self) -> None:
        """Close the call; cancel it if its answer has not ended."""
        if not self._ended:
            self.cancel(Reason.CANCELLED)
