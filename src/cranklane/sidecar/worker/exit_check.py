"""Distinguishes the exit of the worker's process from the loss of one connection to it.

A lost answer, a reset connection and an exited worker look alike to the request that was under
way. Only a port at which nobody listens any more proves an exit, and only from the worker's own
machine: no network lies in between that could be cut.
"""

from __future__ import annotations

import gevent
from gevent.event import AsyncResult

from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.worker.pool import WorkerConnection, WorkerPool

CONNECT_SECONDS = 0.05
"""Seconds for a connection to the worker. A choice: on one machine a live worker takes it at
once; where it takes longer, the worker is busy, and that is no proof of an exit."""

CLOSING_SECONDS = 0.01
"""Seconds after which a connection that succeeded is looked at again. A choice: a process that
exits closes its connections and its port one after the other, within this time."""


class WorkerExitCheck:
    """Finds out whether the worker has exited, once for all who ask at the same time.

    :param pool: gets the connection of a worker that has not.
    """

    def __init__(self, runtime: Runtime, address: Address, pool: WorkerPool) -> None:
        self._runtime = runtime
        self._address = address
        self._pool = pool
        self._under_way: AsyncResult[bool] | None = None

    def has_exited(self) -> bool:
        """Return whether nobody listens at the worker's address any more."""
        if self._under_way is not None:
            return bool(self._under_way.get())
        self._under_way = AsyncResult()
        exited = False
        try:
            exited = self._check()
        finally:
            self._under_way.set(exited)
            self._under_way = None
        return exited

    def _check(self) -> bool:
        try:
            stream = self._runtime.connect(self._address, CONNECT_SECONDS)
        except ConnectionRefusedError:
            return True
        except OSError:
            # Too slow, or out of sockets: neither proves an exit.
            return False
        gevent.sleep(CLOSING_SECONDS)
        if not self._runtime.has_input(stream):
            self._pool.give_back(WorkerConnection(stream))
            return False
        # It was closed right away: the port may have been about to close, too.
        stream.close()
        return self._is_refused()

    def _is_refused(self) -> bool:
        try:
            self._runtime.connect(self._address, CONNECT_SECONDS).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            # As above: no proof of an exit.
            return False
        return False
