"""The connection of a call that starts at the worker, until it may serve another call."""

from __future__ import annotations

from typing import Any

from cranklane.node.context import CallContext
from cranklane.node.once import OnceLease


class WorkerStart:
    """Decides whether a call may start at the worker, and closes its connection on cancellation.

    :param lease: lease of a once-call, which runs to its end even if it is cancelled.
    """

    def __init__(self, context: CallContext, lease: OnceLease | None) -> None:
        self._context = context
        self._lease = lease
        self._cancel_hook: int | None = None

    def may_start(self, connection: Any) -> bool:
        """Return whether the call may be sent on a connection."""
        context = self._context
        if context.cancelled is not None:
            return False
        if self._lease is not None:
            return self._lease.may_start()
        # Closing the connection lets the worker stop.
        self._cancel_hook = context.add_cancel_hook(lambda _reason: connection.close())
        return True

    def end(self) -> None:
        """Leave the connection to the pool: from here on it may serve another call."""
        if self._cancel_hook is not None:
            self._context.remove_cancel_hook(self._cancel_hook)
