"""One call on a connection to a destination node, used by the task that made it.

Owns what has come of the answer and was not read yet. Relies on
:mod:`~cranklane.node.peer_connection` to send records.
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
"""Body bytes a destination may send ahead of the caller. A choice: what a call may cost in
memory; most answers fit in whole."""

CREDIT_BYTES = WINDOW_BYTES // 4
"""Body bytes read before the destination is granted as many again. A choice: a quarter of the
window, so that the sender does not run dry while the grant is on its way."""


class CallChannel(Protocol):
    """What a call needs of its connection."""

    def end(self, call: PeerCall) -> None:
        """Take no more records for a call."""

    def send_quietly(self, message: Message, number: int) -> None:
        """Send a record that need not arrive."""


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

    def __init__(self, connection: CallChannel, number: int) -> None:
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
        :raises TruncatedAnswerError: when the answer is not whole.
        """
        sequence = length = checksum = uncredited = 0
        while True:
            item = self._next_piece(stall_timeout)
            if isinstance(item, AnswerEnd):
                self._finish(item.allowance)
                if (item.length, item.checksum) != (length, checksum):
                    raise TruncatedAnswerError("the body does not match its length and checksum")
                return
            if isinstance(item, AnswerAbort):
                self._finish(item.allowance)
                raise TruncatedAnswerError(Reason(item.reason).label)
            if not isinstance(item, AnswerBody) or item.sequence != sequence:
                self.cancel(Reason.ANSWER_CUT)
                raise TruncatedAnswerError(
                    "pieces of the body are missing, doubled or out of order"
                )
            sequence += 1
            length += len(item.data)
            checksum = zlib.crc32(item.data, checksum)
            yield item.data
            uncredited += len(item.data)
            if uncredited >= CREDIT_BYTES:
                self._connection.send_quietly(Credit(uncredited), self.number)
                uncredited = 0

    def _next_piece(self, stall_timeout: float) -> Message:
        try:
            with gevent.Timeout(stall_timeout):
                item = self._inbox.get()
        except gevent.Timeout as error:
            self.cancel(Reason.ANSWER_CUT)
            raise TruncatedAnswerError("no piece of the body came in time") from error
        if isinstance(item, Exception):
            raise TruncatedAnswerError(str(item)) from item
        return item

    def _finish(self, allowance: int) -> None:
        self.unused_allowance = allowance
        self._ended = True
        self._connection.end(self)

    def close(self) -> None:
        """Forget the call; cancels it when its answer has not ended."""
        if not self._ended:
            self.cancel(Reason.CANCELLED)
