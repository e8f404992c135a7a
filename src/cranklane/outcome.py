"""The typed values every call ends with."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """What is known of a call when it ends."""

    ANSWERED = 0
    """A worker answered; its answer is passed on whole."""
    NOT_RUN = 1
    """No worker started any work for this call, in any attempt."""
    UNKNOWN = 2
    """A worker may have started work, and its answer is not known."""

    @property
    def label(self) -> str:
        """Lower-case name used in headers and metrics.

        >>> Outcome.NOT_RUN.label
        'not_run'
        """
        return self.name.lower()


class Criticality(IntEnum):
    """Order in which calls are kept under overload; the highest is refused last."""

    BACKGROUND = 0
    LOW = 1
    NORMAL = 2
    CRITICAL = 3


class Repeat(IntEnum):
    """Whether a route's work may run again after an attempt of unknown outcome."""

    UNREPEATABLE = 0
    """Retried only after an attempt that is known not to have run."""
    REPEATABLE = 1
    """May run any number of times."""
    ONCE = 2
    """Runs at most once for an idempotency key; guarded by the ledger."""


class Reason(IntEnum):
    """Why a call was refused or failed; counted, and told to the caller."""

    NONE = 0
    QUEUE_FULL = 1
    QUEUE_EVICTED = 2
    DEADLINE_TOO_NEAR = 3
    DEADLINE_PASSED = 4
    DRAINING = 5
    WORKER_SHED = 6
    WORKER_UNREACHABLE = 7
    WORKER_FAILED = 8
    ANSWER_CUT = 9
    PEER_LOST = 10
    PEER_UNREACHABLE = 11
    NO_MEMBERS = 12
    UNKNOWN_ROUTE = 13
    NOT_GRANTED = 14
    UNAUTHENTICATED = 15
    CANCELLED = 16
    RETRIES_EXHAUSTED = 17
    REFUSED_EARLY = 18
    REQUEST_TOO_LARGE = 19
    BAD_REQUEST = 20
    KEY_MISSING = 21
    KEY_CONFLICT = 22
    LEDGER_UNAVAILABLE = 23
    IN_PROGRESS = 24
    ALREADY_RUN = 25
    STOPPING = 26
    TOO_DEEP = 27
    NO_CONFIGURATION = 28
    TABLE_STALE = 29
    """Whether the route table in force is still the newest is not known."""
    QUOTA_EXCEEDED = 30
    CALL_UNTIED = 31
    """The run that makes this call is not known here."""
    WORKER_ENDED = 32
    """The worker's process ended while it ran this request, which may be the cause."""
    WORKER_LEFT = 33
    """The worker's process ended while it ran this request, after it had told that it leaves."""
    QUARANTINED = 34
    """The workers that ran this very request before have ended; it is refused for a while."""
    SUSPECTED = 35
    """It may have ended a worker: only the gate that runs it alone may run it."""
    RUN_ALONE = 36
    """The same request is being run alone, to see whether it ends its worker."""

    @property
    def label(self) -> str:
        """Lower-case name used in headers and metrics."""
        return self.name.lower()


_CLIENT_ERROR_STATUS = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.NOT_GRANTED: 403,
    Reason.UNAUTHENTICATED: 401,
    Reason.REQUEST_TOO_LARGE: 413,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.KEY_CONFLICT: 422,
    Reason.IN_PROGRESS: 409,
    Reason.ALREADY_RUN: 409,
    Reason.TOO_DEEP: 508,
    Reason.QUOTA_EXCEEDED: 429,
}


def status_of(outcome: Outcome, reason: Reason) -> int:
    """Return the HTTP status that tells a caller of a call without an answer.

    >>> status_of(Outcome.NOT_RUN, Reason.QUEUE_FULL)
    503
    >>> status_of(Outcome.UNKNOWN, Reason.DEADLINE_PASSED)
    504
    """
    if reason in _CLIENT_ERROR_STATUS:
        return _CLIENT_ERROR_STATUS[reason]
    if outcome is Outcome.NOT_RUN:
        return 503
    if reason is Reason.DEADLINE_PASSED:
        return 504
    return 502
