"""Detects callers that disconnect while their request is in flight, to cancel its work."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.runtime.interface import Runtime

CHECK_INTERVAL_SECONDS = 0.2
"""Interval between checks: limits the work wasted after a disconnect; each check wakes the CPU.
Work for a caller that has disconnected ends within half a second."""


class DisconnectWatch:
    """Polls the connections whose callers wait for a response.

    One poll of all connections is cheaper than an event handler for each; polling pauses while
    there are none.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._waiting: dict[Any, Callable[[], None]] = {}
        self._checking = False

    def add(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        """Watch a connection until it is removed.

        :param on_disconnect: called once, when the remote end has disconnected.
        """
        self._waiting[connection] = on_disconnect
        if not self._checking:
            self._checking = True
            self._runtime.spawn_restarting(self._check_while_waiting)

    def remove(self, connection: Any) -> None:
        """Stop watching a connection, if it is watched."""
        self._waiting.pop(connection, None)

    def _check_while_waiting(self) -> None:
        while self._waiting:
            gevent.sleep(CHECK_INTERVAL_SECONDS)
            for connection in self._runtime.closed_by_peer(list(self._waiting)):
                on_disconnect = self._waiting.pop(connection, None)
                if on_disconnect is not None:
                    on_disconnect()
        self._checking = False
