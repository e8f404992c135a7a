"""What became of one request, as its sidecar tells logs and counters."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork


@dataclass(slots=True)
class Decision:
    """What became of one request, for logs and counters.

    :ivar seconds: from its head to the end of its answer.
    :ivar objective_seconds: an answer within this time is worth most; 0 without a route.
    :ivar waited_ms: time it waited for a slot of the worker that answered last.
    :ivar run_time_ms: time it was at that worker.
    :ivar allowed_seconds: time it had, by its caller's word or its route's.
    :ivar of_client: whether a client made it, not a run of this machine's worker.
    :ivar failure: the call that failed, where its run failed since one did.
    :ivar work: what its runs, and the calls that they made, have cost.
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
