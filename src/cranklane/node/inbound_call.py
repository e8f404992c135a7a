"""One call that another node has opened here.

Owns the call's window: how many bytes of its answer the caller takes now.
"""

from __future__ import annotations

from gevent.event import Event

from cranklane.errors import TruncatedAnswerError
from cranklane.node.context import CallContext
from cranklane.outcome import Reason
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import CallOpen, Message

CREDIT_SECONDS = 30.0
"""Seconds a caller may leave its window used up before its answer is cut. A choice: as long as
a caller waits for the next piece of an answer."""


class InboundCall:
    """One call from another node, run by a task of its own.

    :ivar detached: whether it runs to its end even when nobody waits any more.
    """

    def __init__(
        self, records: RecordConnection, number: int, message: CallOpen, context: CallContext
    ) -> None:
        self._records = records
        self.number = number
        self.message = message
        self.context = context
        self.detached = False
        self._gone = False
        self._window = message.window
        self._credited = Event()

    def send(self, message: Message) -> None:
        """Send a record of this call's answer.

        :raises ConnectionLostError: when the caller is gone.
        """
        self._records.send(message, self.number)

    def queue(self, message: Message) -> None:
        """Add a record that leaves with the next one sent."""
        self._records.queue(message, self.number)

    def send_queued(self) -> None:
        """Send the records added by :meth:`queue`."""
        self._records.flush()

    def credit(self, size: int) -> None:
        """Let ``size`` more bytes of the answer be sent."""
        self._window += size
        self._credited.set()

    def cancel(self, reason: Reason) -> None:
        """Stop the call, unless it is detached: nobody waits."""
        self._gone = True
        if not self.detached:
            self.context.cancel(reason)
        self._credited.set()

    def wait_for_window(self, size: int) -> None:
        """Wait until the caller can take ``size`` bytes, and take them off the window.

        :raises TruncatedAnswerError: when it takes none for too long, or is gone.
        """
        while self._window <= 0:
            self._credited.clear()
            if not self._credited.wait(CREDIT_SECONDS):
                raise TruncatedAnswerError("the caller takes no more bytes")
            if self._gone:
                raise TruncatedAnswerError("cancelled")
        self._window -= size
