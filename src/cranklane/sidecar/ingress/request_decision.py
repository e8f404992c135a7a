"""Builds the :class:`Decision` of a finished request for logs and counters.

Arguments are positional because keyword arguments are slower and this runs for every request.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.ingress.caller_request import CallerRequest
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import CallProgress
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.request.slot_work import SlotWork


def decision_of(
    request: CallerRequest, progress: CallProgress, reply: Reply, status: int, seconds: float
) -> Decision:
    """Return the decision for a dispatched request.

    :param status: HTTP status of the answer; 0 if the caller disconnected before it.
    :param seconds: time from the request's head to the end of its answer.
    """
    call = progress.call
    return Decision(
        request.id,
        call.route.name,
        call.service,
        reply.outcome,
        reply.reason,
        status,
        progress.attempts,
        progress.refusals,
        seconds,
        call.deadline - call.started_at,
        call.route.objective_ms / MILLISECONDS,
        reply.waited_ms,
        reply.run_time_ms,
        request.table.version,
        call.of_client,
        reply.failure,
        progress.work,
    )


def decision_of_refused(
    request: CallerRequest, reply: Reply, status: int, seconds: float
) -> Decision:
    """Return the decision for a request that was refused before dispatch."""
    no_route = no_service = ""
    attempts = refusals = 0
    allowed_seconds = objective_seconds = 0.0
    return Decision(
        request.id,
        no_route,
        no_service,
        reply.outcome,
        reply.reason,
        status,
        attempts,
        refusals,
        seconds,
        allowed_seconds,
        objective_seconds,
        reply.waited_ms,
        reply.run_time_ms,
        request.table.version,
        True,
        reply.failure,
        SlotWork(),
    )
