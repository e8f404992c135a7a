"""The use of a pooled connection by one request, from the pool until it is returned or closed."""

from __future__ import annotations

from collections.abc import Callable

from cranklane.runtime.interface import Runtime
from cranklane.sidecar.request.attempt import Attempt
from cranklane.sidecar.request.body_transfer import BodyTransfer


class ConnectionLease:
    """A connection that one attempt uses.

    It ends with the first call of :meth:`release` or :meth:`close`; later calls have no effect.
    Cancelling the attempt closes the connection.

    :param give_back: returns the connection to its pool.
    :param close: closes the connection.
    """

    __slots__ = ("_attempt", "_give_back", "_close", "_transfer", "_ended")

    def __init__(
        self, attempt: Attempt, give_back: Callable[[], None], close: Callable[[], None]
    ) -> None:
        self._attempt = attempt
        self._give_back = give_back
        self._close = close
        self._transfer: BodyTransfer | None = None
        self._ended = False
        attempt.when_cancelled(close)

    def send_body(self, runtime: Runtime, send: Callable[[], None]) -> None:
        """Start to send the request's body on the connection, in a separate task."""
        self._transfer = BodyTransfer(runtime, send, self._close)

    def release(self) -> None:
        """Return the connection to its pool after a complete response.

        It is closed instead if the request's body was not sent whole: the peer would read the next
        request as the rest of that body.
        """
        if self._ended:
            return
        self._ended = True
        body_sent = self._end_transfer()
        # From here on the connection may serve another request.
        self._attempt.when_cancelled(None)
        if body_sent and not self._attempt.cancelled:
            self._give_back()
        else:
            self._close()

    def close(self) -> None:
        """Close the connection; the request's body is neither read nor sent any further."""
        if self._ended:
            return
        self._ended = True
        self._attempt.when_cancelled(None)
        self._close()
        self._end_transfer()

    def _end_transfer(self) -> bool:
        """End the transfer of the body, if there is one; return whether all of it was sent."""
        if self._transfer is None or self._transfer.end():
            return True
        self._attempt.body_cut = True
        return False
