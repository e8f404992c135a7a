"""Outcomes and reasons of calls, and the route properties that affect them."""

from __future__ import annotations

import http
from enum import IntEnum


class Outcome(IntEnum):
    """Final result of a call."""

    ANSWERED = 0
    """A worker responded, and its complete response is passed on."""
    NOT_RUN = 1
    """No worker started the call in any attempt."""
    UNKNOWN = 2
    """A worker may have started the call, and its response is unknown."""

    @property
    def label(self) -> str:
        """Name used in headers and metrics.

        >>> Outcome.NOT_RUN.label
        'not_run'
        """
        return self.name.lower()


class Criticality(IntEnum):
    """Order of refusal under overload: the lowest criticality is refused first."""

    BACKGROUND = 0
    LOW = 1
    NORMAL = 2
    CRITICAL = 3


class Repeat(IntEnum):
    """Whether a call may be retried after an attempt with unknown outcome."""

    UNREPEATABLE = 0
    """Retried only if the previous attempt did not run."""
    REPEATABLE = 1
    """May run several times."""
    ONCE = 2
    """Runs at most once per idempotency key, enforced by the ledger."""


class Reason(IntEnum):
    """Why a call was refused or failed; reported in headers, logs and metrics."""

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
    """The route table in force may be outdated."""
    QUOTA_EXCEEDED = 30
    CALL_UNTIED = 31
    """The call cannot be correlated with a run of the local worker."""
    WORKER_ENDED = 32
    """The worker crashed while running this request, possibly because of it."""
    WORKER_LEFT = 33
    """The worker announced its stop and exited while running this request."""
    QUARANTINED = 34
    """The request is in quarantine because workers that ran it have crashed."""
    SUSPECTED = 35
    """The request may have crashed a worker and may run only in isolation."""
    RUN_ALONE = 36
    """The same request is running in isolation to test whether it crashes its worker."""
    WORKER_LIMIT = 37
    """The worker accepts a limited number of requests per second, which is used up."""
    ABOVE_ADMISSION_LEVEL = 38
    """The services of the request's call tree have no capacity for trees of its rank."""
    SLOW_PERIOD = 39
    """The worker is in a slow period that the caller did not know of."""
    MEMORY_FULL = 40
    """The process holds as much for clients as its memory allows."""

    @property
    def label(self) -> str:
        """Name used in headers and metrics."""
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
    """Return the HTTP status for a call without a worker's response.

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
