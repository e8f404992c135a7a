"""Rules for the ejection of failing destinations; ``Destination`` holds the state.

Ejection applies to destinations whose sidecar or worker is unreachable or repeatedly gives no
response. Slow workers and failed runs raise the cost instead (``cost``). ``cranklane.node``
ejects by separate rules: for failed calls only, and for longer.
"""

from __future__ import annotations

from enum import Enum, auto

from cranklane.outcome import Outcome, Reason

EJECTION_SECONDS_PER_FAILURE = 1.0
"""Ejection time per consecutive failure; about the restart time of a worker."""

MAX_EJECTION_SECONDS = 4.0
"""Upper limit of one ejection, so that a recovered machine is soon used again."""

CONSECUTIVE_FAILURES_BEFORE_EJECTION = 3
"""Consecutive failures after which a ``Failure.COUNTED`` ejects its destination."""

PROBE_INTERVAL_SECONDS = 0.5
"""Seconds between connection attempts to a destination whose sidecar is unreachable. Half of the
shortest ejection."""

SIDECAR_UNREACHABLE = (Reason.PEER_UNREACHABLE, Reason.PEER_LOST)
"""Reasons given when the destination's sidecar does not respond."""

WORKER_UNREACHABLE = (
    Reason.WORKER_UNREACHABLE,
    Reason.WORKER_ENDED,
    Reason.WORKER_LEFT,
    Reason.STOPPING,
)
"""Reasons given when no process listens at the worker's address, or when its sidecar is about to
restart: the end of that cannot be learnt from control while it is away."""

_CALLER_REASONS = (Reason.CANCELLED, Reason.DEADLINE_PASSED)


class Failure(Enum):
    """Destination failure indicated by a reply without a response."""

    NONE = auto()
    """Not a failure: a refusal due to the request itself or to lack of capacity."""
    COUNTED = auto()
    """A possible fault: ejects after ``CONSECUTIVE_FAILURES_BEFORE_EJECTION``."""
    WORKER_UNREACHABLE = auto()
    """Ejects immediately, for a limited time."""
    SIDECAR_UNREACHABLE = auto()
    """Ejects immediately, until a connection succeeds, as each request sent before that would
    wait for the connection timeout."""


def failure_of(outcome: Outcome, reason: Reason) -> Failure:
    """Classify a reply without a response by the destination failure that it indicates."""
    if reason in SIDECAR_UNREACHABLE:
        return Failure.SIDECAR_UNREACHABLE
    if reason in WORKER_UNREACHABLE:
        return Failure.WORKER_UNREACHABLE
    if reason is Reason.NO_MEMBERS:
        # The worker serves another service or none: this sidecar's list is out of date.
        return Failure.COUNTED
    if outcome is Outcome.UNKNOWN and reason not in _CALLER_REASONS:
        return Failure.COUNTED
    return Failure.NONE


def ejection_seconds(failure: Failure, consecutive_failures: int) -> float:
    """Return the duration of the ejection in seconds; 0 for no ejection.

    :param consecutive_failures: number of consecutive failures, including this one.

    >>> [ejection_seconds(Failure.COUNTED, count) for count in (1, 2, 3, 9)]
    [0.0, 0.0, 3.0, 4.0]
    >>> [ejection_seconds(Failure.WORKER_UNREACHABLE, count) for count in (1, 2, 9)]
    [1.0, 2.0, 4.0]
    """
    if failure is Failure.COUNTED and consecutive_failures < CONSECUTIVE_FAILURES_BEFORE_EJECTION:
        return 0.0
    return min(MAX_EJECTION_SECONDS, EJECTION_SECONDS_PER_FAILURE * consecutive_failures)
