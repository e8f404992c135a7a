"""Value of a retry while workers refuse requests without running them.

For call trees that make several calls to a service which refuses a part of all requests at random:
a retry is worth most for the trees that are most likely to succeed after it. Pure functions of
what is known of the call; ``retry_spending`` applies them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.request.call_tree import Run

PRIORITY_FACTOR = 0.7
"""Weight of a priority relative to the next higher one. Among trees with the same work done and
the same calls needed, the higher priority is preferred."""

MAX_SPENT_CALLS = 15.0
"""Limit on the counted work of a tree, in calls. The work of a few trees with very many calls would
otherwise outweigh all others."""

HOPELESS = 0.0
"""Value of a retry for a tree that fails anyway."""


class Needed(NamedTuple):
    """Calls to one service that a call tree still needs, including the one to be retried."""

    service: str
    calls: float


def needed_calls(call: Call) -> list[Needed]:
    """Return the calls that are still needed before the run that makes a call can succeed.

    A client's request, or a call that cannot be correlated with a run, is the only one.

    :param call: the call to be retried.
    """
    run = call.run
    if run is None:
        return [Needed(call.service, 1.0)]
    return [Needed(*item) for item in run.route_calls.needed(call.service, run.completed)]


def success_probability(
    needed: Iterable[Needed], refused_fraction: Callable[[str], float], run: Run | None
) -> float:
    """Return the probability that none of the needed calls is refused and the run succeeds.

    :param run: the run that makes the calls; None for a client's request.

    >>> round(success_probability([Needed("stock", 2.0)], lambda service: 0.5, None), 2)
    0.25
    """
    probability = 1.0 if run is None or not run.call_failed else run.route_calls.tolerance
    for service, calls in needed:
        refused = refused_fraction(service)
        if refused > 0.0:
            probability *= (1.0 - refused) ** calls
    return probability


def _ends_in_time(call: Call, needed: list[Needed], expected_latency: float, now: float) -> bool:
    """Return whether a call and those needed after it can end before their deadlines.

    Calls that a run makes at the same time are assumed to go on like this.
    """
    at_once = 1 if call.run is None else max(1, call.run.calls_in_flight)
    remaining_seconds = sum(calls for _, calls in needed) / at_once * expected_latency
    return now + expected_latency < call.deadline and now + remaining_seconds < call.root.deadline


def spent_calls(call: Call, expected_latency: float) -> float:
    """Return the work already done for a run, in units of the call to be retried.

    Counts the slot time of all calls below the run. A client's request has cost nothing yet.

    :param expected_latency: run time of the call's route in seconds; 0 if unknown.
    """
    if call.run is None or expected_latency <= 0.0:
        return 0.0
    milliseconds = sum(spent for _, spent in call.run.downstream_cost)
    return min(MAX_SPENT_CALLS, milliseconds / MILLISECONDS / expected_latency)


def retry_value(
    call: Call, refused_fraction: Callable[[str], float], expected_latency: float, now: float
) -> float:
    """Return the value of retrying a call, from :data:`HOPELESS` to ``1 + MAX_SPENT_CALLS``.

    :param refused_fraction: returns the fraction of requests that a service refuses.
    :param expected_latency: run time of the call's route in seconds; 0 if unknown.
    :param now: monotonic time in seconds.
    """
    needed = needed_calls(call)
    if not _ends_in_time(call, needed, expected_latency, now):
        return HOPELESS
    probability = success_probability(needed, refused_fraction, call.run)
    weight = PRIORITY_FACTOR**call.root.priority
    return probability * weight * (1.0 + spent_calls(call, expected_latency))
