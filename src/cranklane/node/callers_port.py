"""Opens the port for callers, waiting for the node's previous process to release it."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.http_server import HttpServer
from cranklane.runtime.interface import Address, Runtime

PORT_CHECK_SECONDS = 0.05
"""Seconds between attempts to open the port."""

PORT_MARGIN_SECONDS = 5.0
"""Extra seconds to wait for the port beyond the longest planned stop, for the previous process
to exit after its last call."""


def open_when_free(
    runtime: Runtime,
    address: Address,
    application: Any,
    stop_seconds: float,
    on_wait: Callable[[], None],
) -> HttpServer:
    """Open a port exclusively, waiting until the previous process has released it.

    The port is not shared, because a worker's child calls must reach the process that runs their
    parent call. A previous process keeps the port until it has finished its calls.

    :param stop_seconds: longest planned stop of the previous process, in seconds.
    :param on_wait: called once if the port is in use.
    :raises OSError: when the port cannot be opened or stays in use for too long.
    """
    deadline = runtime.monotonic() + stop_seconds + PORT_MARGIN_SECONDS
    waiting = False
    while True:
        try:
            return HttpServer(runtime, address, application, shared=False)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or runtime.monotonic() >= deadline:
                raise
        if not waiting:
            waiting = True
            on_wait()
        gevent.sleep(PORT_CHECK_SECONDS)
