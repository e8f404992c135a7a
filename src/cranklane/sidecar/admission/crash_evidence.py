"""Reports worker crashes and completed runs to the quarantine.

A crash raises suspicion against the requests in flight; a response clears its request. Each exit
of the worker must be reported exactly once.
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.outcome import Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.quarantine.entry import crash_id
from cranklane.sidecar.quarantine.rules import QuarantineState
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.request.attempt import Reply, unknown
from cranklane.sidecar.worker.exit import (
    PLANNED_EXIT_STATES,
    InterruptedRun,
    WorkerExit,
    identity_of_request,
)
from cranklane.sidecar.worker.registry import WorkerRegistry


class CrashEvidence:
    """Reports the crashes and responses of one worker to the quarantine.

    :param on_exit: called on each exit, planned or not, before the quarantine is updated.
    """

    def __init__(
        self,
        worker: WorkerRegistry,
        quarantine: Quarantine,
        on_exit: Callable[[WorkerExit], None],
    ) -> None:
        self._worker = worker
        self._quarantine = quarantine
        self._on_exit = on_exit

    def worker_exited(self, worker_exit: WorkerExit) -> None:
        """Report a crash against the requests in flight; ignore a planned exit.

        If several copies of a request were in flight, the lowest suspicion level counts: a copy
        that started before the request became suspected is not a repeated crash.
        """
        self._on_exit(worker_exit)
        if worker_exit.planned:
            return
        runs = sorted(worker_exit.runs, key=_suspicion_level_of, reverse=True)
        levels = {run.identity: run.suspicion_level for run in runs}
        crash = crash_id(worker_exit.instance.label)
        self._quarantine.worker_crashed(self._worker.service, crash, levels)

    def reply_after_exit(self, request: ForwardRequest) -> Reply:
        """Return the reply to a run whose worker has exited.

        The reply carries the remaining quarantine time, because the sender would otherwise retry
        the request before quarantine updates from other sidecars reach it.
        """
        if self._worker.state in PLANNED_EXIT_STATES:
            return unknown(Reason.WORKER_LEFT)
        reply = unknown(Reason.WORKER_ENDED)
        identity = identity_of_request(request)
        if self._quarantine.state(identity) is QuarantineState.QUARANTINED:
            seconds_left = self._quarantine.seconds_left(identity)
            reply.retry_after_ms = retry_after.quarantined_ms(seconds_left)
        return reply

    def answered(self, request: ForwardRequest) -> None:
        """Clear a request whose run completed without crashing the worker."""
        if not self._quarantine.is_empty:
            self._quarantine.answered(identity_of_request(request))


def _suspicion_level_of(run: InterruptedRun) -> int:
    return run.suspicion_level
