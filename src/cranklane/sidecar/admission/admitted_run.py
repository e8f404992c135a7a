"""An admitted request and the resources that it holds."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.admission.isolated_runs import SuspectAdmission
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.capacity.slow_start import FinishedRun
from cranklane.sidecar.request.call_tree import Root, Run
from cranklane.sidecar.request.tree_ticket import NO_TICKET, unpack_ticket
from cranklane.sidecar.worker.instances import WorkerInstance


@dataclass(slots=True)
class AdmittedRun:
    """An admitted request and the resources that it holds until release.

    :ivar arrived_at: monotonic time of arrival, in seconds.
    :ivar started_at: monotonic time at which it acquired its slot, in seconds.
    :ivar run: its node in the call tree.
    :ivar number: sequence number of the run at this worker.
    :ivar instance: the worker's start that runs it.
    :ivar limiter_round: round of the outcome limiter at its start.
    :ivar suspicion: its suspicion level, and whether it holds the isolation slot.
    :ivar lost_before: ``WorkerPace.lost_seconds`` at its start.
    """

    request: ForwardRequest
    arrived_at: float
    started_at: float
    run: Run
    number: int
    instance: WorkerInstance
    limiter_round: int
    suspicion: SuspectAdmission
    lost_before: float = 0.0


def finished_run(
    admitted: AdmittedRun, ratio: float, run_seconds: float, slots: Slots
) -> FinishedRun:
    """Return a run that has released its slot, as the slow start judges it.

    :param ratio: run time as a multiple of the usual one.
    """
    return FinishedRun(
        admitted.started_at,
        ratio,
        run_seconds,
        admitted.started_at - admitted.arrived_at,
        admitted.request.start_within_ms / MILLISECONDS,
        slots.running + 1 >= slots.limit,
    )


def root_of(request: ForwardRequest, arrived_at: float) -> Root:
    """Return the root of a request's call tree, with times converted to this process's clock."""
    return Root(
        request.root_priority,
        arrived_at - request.root_age_ms / MILLISECONDS,
        arrived_at + request.root_objective_ms / MILLISECONDS,
        arrived_at + request.root_deadline_ms / MILLISECONDS,
        request.is_retry,
        unpack_ticket(request.tree) if request.tree else NO_TICKET,
    )
