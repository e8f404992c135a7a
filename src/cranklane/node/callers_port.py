"""Opens the port on which a node takes its callers' calls.

Owns the rule on when to wait for a predecessor, and for how long.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.http_server import HttpServer
from cranklane.runtime.interface import Address, Runtime

PORT_CHECK_SECONDS = 0.05
"""Seconds between tries to open the port. A choice: a port that gets free is taken at once."""

PORT_MARGIN_SECONDS = 5.0
"""Seconds waited for the port beyond a predecessor's longest stop. A choice: the time between
a process's last call and its end."""


def open_when_free(
    runtime: Runtime,
    address: Address,
    application: Any,
    stop_seconds: float,
    on_wait: Callable[[], None],
) -> HttpServer:
    """Open a port that no other process may have, waiting until a predecessor has left it.

    A worker's child calls belong to the process that runs their parent call.
    While a predecessor still finishes calls, it alone has the port.

    :param stop_seconds: longest planned stop of the predecessor.
    :param on_wait: called once, when the port is taken.
    :raises OSError: when it cannot be opened, or stays taken for too long.
    """
    until = runtime.monotonic() + stop_seconds + PORT_MARGIN_SECONDS
    waiting = False
    while True:
        try:
            return HttpServer(runtime, address, application, shared=False)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or runtime.monotonic() >= until:
                raise
        if not waiting:
            waiting = True
            on_wait()
        gevent.sleep(PORT_CHECK_SECONDS)
