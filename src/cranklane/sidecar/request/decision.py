"""Outcome of a request, for logs and metrics."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork


@dataclass(slots=True)
class Decision:
    """Outcome of a request, for logs and metrics.

    :ivar route: name of the route; empty if the request was refused before routing.
    :ivar status: HTTP status sent to the caller; 0 if the caller had disconnected.
    :ivar attempts: number of attempts that reached a worker.
    :ivar refusals: number of refusals for lack of capacity.
    :ivar seconds: time from the request's head to the end of its answer.
    :ivar allowed_seconds: time to the deadline set by the caller's header or the route; 0
        without a route.
    :ivar objective_seconds: the route's latency objective; 0 without a route.
    :ivar waited_ms: time in the queue for a slot at the last worker that replied.
    :ivar run_time_ms: run time at that worker.
    :ivar version: version of the route table in use.
    :ivar of_client: True for a request of a client, False for a call of the local worker.
    :ivar failure: the downstream call that made the run fail, if any.
    :ivar work: slot time used by its runs and their downstream calls.
    """

    request_id: str
    route: str
    service: str
    outcome: Outcome
    reason: Reason
    status: int
    attempts: int
    refusals: int
    seconds: float
    allowed_seconds: float
    objective_seconds: float
    waited_ms: int
    run_time_ms: int
    version: int
    of_client: bool
    failure: CallFailure | None
    work: SlotWork
