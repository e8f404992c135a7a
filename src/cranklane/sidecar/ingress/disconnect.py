"""Notices that a far end has left while its answer is being made."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.runtime.interface import Runtime

LOOK_SECONDS = 0.25
"""Seconds between looks; one look covers every connection."""


class DisconnectWatch:
    """Watches the connections on which somebody waits.

    One look at all of them costs less than an event for each, and while nobody
    waits there is none.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._waiting: dict[Any, Callable[[], None]] = {}
        self._looking = False

    def add(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        """Watch a connection until it is removed."""
        self._waiting[connection] = on_disconnect
        if not self._looking:
            self._looking = True
            self._runtime.spawn(self._look)

    def remove(self, connection: Any) -> None:
        """Watch a connection no more."""
        self._waiting.pop(connection, None)

    def _look(self) -> None:
        while self._waiting:
            gevent.sleep(LOOK_SECONDS)
            for connection in self._runtime.hung_up(list(self._waiting)):
                action = self._waiting.pop(connection, None)
                if action is not None:
                    action()
        self._looking = False
