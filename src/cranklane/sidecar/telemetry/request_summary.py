"""Sums up each second's ended requests of clients, and the work that was done for them.

The number of lines for single requests is limited, so they cannot be added up. One line a second
can: it counts the requests that ended, by route, end and cause, and sums the time that workers
spent on them by how they ended.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Any, NamedTuple

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.decision import Decision

LINE_SECONDS = 1.0
"""Seconds that one line covers. A choice: short enough to show a fault before what follows it."""

RUN_FAILED = "run_failed"
"""Cause of a request whose worker answered with an error though no call of it failed."""

_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR.value


class End(Enum):
    """How a request ended for its client."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    """It has not run, and its answer says so."""
    FAILED = "failed"
    """It may have run; its answer is an error."""
    LEFT = "left"
    """Its client left before it ended."""


class Cause(NamedTuple):
    """Why a request was refused or failed.

    :ivar service: where it was refused or failed; empty when it was served.
    """

    service: str = ""
    reason: str = ""


def end_of(decision: Decision) -> End:
    """Return how a request ended."""
    if decision.reason is Reason.CANCELLED or decision.status == 0:
        return End.LEFT
    if decision.outcome is Outcome.NOT_RUN:
        return End.REFUSED
    if decision.outcome is Outcome.UNKNOWN or decision.status >= _FIRST_SERVER_ERROR:
        return End.FAILED
    late = decision.seconds > decision.objective_seconds > 0
    return End.LATE if late else End.IN_TIME


def cause_of(decision: Decision, end: End) -> Cause:
    """Return why a request was refused or failed, as deep in its tree as is known."""
    if end not in (End.REFUSED, End.FAILED):
        return Cause()
    if decision.failure is not None:
        return Cause(decision.failure.service, _reason(decision.failure.reason))
    return Cause(decision.service, _reason(decision.reason))


def _reason(reason: Reason) -> str:
    return RUN_FAILED if reason is Reason.NONE else reason.label


class RequestSummary:
    """Sums up the ended requests of clients second by second.

    :param log: gets one line for each second in which a request ended.
    """

    def __init__(self, clock: Callable[[], float], log: Any) -> None:
        self._clock = clock
        self._log = log
        self._began_at = clock()
        self._ends: defaultdict[tuple[str, End, Cause], int] = defaultdict(int)
        self._work: defaultdict[tuple[str, End], int] = defaultdict(int)

    def add(self, decision: Decision, end: End) -> None:
        """Add a request of a client that has ended."""
        if self._clock() - self._began_at >= LINE_SECONDS:
            self.write()
        self._ends[decision.route, end, cause_of(decision, end)] += 1
        for service, milliseconds in decision.work:
            self._work[service, end] += milliseconds

    def write(self) -> None:
        """Write the line of the seconds since the last one, if anything ended."""
        now = self._clock()
        if self._ends:
            self._log.info(
                "requests_ended",
                seconds=round(now - self._began_at, 3),
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
        self._began_at = now
