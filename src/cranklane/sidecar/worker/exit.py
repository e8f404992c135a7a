"""Tells the end of the worker's process from the loss of one connection to it.

An answer that is lost, a connection that is reset and a worker that has ended look alike to
the request that was under way. Only a port at which nobody listens any more tells an end,
and only from the worker's own machine, to which no cut of the network lies in between.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.request.identity import Identity, identity_of
from cranklane.sidecar.worker.pool import WorkerConnection, WorkerPool
from cranklane.sidecar.worker.registry import WorkerRegistry, WorkerState

CONNECT_SECONDS = 0.05
"""A worker on the same machine takes a connection at once, or is no proof of its end."""

CLOSING_SECONDS = 0.01
"""A process that ends closes its connections and its port one after the other: a connection
that succeeded is looked at again after this long."""

LEAVING = (WorkerState.DRAINING, WorkerState.GONE)
"""States in which an end of the worker was to be expected."""


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A run that was under way when the worker ended.

    :ivar seconds: since it began.
    :ivar level: how strongly it was suspected as it began.
    """

    request: str
    identity: Identity
    seconds: float
    level: int


@dataclass(frozen=True, slots=True)
class WorkerExit:
    """The end of one start of the worker.

    :ivar planned: whether the worker had told that it leaves.
    """

    instance: str
    planned: bool
    runs: tuple[InterruptedRun, ...]


@dataclass(frozen=True, slots=True)
class _Run:
    request: ForwardRequest
    began_at: float
    level: int


class WorkerExits:
    """The runs under way at the worker, and what becomes of them when it ends.

    :param on_exit: told once of each end.
    """

    def __init__(
        self, runtime: Runtime, worker: WorkerRegistry, on_exit: Callable[[WorkerExit], None]
    ) -> None:
        self._clock = runtime.monotonic
        self._worker = worker
        self._on_exit = on_exit
        self._check = (
            WorkerExitCheck(runtime, worker.address, worker.pool)
            if worker.address is not None and worker.pool is not None
            else None
        )
        # In the order of their beginning.
        self._runs: dict[int, _Run] = {}
        self._begun = 0
        self._ended_instance = ""

    def next_number(self) -> int:
        """Return the number of one more run."""
        self._begun += 1
        return self._begun

    def began(self, number: int, request: ForwardRequest, level: int) -> None:
        """Take that a run begins: its request is sent to the worker now.

        :param level: how strongly the request is suspected.
        """
        self._runs[number] = _Run(request, self._clock(), level)

    def ended(self, number: int) -> None:
        """Take that a run has ended."""
        self._runs.pop(number, None)

    def connection_lost(self, instance: str) -> bool:
        """Return whether the worker has ended, after a connection to a start of it was lost."""
        if instance == self._ended_instance:
            return True
        planned = self._worker.state in LEAVING
        if self._check is None or not self._check.has_ended():
            return False
        if instance != self._ended_instance:
            self._ended_instance = instance
            self._on_exit(WorkerExit(instance, planned, self._runs_now()))
        return True

    def _runs_now(self) -> tuple[InterruptedRun, ...]:
        now = self._clock()
        return tuple(
            InterruptedRun(
                run.request.request_id,
                identity_of_request(run.request),
                now - run.began_at,
                run.level,
            )
            for run in self._runs.values()
        )


def identity_of_request(request: ForwardRequest) -> Identity:
    """Return the identity of a request on its way to a worker."""
    return identity_of(request.service, request.tenant, request.lines, request.body, request.length)


class WorkerExitCheck:
    """Finds out whether the worker has ended, once for all who ask at the same time.

    :param pool: gets the connection of a worker that has not.
    """

    def __init__(self, runtime: Runtime, address: Address, pool: WorkerPool) -> None:
        self._runtime = runtime
        self._address = address
        self._pool = pool
        self._under_way: AsyncResult[bool] | None = None

    def has_ended(self) -> bool:
        """Return whether nobody listens at the worker's address any more."""
        if self._under_way is not None:
            return bool(self._under_way.get())
        self._under_way = AsyncResult()
        ended = False
        try:
            ended = self._has_ended()
        finally:
            self._under_way.set(ended)
            self._under_way = None
        return ended

    def _has_ended(self) -> bool:
        try:
            stream = self._runtime.connect(self._address, CONNECT_SECONDS)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        gevent.sleep(CLOSING_SECONDS)
        if not self._runtime.has_input(stream):
            self._pool.give_back(WorkerConnection(stream))
            return False
        stream.close()
        return self._is_refused()

    def _is_refused(self) -> bool:
        try:
            self._runtime.connect(self._address, CONNECT_SECONDS).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False
