"""Logs and counts a sidecar's decisions on requests.

Lines are rate-limited: one limit for refused, failed and late requests and for failed attempts,
and a lower one for a sample of successful requests. Lines contain the request id, which is the
same at all sidecars. Counters and the summary lines cover every request.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

import gevent

from cranklane.common.rate_limit import RateLimit
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.admission.gate_listener import AdmissionDecision
from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.capacity.pace import PaceChange
from cranklane.sidecar.capacity.slow_start import SlowStartChange
from cranklane.sidecar.ingress.authentication import IngressRefusal
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.retry_spending import RetryReport
from cranklane.sidecar.telemetry.metrics import SidecarMetrics
from cranklane.sidecar.telemetry.request_summary import End, RequestSummary, end_of
from cranklane.sidecar.telemetry.slot_summary import SlotSummary
from cranklane.sidecar.worker.exit import WorkerExit
from cranklane.sidecar.worker.instances import NO_INSTANCE, WorkerInstance
from cranklane.sidecar.worker.stated_limit import LimitChange

PROBLEM_LINES_PER_SECOND = 100.0
"""Rate limit of lines on refused, failed and late requests and attempts; bounds disk use."""

SUCCESS_LINES_PER_SECOND = 10.0
"""Rate limit of lines on successful requests. They are a sample to compare problems with."""

RETRY_LINES_PER_SECOND = 1.0
"""Rate limit of lines on retries decided by value, which are a sample; counters have the sums."""

SUMMARY_INTERVAL_SECONDS = 5.0
"""Seconds between lines that count omitted lines; also the longest delay of a request summary."""

ROOT_REFUSAL_LINES_PER_SECOND = 1.0
"""Rate limit of lines on root requests refused by an admission level; the counter has each."""

PACE_LINES_PER_SECOND = 1.0
"""Rate limit of lines on slow periods, which may come and go many times a minute."""

CONNECTION_LINES_PER_SECOND = 1.0
"""Rate limit of lines on connections closed for lack of room; the counter has each."""

MAX_LOGGED_RUNS = 100
"""Limit on the runs listed in the line on a worker's exit; the line always states their number."""

MAX_LOGGED_AGE_SECONDS = 1_000_000.0
"""Table age from which the age is logged as None: the table was never confirmed."""


