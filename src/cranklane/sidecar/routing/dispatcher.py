"""Dispatches a request to a worker and retries it at others as the retry policy allows.

``worker_choice`` selects the worker, ``waiting`` limits waiting times, ``retry_policy`` and
``retry_budget`` decide on retries, and ``feedback`` updates the destination after each reply.
``stop_limit`` begins no attempt that would outlast the process during a planned stop.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cranklane.common.planned_stop import PlannedStop
from cranklane.common.units import MICROSECONDS, MILLISECONDS
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.admission.gate import Gate
from cranklane.sidecar.quarantine.rules import QuarantineState
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.request.attempt import AT_CAPACITY, Attempt, Reply, refusal
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.routing import retry_policy, waiting
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.feedback import DestinationFeedback
from cranklane.sidecar.routing.peer_client import PeerClient
from cranklane.sidecar.routing.retry_budget import RetryBudget
from cranklane.sidecar.routing.retry_policy import Verdict
from cranklane.sidecar.routing.retry_spending import RetryReport, RetrySpending
from cranklane.sidecar.routing.stop_limit import StopLimit
from cranklane.sidecar.routing.worker_choice import WorkerChoice

_ANSWERED = Verdict.ANSWERED
"""Cached because enum attribute lookup is slow and this is the most frequent verdict."""


class DispatcherDependencies(NamedTuple):
    """Dependencies of a dispatcher.

    :ivar gate: admits requests to the local worker.
    :ivar peers: sends requests to other sidecars.
    :ivar quarantine: table of requests suspected of crashing workers.
    :ivar on_attempt: called after each attempt, with its duration in seconds.
    :ivar on_quarantined: called for each quarantined request, with the remaining seconds.
    :ivar on_retry: called with each decision on a retry that needs a token.
    """

    destinations: Destinations
    choice: WorkerChoice
    gate: Gate
    peers: PeerClient
    budget: RetryBudget
    quarantine: Quarantine
    on_attempt: Callable[[CallProgress, Destination, Reply, float], None]
    on_quarantined: Callable[[Call, Identity, float], None]
    on_retry: Callable[[RetryReport], None] = lambda _report: None


class Dispatcher:
    """Dispatches requests to the workers of their services.

    :param node_name: name of the local node.
    :param caller: service of the local worker, sent to other sidecars as the caller.
    :param stop: the planned stop of this process.
    :ivar run_times: how long the requests of each route take, from the choice of a worker to the
        end of the response.
    """

    def __init__(
        self,
        runtime: Runtime,
        dependencies: DispatcherDependencies,
        node_name: str,
        caller: str,
        stop: PlannedStop | None = None,
    ) -> None:
        self._runtime = runtime
        self._destinations = dependencies.destinations
        self._choice = dependencies.choice
        self._gate = dependencies.gate
        self._peers = dependencies.peers
        self._stop_limit = StopLimit(stop or PlannedStop(runtime.monotonic))
        self.run_times = self._stop_limit.run_times
        self._feedback = DestinationFeedback(
            runtime, dependencies.destinations, dependencies.peers, self.run_times
        )
        self._latencies = self._feedback.latencies
        self._budget = dependencies.budget
        self._retries = RetrySpending(
            dependencies.budget,
            runtime.monotonic,
            lambda: runtime.random,
            self._latencies.of,
            dependencies.on_retry,
        )
        self._node_name = node_name
        self._caller = caller
        self._quarantine = dependencies.quarantine
        self._on_attempt = dependencies.on_attempt
        self._on_quarantined = dependencies.on_quarantined

    def run(self, progress: CallProgress) -> Reply:
        """Return the response of a worker, or the reply that states why there is none.

        The result is the last response, including error responses; without any, it is the last
        reply. A refusal becomes UNKNOWN if an earlier attempt may have run.
        """
        call = progress.call
        if call.root.is_retry:
            self._budget.charge(call.service)
        else:
            self._budget.earn(call.service)
        if self._is_quarantined(call):
            return self._refuse_quarantined(call)
        result = refusal(Reason.NO_MEMBERS, retry_after_ms=retry_after.DEFAULT_MS)
        may_have_run = False
        has_answer = False
        while True:
            if not self._stop_limit.allows(call):
                if result.outcome is Outcome.NOT_RUN:
                    result = self._stop_limit.refuse(call)
                break
            destination = self._choose(progress)
            if destination is None:
                if progress.tried:
                    # All candidates have been tried.
                    break
                if self._choice.all_saturated(call.service, call.root.rank):
                    saturation = self._choice.first_saturation(call.service)
                    delay_ms = retry_after.all_saturated_ms(saturation.seconds)
                    result = refusal(saturation.reason, retry_after_ms=delay_ms)
                    break
                if self._wait_for_first_member(progress):
                    continue
                break
            reply = self._attempt(progress, destination)
            may_have_run |= reply.outcome is Outcome.UNKNOWN
            if not has_answer or reply.outcome is Outcome.ANSWERED:
                result = reply
            if not self._should_retry(progress, reply):
                break
            has_answer |= reply.outcome is Outcome.ANSWERED
        if may_have_run and result.outcome is Outcome.NOT_RUN:
            result = Reply(Outcome.UNKNOWN, result.reason, arrived=True)
        return result

    def _choose(self, progress: CallProgress) -> Destination | None:
        """Return the destination of the next attempt."""
        call = progress.call
        if progress.isolated:
            return self._choice.isolated_run_destination(
                call.service, call.identity(), progress.tried
            )
        return self._choice.choose(call.service, progress.tried, call.root.rank)

    def _wait_for_first_member(self, progress: CallProgress) -> bool:
        """Wait for a member update; return whether to choose again."""
        remaining = waiting.first_member_wait(progress.call, self._runtime.monotonic())
        return (
            remaining > 0
            and not progress.cancelled
            and self._destinations.wait_for_update(remaining)
        )

    def _should_retry(self, progress: CallProgress, reply: Reply) -> bool:
        """Return whether to retry at another worker, and charge the retry budget if needed."""
        now = self._runtime.monotonic()
        verdict = retry_policy.decide(progress, reply, now, self._is_quarantined)
        if verdict is _ANSWERED:
            return False
        refused_at_capacity = not reply.arrived and reply.reason in AT_CAPACITY
        if refused_at_capacity and verdict not in retry_policy.CALL_OVER_VERDICTS:
            progress.refusals += 1
        if verdict is Verdict.NEWLY_QUARANTINED:
            self._refuse_quarantined(progress.call)
        if verdict is Verdict.RETRY_FROM_BUDGET:
            return self._retries.allows(progress.call)
        return verdict is Verdict.RETRY

    def _is_quarantined(self, call: Call) -> bool:
        if self._quarantine.is_empty:
            return False
        return self._quarantine.state(call.identity()) is QuarantineState.QUARANTINED

    def _refuse_quarantined(self, call: Call) -> Reply:
        """Report a quarantined request and return its refusal."""
        identity = call.identity()
        remaining = self._quarantine.seconds_left(identity)
        self._on_quarantined(call, identity, remaining)
        return refusal(Reason.QUARANTINED, retry_after_ms=retry_after.quarantined_ms(remaining))

    def _attempt(self, progress: CallProgress, destination: Destination) -> Reply:
        call = progress.call
        progress.tried.add(destination.node)
        now = self._runtime.monotonic()
        request = self._request(progress, now)
        if destination.notice is not None:
            request.notice = [destination.notice]
        request.hand_back = destination.is_believed_usual(now) and progress.may_be_handed_back()
        attempt = Attempt(request, call.rest)
        progress.current = attempt
        if progress.cancelled:
            return refusal(Reason.CANCELLED)
        destination.record_sent()
        try:
            if destination.node == self._node_name:
                reply = self._gate.run(attempt)
            else:
                reply = self._peers.run(destination.address, attempt)
        finally:
            destination.record_finished()
        progress.attempts += reply.arrived
        if reply.arrived:
            progress.worker_refusals += reply.outcome is Outcome.NOT_RUN
            self._retries.record_reply(call.service, reply)
            progress.work.add(call.service, reply.run_time_ms)
        if reply.downstream_cost is not None:
            progress.work.add_all(reply.downstream_cost)
        seconds = self._runtime.monotonic() - now
        if reply.outcome is not Outcome.ANSWERED:
            self._record_suspicion(progress, destination, reply)
        if reply.reason is Reason.SLOW_PERIOD:
            progress.note_handed_back(destination.node)
        self._feedback.record_reply(call, destination, reply, seconds)
        self._on_attempt(progress, destination, reply, seconds)
        return reply

    def _record_suspicion(
        self, progress: CallProgress, destination: Destination, reply: Reply
    ) -> None:
        call = progress.call
        quarantine_reply = reply.reason in (Reason.QUARANTINED, Reason.WORKER_ENDED)
        if quarantine_reply and reply.retry_after_ms:
            # This sidecar's copy of the quarantine table may be out of date.
            seconds = reply.retry_after_ms / MILLISECONDS
            self._quarantine.record_refusal(call.service, call.identity(), seconds)
        progress.note_suspicion(destination.node, reply.reason)

    def _request(self, progress: CallProgress, now: float) -> ForwardRequest:
        call = progress.call
        route = call.route
        root = call.root
        remaining = max(0.0, call.deadline - now)
        expected_latency = self._latencies.of(call.run_key)
        start_within = min(
            remaining,
            waiting.max_start_wait(call, expected_latency, now),
            self._stop_limit.start_within(call),
        )
        return ForwardRequest(
            deadline_ms=int(remaining * MILLISECONDS),
            start_within_ms=_nonnegative_milliseconds(start_within),
            expected_latency_us=int(expected_latency * MICROSECONDS),
            priority=route.priority,
            root_priority=root.priority,
            root_age_ms=_nonnegative_milliseconds(now - root.began_at),
            root_objective_ms=_nonnegative_milliseconds(root.objective_at - now),
            root_deadline_ms=_nonnegative_milliseconds(root.deadline - now),
            is_retry=root.is_retry or progress.attempts > 0,
            idempotent=route.idempotent,
            bodiless=call.bodiless,
            framing=call.framing,
            whole=call.rest is None,
            suspected=progress.suspected,
            isolated=progress.isolated,
            length=call.length,
            service=call.service,
            route=route.name,
            tenant=call.tenant,
            caller=self._caller,
            request_id=call.request_id,
            lines=call.lines,
            body=call.body,
            tree=root.ticket.pack(),
        )


def _nonnegative_milliseconds(seconds: float) -> int:
    """Convert a remaining time to the whole milliseconds of a record; 0 if it has passed."""
    return max(0, int(seconds * MILLISECONDS))
