"""Limits on the time a request waits for a slot, or for its service to have a worker.

All times are in seconds; ``now`` is monotonic time.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.request.call import Call

CLIENT_START_RATIO = 0.3
"""Fraction of the route's objective within which a client's request must start. The remainder is
for the run, or for a retry after a refusal. With 0.5, more than a third of runs of one second end
late under overload."""

RUN_RATIO = 1 - CLIENT_START_RATIO
"""Fraction of the route's objective that a request takes at most if its run time is unknown."""

CALL_START_RATIO = 0.35
"""Fraction of the root request's spare time that one of its calls may wait. Each later call may
use the same fraction of the time that remains."""

FIRST_MEMBER_RATIO = 0.2
"""Fraction of the route's objective that a request may wait for its service to have a worker,
for example after a full restart. A later refusal would leave the caller no time to retry."""


def max_start_wait(call: Call, expected_latency: float, now: float) -> float:
    """Return the maximum time from now until a request must start.

    A client's request is limited by its route's objective. A worker's call is limited by the
    spare time of its root request, because refusing it wastes the work already done for the
    root: the time to the root's objective, or to its deadline if the objective is out of reach.

    :param expected_latency: expected run time of the call's route; 0 if unknown.
    :returns: zero or less if the request must start immediately.
    """
    if call.of_client:
        start_limit = call.route.objective_ms / MILLISECONDS * CLIENT_START_RATIO
        return start_limit - (now - call.started_at)
    root = call.root
    in_time = root.objective_at - now > expected_latency
    time_limit = min(root.objective_at if in_time else root.deadline, root.deadline)
    spare = (time_limit - now - expected_latency) * CALL_START_RATIO
    return min(spare, call.deadline - now - expected_latency)


def first_member_wait(call: Call, now: float) -> float:
    """Return the maximum time from now to wait for a service without workers.

    :returns: zero or less if the call must not wait.
    """
    elapsed = now - call.started_at
    return call.route.objective_ms / MILLISECONDS * FIRST_MEMBER_RATIO - elapsed


def longest_by_objective(objective_ms: float) -> float:
    """Return the longest expected time of a request in seconds, if no run of its route is known.

    :param objective_ms: time left of the route's objective.

    >>> longest_by_objective(1000)
    0.7
    """
    return objective_ms / MILLISECONDS * RUN_RATIO
