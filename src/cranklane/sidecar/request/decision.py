"""What became of one request, for logs and counters."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork


@dataclass(slots=True)
class Decision:
    """What became of one request, for logs and counters.

    :ivar route: name of its route; empty if it was refused before one was found.
    :ivar status: HTTP status that was sent; 0 if the caller had disconnected.
    :ivar attempts: workers that it reached.
    :ivar refusals: sidecars that refused it for lack of capacity.
    :ivar seconds: from its head to the end of its answer.
    :ivar allowed_seconds: time it had, by its caller's header or its route; 0 without a route.
    :ivar objective_seconds: an answer within this time is in time; 0 without a route.
    :ivar waited_ms: time it waited for a slot of the worker that answered last.
    :ivar run_time_ms: time it was at that worker.
    :ivar version: of the route table that it was served by.
    :ivar of_client: whether a client made it, not a run of this machine's worker.
    :ivar failure: the call that failed, where its run failed because of one.
    :ivar work: slot time of its runs, and of the calls that they made.
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
