"""The runs under way at the worker, and which of them a worker's exit interrupted.

An exit is planned when the worker had said before that it leaves; any other exit is a crash,
and the runs that it interrupted are suspected of it (``quarantine``). That a lost connection
means an exit is decided by :mod:`cranklane.sidecar.worker.exit_check`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.request.identity import Identity, identity_of
from cranklane.sidecar.worker.exit_check import WorkerExitCheck
from cranklane.sidecar.worker.registry import WorkerRegistry, WorkerState

LEAVING = (WorkerState.DRAINING, WorkerState.GONE)
"""States in which an exit of the worker is planned."""


class InterruptedRun(NamedTuple):
    """A run that was under way when the worker exited.

    :ivar seconds: since it began.
    :ivar suspicion_level: how strongly its request was suspected as it began.
    """

    request: str
    identity: Identity
    seconds: float
    suspicion_level: int


class WorkerExit(NamedTuple):
    """The exit of one start of the worker.

    :ivar instance: that start.
    :ivar planned: whether the worker had said that it leaves; otherwise it crashed.
    :ivar runs: those under way, in the order in which they began.
    """

    instance: str
    planned: bool
    runs: tuple[InterruptedRun, ...]


class _Run(NamedTuple):
    request: ForwardRequest
    began_at: float
    suspicion_level: int


class WorkerExits:
    """The runs under way at the worker, and the exits that interrupt them.

    :param on_exit: called once for each exit.
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
        self._runs: dict[int, _Run] = {}
        self._begun = 0
        self._exited_instance = ""

    def next_number(self) -> int:
        """Return a number for one more run."""
        self._begun += 1
        return self._begun

    def began(self, number: int, request: ForwardRequest, suspicion_level: int) -> None:
        """Record that a run begins: its request is sent to the worker now.

        :param suspicion_level: how strongly the request is suspected of crashes.
        """
        self._runs[number] = _Run(request, self._clock(), suspicion_level)

    def ended(self, number: int) -> None:
        """Record that a run has ended."""
        self._runs.pop(number, None)

    def connection_lost(self, instance: str) -> bool:
        """Record that a connection to a start of the worker was lost, and check for an exit.

        :returns: whether that start has exited, not only the connection.
        """
        if instance == self._exited_instance:
            return True
        # Read before the check, which takes time: the worker may be replaced meanwhile.
        planned = self._worker.state in LEAVING
        if self._check is None or not self._check.has_exited():
            return False
        if instance != self._exited_instance:
            self._exited_instance = instance
            self._on_exit(WorkerExit(instance, planned, self._runs_now()))
        return True

    def _runs_now(self) -> tuple[InterruptedRun, ...]:
        now = self._clock()
        return tuple(
            InterruptedRun(
                run.request.request_id,
                identity_of_request(run.request),
                now - run.began_at,
                run.suspicion_level,
            )
            for run in self._runs.values()
        )


def identity_of_request(request: ForwardRequest) -> Identity:
    """Return the identity of a request on its way to a worker."""
    return identity_of(request.service, request.tenant, request.lines, request.body, request.length)
