"""What exits of the worker, and its answers, say of the requests that it ran.

Turns both into evidence for the quarantine: a crash speaks against the runs under way, an answer
clears its request. Relies on the worker's exits being reported once each.
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
    """Reports crashes and answers of one worker to the quarantine.

    :param on_exit: notified of each exit, planned or not, before the quarantine is.
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
        """Count a crash against the runs under way; a planned exit is no evidence.

        Of copies of one request, the least suspected one counts: copies that were under way
        before the suspicion arose have not crashed the worker.
        """
        self._on_exit(worker_exit)
        if worker_exit.planned:
            return
        runs = sorted(worker_exit.runs, key=_suspicion_level_of, reverse=True)
        levels = {run.identity: run.suspicion_level for run in runs}
        crash = crash_id(worker_exit.instance)
        self._quarantine.worker_crashed(self._worker.service, crash, levels)

    def reply_after_exit(self, request: ForwardRequest) -> Reply:
        """Return the reply to a run whose worker has exited.

        It says for how long the request is quarantined, if it is: the sender would retry it
        before the other sidecars' updates reach it.
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
        """Clear a request that the worker has run to its end: it crashes no workers."""
        if not self._quarantine.is_empty:
            self._quarantine.answered(identity_of_request(request))


def _suspicion_level_of(run: InterruptedRun) -> int:
    return run.suspicion_level
