"""The typed values every call ends with."""

from __future__ import annotations

import http
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
    """Why a call was refused or failed; counted, and reported to the caller."""

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
    """The call is uncorrelated: the run that makes it is not known here."""
    WORKER_ENDED = 32
    """The worker's process crashed while it ran this request, which may be the cause."""
    WORKER_LEFT = 33
    """The worker's process ended while it ran this request, after it had announced its stop."""
    QUARANTINED = 34
    """Workers that ran this very request before have crashed; it is refused for a while."""
    SUSPECTED = 35
    """It may have crashed a worker: only the gate that runs it isolated may run it."""
    RUN_ALONE = 36
    """The same request is running isolated, to see whether it crashes its worker."""

    @property
    def label(self) -> str:
        """Lower-case name used in headers and metrics."""
        return self.name.lower()


_STATUS_BY_REASON = {
    Reason.UNKNOWN_ROUTE: http.HTTPStatus.NOT_FOUND.value,
    Reason.NOT_GRANTED: http.HTTPStatus.FORBIDDEN.value,
    Reason.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED.value,
    Reason.REQUEST_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value,
    Reason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST.value,
    Reason.KEY_MISSING: http.HTTPStatus.BAD_REQUEST.value,
    Reason.KEY_CONFLICT: http.HTTPStatus.UNPROCESSABLE_ENTITY.value,
    Reason.IN_PROGRESS: http.HTTPStatus.CONFLICT.value,
    Reason.ALREADY_RUN: http.HTTPStatus.CONFLICT.value,
    Reason.TOO_DEEP: http.HTTPStatus.LOOP_DETECTED.value,
    Reason.QUOTA_EXCEEDED: http.HTTPStatus.TOO_MANY_REQUESTS.value,
}
_NOT_RUN_STATUS = http.HTTPStatus.SERVICE_UNAVAILABLE.value
_TOO_LATE_STATUS = http.HTTPStatus.GATEWAY_TIMEOUT.value
_UNKNOWN_STATUS = http.HTTPStatus.BAD_GATEWAY.value


def status_of(outcome: Outcome, reason: Reason) -> int:
    """Return the HTTP status for a caller whose call got no answer of a worker.

    >>> status_of(Outcome.NOT_RUN, Reason.QUEUE_FULL)
    503
    >>> status_of(Outcome.UNKNOWN, Reason.DEADLINE_PASSED)
    504
    """
    if reason in _STATUS_BY_REASON:
        return _STATUS_BY_REASON[reason]
    if outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUS
    if reason is Reason.DEADLINE_PASSED:
        return _TOO_LATE_STATUS
    return _UNKNOWN_STATUS
