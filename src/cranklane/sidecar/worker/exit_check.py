"""Distinguishes the exit of the worker's process from the loss of one connection to it.

Only a refused connection to the worker's port proves an exit. This holds because the sidecar runs
on the worker's machine: no network failure can cause the refusal.
"""

from __future__ import annotations

import gevent
from gevent.event import AsyncResult

from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.worker.pool import WorkerConnection, WorkerPool

CONNECT_TIMEOUT_SECONDS = 0.05
"""Connect timeout; a worker that takes longer is busy, which does not prove an exit."""

CLOSE_DELAY_SECONDS = 0.01
"""Delay before a new connection is checked again: an exiting process may close its connections
shortly before its port."""


class WorkerExitCheck:
    """Checks whether the worker has exited; concurrent callers share one check.

    :param pool: receives the connection opened for the check if the worker still runs.
    """

    def __init__(self, runtime: Runtime, address: Address, pool: WorkerPool) -> None:
        self._runtime = runtime
        self._address = address
        self._pool = pool
        self._pending_check: AsyncResult[bool] | None = None

    def has_exited(self) -> bool:
        """Return whether the worker's port refuses connections."""
        if self._pending_check is not None:
            return bool(self._pending_check.get())
        self._pending_check = AsyncResult()
        exited = False
        try:
            exited = self._check()
        finally:
            self._pending_check.set(exited)
            self._pending_check = None
        return exited

    def _check(self) -> bool:
        try:
            stream = self._runtime.connect(self._address, CONNECT_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            return True
        except OSError:
            # A timeout or a lack of sockets does not prove an exit.
            return False
        gevent.sleep(CLOSE_DELAY_SECONDS)
        if not self._runtime.has_input(stream):
            self._pool.give_back(WorkerConnection(stream))
            return False
        # The worker closed the connection at once: its port may be closed by now as well.
        stream.close()
        return self._is_refused()

    def _is_refused(self) -> bool:
        try:
            self._runtime.connect(self._address, CONNECT_TIMEOUT_SECONDS).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            # As above, this does not prove an exit.
            return False
        return False
