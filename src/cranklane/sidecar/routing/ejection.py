"""Decides when a destination that fails gets no requests for a while.

Owns the rules and their constants; the state is kept by ``Destination``. Ejection is about
whether a sidecar and its worker can be used at all. A worker that is only slow, or fails some
runs, counts as more expensive instead (``cost.py``). ``cranklane.node`` has rules of its own:
there a member is ejected for failed calls alone, and for longer.
"""

from __future__ import annotations

from enum import Enum, auto

from cranklane.outcome import Outcome, Reason

EJECTION_SECONDS = 1.0
"""Seconds of an ejection for each failure in a row. A choice: about what a worker's restart
takes."""

MAX_EJECTION_SECONDS = 4.0
"""Most seconds of one ejection. A choice: a machine that is back is soon used again."""

FAILURES_BEFORE_EJECTION = 3
"""Failures in a row that eject a destination that can be reached. A choice: one lost answer
says little of the next."""

PROBE_SECONDS = 0.5
"""Seconds between tries to connect to a destination that could not be reached. A choice: twice
for each ejection of the shortest kind."""

SIDECAR_UNREACHABLE = (Reason.PEER_UNREACHABLE, Reason.PEER_LOST)
"""Reasons that say that the other sidecar does not answer."""

WORKER_UNREACHABLE = (Reason.WORKER_UNREACHABLE, Reason.WORKER_ENDED, Reason.WORKER_LEFT)
"""Reasons that say that nothing listens at the worker's address."""

_CALLERS_OWN = (Reason.CANCELLED, Reason.DEADLINE_PASSED)


class Failure(Enum):
    """What a reply without an answer says of its destination."""

    NONE = auto()
    """Nothing: the request was refused for a reason of its own, or for lack of capacity."""
    COUNTED = auto()
    """It may be at fault: ejected after some in a row."""
    WORKER_UNREACHABLE = auto()
    """Ejected at once, for a time."""
    SIDECAR_UNREACHABLE = auto()
    """Ejected at once, until a connection has succeeded: each request that is sent there
    waits for a connection that does not come."""


def failure_of(outcome: Outcome, reason: Reason) -> Failure:
    """Return what a reply without an answer says of its destination."""
    if reason in SIDECAR_UNREACHABLE:
        return Failure.SIDECAR_UNREACHABLE
    if reason in WORKER_UNREACHABLE:
        return Failure.WORKER_UNREACHABLE
    if reason is Reason.NO_MEMBERS:
        # Its worker does another service, or none: this process's list is out of date.
        return Failure.COUNTED
    if outcome is Outcome.UNKNOWN and reason not in _CALLERS_OWN:
        return Failure.COUNTED
    return Failure.NONE


def ejection_seconds(failure: Failure, failures: int) -> float:
    """Return for how many seconds a destination is ejected; 0: not at all.

    :param failures: in a row, this one included.

    >>> [ejection_seconds(Failure.COUNTED, failures) for failures in (1, 2, 3, 9)]
    [0.0, 0.0, 3.0, 4.0]
    >>> [ejection_seconds(Failure.WORKER_UNREACHABLE, failures) for failures in (1, 2, 9)]
    [1.0, 2.0, 4.0]
    """
    if failure is Failure.COUNTED and failures < FAILURES_BEFORE_EJECTION:
        return 0.0
    return min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * failures)
