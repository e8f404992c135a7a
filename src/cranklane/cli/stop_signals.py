"""Receives the signals that begin a planned stop: SIGTERM and SIGINT."""

from __future__ import annotations

import signal
from collections.abc import Callable

import gevent
from gevent.event import Event

from cranklane.common.logs import logger


class StopSignals:
    """Handles SIGTERM and SIGINT from its construction on; the first one begins the stop.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._received_at = 0.0
        self._received = Event()
        self._log = logger(process="signals")
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._handle, number)

    def _handle(self, number: int) -> None:
        repeated = self._received.is_set()
        if not repeated:
            self._received_at = self._clock()
            self._received.set()
        self._log.info("stop_signal", signal=signal.Signals(number).name, repeated=repeated)

    def wait(self) -> float:
        """Wait for the first signal; return the monotonic second at which it was handled."""
        self._received.wait()
        return self._received_at

    def log_exit(self) -> None:
        """Log the time since the first signal, as the last line before the process exits."""
        self._log.info("exiting", seconds=round(self._clock() - self._received_at, 3))
