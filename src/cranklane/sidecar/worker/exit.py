"""Tracks the runs in flight at the worker, and reports those interrupted by its exit.

An exit is planned if the worker had announced it by draining or deregistering. Any other exit is
a crash, and the interrupted runs are suspected of causing it (``quarantine``).
:mod:`cranklane.sidecar.worker.exit_check` distinguishes an exit from a lost connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.request.identity import Identity, identity_of
from cranklane.sidecar.worker.exit_check import WorkerExitCheck
from cranklane.sidecar.worker.instances import NO_INSTANCE, WorkerInstance
from cranklane.sidecar.worker.registry import WorkerRegistry
from cranklane.sidecar.worker.worker_state import PLANNED_EXIT_STATES


class InterruptedRun(NamedTuple):
    """A run that was in flight when the worker exited.

    :ivar request: id of the request.
    :ivar seconds: run time until the exit.
    :ivar suspicion_level: suspicion level of the request when the run began.
    """

    request: str
    identity: Identity
    seconds: float
    suspicion_level: int


class WorkerExit(NamedTuple):
    """The exit of a worker instance.

    :ivar instance: the instance that has exited.
    :ivar planned: whether the worker had announced its exit; otherwise it crashed.
    :ivar runs: interrupted runs in the order in which they began.
    """

    instance: WorkerInstance
    planned: bool
    runs: tuple[InterruptedRun, ...]


class _Run(NamedTuple):
    request: ForwardRequest
    began_at: float
    suspicion_level: int


class WorkerExits:
    """Tracks runs at the worker and detects exits.

    :param on_exit: called once for each exit of an instance.
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
        self._run_count = 0
        self._exited_instance = NO_INSTANCE

    def next_number(self) -> int:
        """Return a number that identifies a new run."""
        self._run_count += 1
        return self._run_count

    def began(self, number: int, request: ForwardRequest, suspicion_level: int) -> None:
        """Record that a run begins: its request is sent to the worker now.

        :param number: number of the run, from :meth:`next_number`.
        :param suspicion_level: how strongly the request is suspected of crashing workers.
        """
        self._runs[number] = _Run(request, self._clock(), suspicion_level)

    def ended(self, number: int) -> None:
        """Record that a run has ended."""
        self._runs.pop(number, None)

    def connection_lost(self, instance: WorkerInstance) -> bool:
        """Check for an exit after a connection to a worker instance was lost.

        :returns: whether the instance has exited, rather than only lost a connection.
        """
        if instance == self._exited_instance:
            return True
        # Read before the check, which blocks: the worker may be replaced in the meantime.
        planned = self._worker.state in PLANNED_EXIT_STATES
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
    """Return the identity by which repeated submissions of a request are recognised."""
    return identity_of(request.service, request.tenant, request.lines, request.body, request.length)