class DecisionLog:
    """Logs decisions within the rate limits, and counts each of them.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], metrics: SidecarMetrics, log: Any) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._problem_limit = RateLimit(clock, PROBLEM_LINES_PER_SECOND)
        self._success_limit = RateLimit(clock, SUCCESS_LINES_PER_SECOND)
        self._retry_limit = RateLimit(clock, RETRY_LINES_PER_SECOND)
        self._root_refusal_limit = RateLimit(clock, ROOT_REFUSAL_LINES_PER_SECOND)
        self._connection_limit = RateLimit(clock, CONNECTION_LINES_PER_SECOND)
        self._pace_limit = RateLimit(clock, PACE_LINES_PER_SECOND)
        self._summary = RequestSummary(clock, log)
        self._slot_summary = SlotSummary(clock, log)
        self._leaving_instance = NO_INSTANCE

    def attempted(
        self, progress: CallProgress, destination: Destination, reply: Reply, seconds: float
    ) -> None:
        """Count an attempt; log a failed one with the state of its destination."""
        call = progress.call
        body_cut = progress.current is not None and progress.current.body_cut
        self._metrics.attempt(call.service, reply.outcome, reply.reason)
        if body_cut:
            self._metrics.body_cut(call.service)
        if reply.outcome is Outcome.ANSWERED or not self._problem_limit.allows():
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
            body_cut=body_cut,
            seconds=round(seconds, 4),
            running=reply.load.running,
            queued=reply.load.queued,
            slots=reply.load.slots,
            destinations=len(progress.tried),
            faults=round(destination.condition.faults, 2),
            slowness=round(destination.condition.slowness, 1),
            condition_age=round(self._clock() - destination.condition_at, 2),
        )

    def retry_decided(self, report: RetryReport) -> None:
        """Count a decision on a retry; log one a second of those by value."""
        self._metrics.retry_decision(report.service, report.decision)
        if not report.by_value or not self._retry_limit.allows():
            return
        self._log.info(
            "retry_by_value",
            service=report.service,
            decision=report.decision.value,
            refused_fraction=round(report.refused_fraction, 3),
            value=round(report.value, 4),
            tokens=round(report.tokens, 2),
            others=self._retry_limit.take_left_out(),
        )

    def decided(self, decision: Decision) -> None:
        """Count and log the result of a request."""
        end = end_of(decision)
        self._metrics.request(decision)
        if decision.of_client:
            self._metrics.work(decision.work, end)
            self._summary.add(decision, end)
        limit = self._success_limit if end is End.IN_TIME else self._problem_limit
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
        """Count and log a request refused for its key, its tenant's rate or a stale table."""
        self._metrics.ingress_refusal(refusal.reason)
        if not self._problem_limit.allows():
            return
        self._log.info(
            "ingress_refusal",
            request=refusal.request,
            reason=refusal.reason.label,
            tenant=refusal.tenant,
            admitted_permille=refusal.admitted_permille,
            table_age=round(refusal.table_age, 2)
            if refusal.table_age < MAX_LOGGED_AGE_SECONDS
            else None,
        )

    def admission(self, decision: AdmissionDecision) -> None:
        """Count a decision of the worker's gate; log a refusal."""
        reason = decision.reason
        self._metrics.admission(reason, decision.waited_seconds)
        self._slot_summary.decided(decision)
        if reason is Reason.NONE or not self._problem_limit.allows():
            return
        self._log.info(
            "admission",
            request=decision.request.request_id,
            reason=reason.label,
            running=decision.running,
            queued=decision.queued,
            slots=decision.slots,
            waited_seconds=round(decision.waited_seconds, 4),
            priority=decision.request.root_priority,
        )

    def slot_released(self, request: ForwardRequest, seconds: float) -> None:
        """Count a slot that a request has held for a time."""
        priority = request.root_priority
        self._metrics.slot_released(priority, seconds)
        self._slot_summary.released(request.service, priority, seconds)

    def limit_changed(self, route: str, limit: float) -> None:
        """Record the limit on a route's concurrent runs; ``math.inf`` for none."""
        self._slot_summary.limit_changed(route, limit)

    def admission_level_changed(self, level: int) -> None:
        """Log the admission level that the worker's gate states from now on."""
        self._log.info("admission_level", level=level if level < MAX_ADMISSION_LEVEL else None)

    def root_refused(self, route: str, rank: int, level: int) -> None:
        """Count a root request ranked above the admission level of its route, and log some."""
        self._metrics.root_refusal(route)
        if self._root_refusal_limit.allows():
            self._log.info("refused_above_level", route=route, rank=rank, level=level)

    def connection_closed(self, cause: Enum) -> None:
        """Count a connection closed for lack of room, and log some."""
        self._metrics.connection_closed(cause)
        if self._connection_limit.allows():
            others = self._connection_limit.take_left_out()
            self._log.warning("connection_closed", cause=cause.value, others=others)

    def worker_limit_changed(self, change: LimitChange) -> None:
        """Count and log a change of the limit on requests per second that the worker states."""
        self._metrics.worker_notice("limit" if change.rate is not None else "limit_ended")
        if not self._problem_limit.allows():
            return
        self._log.info(
            "worker_limit",
            instance=change.instance.label,
            limit=change.rate,
            former=change.former,
            held_seconds=round(change.held_seconds, 3),
        )

    def worker_limit_unreadable(self, instance: WorkerInstance, problem: str) -> None:
        """Count and log an answer whose stated limit cannot be read; the former limit holds."""
        self._metrics.worker_notice("limit_unreadable")
        if self._problem_limit.allows():
            self._log.warning("worker_limit_unreadable", instance=instance.label, problem=problem)

    def slow_start_changed(self, instance: WorkerInstance, change: SlowStartChange) -> None:
        """Count and log the beginning or the end of a slow start."""
        if change.ended_by is None:
            self._metrics.slow_start(change.cause.value)
        self._log.info(
            "slow_start" if change.ended_by is None else "slow_start_ended",
            instance=instance.label,
            cause=change.cause.value,
            ended_by=change.ended_by.value if change.ended_by is not None else None,
            window=change.window,
            slots=change.slots,
            seconds=round(change.seconds, 3),
            runs=change.runs,
            slow_runs=change.slow_runs,
        )

    def worker_pace_changed(self, change: PaceChange) -> None:
        """Count and log the start or end of a slow period of the worker."""
        self._metrics.worker_notice("slow_period" if change.factor > 1.0 else "slow_period_ended")
        if not self._pace_limit.allows():
            return
        self._log.info(
            "worker_pace",
            instance=change.instance.label,
            relative_run_time=change.factor,
            held_seconds=round(change.held_seconds, 3),
        )

    def worker_leaving(self, instance: WorkerInstance) -> None:
        """Count and log the first answer of an instance which states that it is leaving."""
        if instance == self._leaving_instance:
            return
        self._leaving_instance = instance
        self._metrics.worker_notice("leaving")
        self._log.info("worker_leaving", instance=instance.label)

    def quarantined(self, call: Call, identity: Identity, seconds_left: float) -> None:
        """Log that a request of this machine's callers was refused because it is quarantined."""
        if not self._problem_limit.allows():
            return
        self._log.info(
            "quarantine_refusal",
            request=call.request_id,
            service=call.service,
            identity=identity.hex(),
            seconds_left=round(seconds_left, 1),
        )

    def worker_exited(self, exited: WorkerExit) -> None:
        """Count and log an exit of the worker's process, with the interrupted runs."""
        self._metrics.worker_exited(exited.planned)
        self._log.warning(
            "worker_ended",
            instance=exited.instance.label,
            planned=exited.planned,
            running=len(exited.runs),
            runs=[
                [run.request, run.identity.hex(), round(run.seconds, 3)]
                for run in exited.runs[:MAX_LOGGED_RUNS]
            ],
        )

    def log_summaries(self) -> None:
        """Write the summaries and the counts of omitted lines periodically; never returns."""
        while True:
            gevent.sleep(SUMMARY_INTERVAL_SECONDS)
            self._summary.write()
            self._slot_summary.write()
            problems = self._problem_limit.take_left_out()
            successes = self._success_limit.take_left_out()
            self._metrics.lines_left_out(problems + successes)
            if problems or successes:
                self._log.info("lines_left_out", problems=problems, successes=successes)
