"""Logs a summary line about once a second: finished client requests and their slot time.

Lines for single requests are rate-limited and cannot be added up. The summary counts all finished
requests by route, end and cause, and sums the workers' slot time by service and end.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Any, NamedTuple

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.decision import Decision

LINE_INTERVAL_SECONDS = 1.0
"""Interval covered by a line; short enough to separate a fault from its consequences."""

RUN_FAILED = "run_failed"
"""Cause of a request whose worker answered with an error although none of its calls failed."""

_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR.value


class End(Enum):
    """How a request ended from the client's point of view."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    """The request has not run, and the client got an answer that states it."""
    FAILED = "failed"
    """The request may have run; the client got an error."""
    DISCONNECTED = "left"
    """The client disconnected before the answer."""


class Cause(NamedTuple):
    """Why a request was refused or failed.

    :ivar service: service that refused or failed the request; empty if it was served.
    :ivar reason: label of the reason; empty if the request was served.
    """

    service: str = ""
    reason: str = ""


def end_of(decision: Decision) -> End:
    """Return how a request ended."""
    if decision.reason is Reason.CANCELLED or decision.status == 0:
        return End.DISCONNECTED
    if decision.outcome is Outcome.NOT_RUN:
        return End.REFUSED
    if decision.outcome is Outcome.UNKNOWN or decision.status >= _FIRST_SERVER_ERROR:
        return End.FAILED
    late = decision.seconds > decision.objective_seconds > 0
    return End.LATE if late else End.IN_TIME


def cause_of(decision: Decision, end: End) -> Cause:
    """Return the deepest known cause in the call tree of a refused or failed request."""
    if end not in (End.REFUSED, End.FAILED):
        return Cause()
    if decision.failure is not None:
        return Cause(decision.failure.service, _reason(decision.failure.reason))
    return Cause(decision.service, _reason(decision.reason))


def _reason(reason: Reason) -> str:
    return RUN_FAILED if reason is Reason.NONE else reason.label


class RequestSummary:
    """Aggregates finished requests of clients into summary lines.

    :param clock: returns monotonic seconds.
    :param log: receives one line for each interval in which a request finished.
    """

    def __init__(self, clock: Callable[[], float], log: Any) -> None:
        self._clock = clock
        self._log = log
        self._interval_began_at = clock()
        self._ends: defaultdict[tuple[str, End, Cause], int] = defaultdict(int)
        self._work: defaultdict[tuple[str, End], int] = defaultdict(int)

    def add(self, decision: Decision, end: End) -> None:
        """Add a finished request; write the line first if its interval has passed."""
        if self._clock() - self._interval_began_at >= LINE_INTERVAL_SECONDS:
            self.write()
        self._ends[decision.route, end, cause_of(decision, end)] += 1
        for service, milliseconds in decision.work:
            self._work[service, end] += milliseconds

    def write(self) -> None:
        """Write the line for the time since the last one, unless no request finished."""
        now = self._clock()
        if self._ends:
            self._log.info(
                "requests_ended",
                seconds=round(now - self._interval_began_at, 3),
                ends=[
                    [route, end.value, cause.service, cause.reason, count]
                    for (route, end, cause), count in self._ends.items()
                ],
                work_ms=[
                    [service, end.value, milliseconds]
                    for (service, end), milliseconds in self._work.items()
                ],
            )
        self._ends.clear()
        self._work.clear()
        self._interval_began_at = now
