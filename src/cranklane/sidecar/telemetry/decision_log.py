"""Logs and counts what a sidecar decides about requests.

Each refused, failed or late request, and each attempt without an answer, has a line while the
rate allows; of those that went well a sample has one. All lines of one request bear its id, at
every sidecar that it passed. Counters and the summary of each second leave nothing out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.rate_limit import RateLimit
from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.ingress.authentication import IngressRefusal
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.telemetry.metrics import SidecarMetrics
from cranklane.sidecar.telemetry.request_summary import End, RequestSummary, end_of
from cranklane.sidecar.worker.exit import WorkerExit

PROBLEM_LINES_PER_SECOND = 100.0
"""Lines a second on problems. A choice: enough to follow an incident, and a bound on the disk."""

SUCCESS_LINES_PER_SECOND = 10.0
"""Lines a second on requests that went well. A choice: a sample to compare problems with."""

SUMMARY_SECONDS = 5.0
"""Seconds between the lines that count what was left out, and the longest that a request waits
for its summary. A choice."""

MAX_RUNS_IN_LINE = 100
"""Runs named in one line on a worker's exit; their number is always there. A choice: a line stays
readable, and few workers run more at once."""


MAX_AGE_SECONDS = 1_000_000.0
"""Age of a table from which a line has none: it was never confirmed."""


class DecisionLog:
    """Writes decision lines within their rates, and counts each decision.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], metrics: SidecarMetrics, log: Any) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._problems = RateLimit(clock, PROBLEM_LINES_PER_SECOND)
        self._successes = RateLimit(clock, SUCCESS_LINES_PER_SECOND)
        self._summary = RequestSummary(clock, log)

    def attempted(
        self, progress: CallProgress, destination: Destination, reply: Reply, seconds: float
    ) -> None:
        """Log an attempt that has ended, with what made this destination the choice."""
        call = progress.call
        self._metrics.attempt(call.service, reply.outcome, reply.reason)
        if reply.outcome is Outcome.ANSWERED or not self._problems.allows():
            return
        self._log.info(
            "attempt",
            request=call.request_id,
            service=call.service,
            destination=destination.node,
            instance=destination.instance,
            outcome=reply.outcome.label,
            reason=reply.reason.label,
            arrived=reply.arrived,
            seconds=round(seconds, 4),
            running=reply.load.running,
            queued=reply.load.queued,
            slots=reply.load.slots,
            destinations=len(progress.tried),
            faults=round(destination.condition.faults, 2),
            slowness=round(destination.condition.slowness, 1),
            condition_age=round(self._clock() - destination.condition_at, 2),
        )

    def decided(self, decision: Decision) -> None:
        """Log and count what became of a request."""
        end = end_of(decision)
        self._metrics.request(decision)
        if decision.of_client:
            self._metrics.work(decision.work, end)
            self._summary.add(decision, end)
        limit = self._successes if end is End.IN_TIME else self._problems
        if not limit.allows():
            return
        self._log.info(
            "request",
            request=decision.request_id,
            route=decision.route,
            service=decision.service,
            outcome=decision.outcome.label,
            reason=decision.reason.label,
            status=decision.status,
            attempts=decision.attempts,
            refusals=decision.refusals,
            seconds=round(decision.seconds, 4),
            waited_ms=decision.waited_ms,
            ran_ms=decision.run_time_ms,
            objective_seconds=decision.objective_seconds,
            deadline_seconds=round(decision.allowed_seconds, 3),
            table=decision.version,
        )

    def refused_at_ingress(self, refusal: IngressRefusal) -> None:
        """Log that a request was refused for its key, its tenant's limit or a stale table."""
        self._metrics.ingress_refusal(refusal.reason)
        if not self._problems.allows():
            return
        self._log.info(
            "ingress_refusal",
            request=refusal.request,
            reason=refusal.reason.label,
            tenant=refusal.tenant,
            admitted_permille=refusal.admitted_permille,
            table_age=round(refusal.table_age, 2) if refusal.table_age < MAX_AGE_SECONDS else None,
        )

    def admission(
        self, request: str, reason: Reason, running: int, queued: int, slots: int, waited: float
    ) -> None:
        """Log what the gate beside the worker decided."""
        self._metrics.admission(reason, waited)
        if reason is Reason.NONE or not self._problems.allows():
            return
        self._log.info(
            "admission",
            request=request,
            reason=reason.label,
            running=running,
            queued=queued,
            slots=slots,
            waited_seconds=round(waited, 4),
        )

    def quarantined(self, call: Call, identity: Identity, seconds_left: float) -> None:
        """Log that a request of this machine's callers is quarantined."""
        if not self._problems.allows():
            return
        self._log.info(
            "quarantine_refusal",
            request=call.request_id,
            service=call.service,
            identity=identity.hex(),
            seconds_left=round(seconds_left, 1),
        )

    def worker_exited(self, exited: WorkerExit) -> None:
        """Log that the worker's process has exited, and what it was running."""
        self._metrics.worker_exited(exited.planned)
        self._log.warning(
            "worker_ended",
            instance=exited.instance,
            planned=exited.planned,
            running=len(exited.runs),
            runs=[
                [run.request, run.identity.hex(), round(run.seconds, 3)]
                for run in exited.runs[:MAX_RUNS_IN_LINE]
            ],
        )

    def summarise(self) -> None:
        """Log from time to time how many lines were left out; never returns."""
        while True:
            gevent.sleep(SUMMARY_SECONDS)
            self._summary.write()
            problems = self._problems.take_left_out()
            successes = self._successes.take_left_out()
            self._metrics.lines_left_out(problems + successes)
            if problems or successes:
                self._log.info("lines_left_out", problems=problems, successes=successes)
