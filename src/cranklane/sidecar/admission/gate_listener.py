"""What the gate reports of its decisions, and to whom."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from cranklane.outcome import Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.worker.exit import WorkerExit
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.stated_limit import LimitChange


class AdmissionDecision(NamedTuple):
    """Decision on a request for the local worker.

    :ivar reason: reason for the refusal; NONE for an admission.
    :ivar running: requests that hold a slot.
    :ivar queued: requests that wait for a slot.
    :ivar slots: maximum number of requests that hold a slot.
    :ivar waited_seconds: time from arrival to the decision.
    """

    request: ForwardRequest
    reason: Reason
    running: int
    queued: int
    slots: int
    waited_seconds: float


class GateListener(Protocol):
    """Receives admission decisions, released slots and worker exits."""

    def admission(self, decision: AdmissionDecision) -> None:
        """Handle an admission decision."""

    def slot_released(self, request: ForwardRequest, seconds: float) -> None:
        """Handle the release of a slot that a request has held for a time."""

    def limit_changed(self, route: str, limit: float) -> None:
        """Handle a change of the limit on a route's concurrent runs; ``math.inf`` for none."""

    def admission_level_changed(self, level: int) -> None:
        """Handle a change of the admission level that the gate states."""

    def worker_limit_changed(self, change: LimitChange) -> None:
        """Handle a change of the limit on requests per second that the worker states."""

    def worker_limit_unreadable(self, instance: WorkerInstance, problem: str) -> None:
        """Handle an answer whose stated limit cannot be read."""

    def worker_leaving(self, instance: WorkerInstance) -> None:
        """Handle an answer which states that the worker is about to exit."""

    def worker_exited(self, worker_exit: WorkerExit) -> None:
        """Handle an exit of the worker process."""
