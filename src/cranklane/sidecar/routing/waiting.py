"""Decides how long a request may wait: for a slot at a worker, and for a first worker.

Owns the fractions of the objective that waiting may use. All times are in seconds, and
``now`` is the monotonic clock of this process.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.request.call import Call

CLIENT_START_RATIO = 0.3
"""Fraction of a route's objective in which a client's request must start. One that is refused
then can still be sent again in time. Measured in a trial under overload: with 0.5, 788 of 2,070
runs of one second ended late."""

CALL_START_RATIO = 0.35
"""Fraction of what the root request can spare that one of its calls may wait; the calls still
to come have the same fraction of what is left then. Drawn call trees (``cranklane-lab trees``)
earned about as much with 0.25 and 0.5."""

FIRST_MEMBER_RATIO = 0.2
"""Fraction of a route's objective, from the request's start, to wait for a first worker of its
service, as after a restart of everything. A choice: a refusal that comes later leaves the
caller too little time to try elsewhere."""


def max_start_wait(call: Call, expected_latency: float, now: float) -> float:
    """Return for how many seconds from now a request may wait for its start.

    A client's request is bounded by its own objective. A call of a worker is bounded by its
    root request, as a refusal wastes all that was done for that: by what is left of the root's
    objective while the root can be in time, afterwards by what is left of its deadline.

    :param expected_latency: seconds that a run of the call's route takes; 0: unknown.
    :returns: zero or less where it should start at once or not at all.
    """
    if call.of_client:
        allowed = call.route.objective_ms / MILLISECONDS * CLIENT_START_RATIO
        return allowed - (now - call.started_at)
    root = call.root
    in_time = root.objective_at - now > expected_latency
    until = min(root.objective_at if in_time else root.deadline, root.deadline)
    spare = (until - now - expected_latency) * CALL_START_RATIO
    return min(spare, call.deadline - now - expected_latency)


def first_member_wait(call: Call, now: float) -> float:
    """Return for how many seconds from now a call may wait for a first worker of its service.

    :returns: zero or less where it must not wait any more.
    """
    spent = now - call.started_at
    return call.route.objective_ms / MILLISECONDS * FIRST_MEMBER_RATIO - spent
