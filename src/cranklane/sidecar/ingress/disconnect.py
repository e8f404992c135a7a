"""Notices callers that leave while their request is under way, so that its work can end.

Owns the connections on which somebody waits for an answer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.runtime.interface import Runtime

CHECK_SECONDS = 0.25
"""Seconds between checks, each of which covers every connection. A choice: work for a caller that
has left ends within half a second, and an idle machine is woken up rarely (a wake-up costs 0.4
to 0.8 ms of processor time among 200 processes)."""


class DisconnectWatch:
    """Watches the connections on which somebody waits.

    One check of all of them costs less than an event for each, and while nobody waits there is
    none.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._waiting: dict[Any, Callable[[], None]] = {}
        self._checking = False

    def add(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        """Watch a connection until it is removed.

        :param on_disconnect: called once, when its far end has left.
        """
        self._waiting[connection] = on_disconnect
        if not self._checking:
            self._checking = True
            self._runtime.spawn(self._check_while_waiting)

    def remove(self, connection: Any) -> None:
        """Stop watching a connection; it need not be watched."""
        self._waiting.pop(connection, None)

    def _check_while_waiting(self) -> None:
        while self._waiting:
            gevent.sleep(CHECK_SECONDS)
            for connection in self._runtime.closed_by_peer(list(self._waiting)):
                action = self._waiting.pop(connection, None)
                if action is not None:
                    action()
        self._checking = False
