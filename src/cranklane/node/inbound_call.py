"""A call from another node, with flow control of its answer."""

from __future__ import annotations

from gevent.event import Event

from cranklane.errors import TruncatedAnswerError
from cranklane.node.context import CallContext
from cranklane.outcome import Reason
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import CallOpen, Message

CREDIT_TIMEOUT_SECONDS = 30.0
"""Seconds to wait for flow-control credit before the answer is truncated. As long as a caller
waits for the next body chunk."""


class InboundCall:
    """An inbound call; a separate task runs it.

    :ivar detached: whether the call runs to its end even if the caller cancels it.
    """

    def __init__(
        self, records: RecordConnection, number: int, message: CallOpen, context: CallContext
    ) -> None:
        self._records = records
        self.number = number
        self.message = message
        self.context = context
        self.detached = False
        self._caller_gone = False
        self._window = message.window
        self._credited = Event()

    def send(self, message: Message) -> None:
        """Send a record of this call's answer.

        :raises ConnectionLostError: when the connection to the caller is lost.
        """
        self._records.send(message, self.number)

    def queue(self, message: Message) -> None:
        """Buffer a record until the next send."""
        self._records.queue(message, self.number)

    def send_queued(self) -> None:
        """Send the records buffered by :meth:`queue`."""
        self._records.flush()

    def credit(self, size: int) -> None:
        """Enlarge the flow-control window by ``size`` bytes."""
        self._window += size
        self._credited.set()

    def cancel(self, reason: Reason) -> None:
        """Handle a cancelled call or lost connection; a detached call keeps running."""
        self._caller_gone = True
        if not self.detached:
            self.context.cancel(reason)
        self._credited.set()

    def wait_for_window(self, size: int) -> None:
        """Wait until the window is open and take ``size`` bytes from it; it may become negative.

        :raises TruncatedAnswerError: when no credit arrives in time or the caller is gone.
        """
        while self._window <= 0:
            self._credited.clear()
            if not self._credited.wait(CREDIT_TIMEOUT_SECONDS):
                raise TruncatedAnswerError("no flow-control credit from the caller in time")
            if self._caller_gone:
                raise TruncatedAnswerError("the caller cancelled the call or disconnected")
        self._window -= size
