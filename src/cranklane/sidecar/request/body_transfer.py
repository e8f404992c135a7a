"""Sends the body of a request in a separate task while the response is awaited.

The task reads the connection from which the body arrives. A connection has one reader at a time,
so the transfer must have ended before any other task reads there.
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.common.http1.message import MalformedMessageError, TruncatedMessageError
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.runtime.interface import Runtime

_BODY_ERRORS = (
    OSError,
    TruncatedMessageError,
    MalformedMessageError,
    ConnectionLostError,
    MalformedRecordError,
)
"""Errors from reading the body or from sending it."""


class BodyTransfer:
    """A task that sends one body.

    :param send: sends the body; returns once all of it is sent.
    :param close: closes the receiving connection. Called when the body cannot be read or sent, so
        that the receiver does not accept a truncated body as complete.
    """

    def __init__(
        self, runtime: Runtime, send: Callable[[], None], close: Callable[[], None]
    ) -> None:
        self._send = send
        self._close = close
        self._complete = False
        self._task = runtime.spawn(self._run)

    def _run(self) -> None:
        try:
            self._send()
        except _BODY_ERRORS:
            self._close()
        except Exception:
            self._close()
            raise
        else:
            self._complete = True

    def end(self) -> bool:
        """End the task, also in the middle of the body; return whether the whole body was sent.

        The caller must close the receiving connection unless the whole body was sent.
        """
        self._task.kill()
        return self._complete
