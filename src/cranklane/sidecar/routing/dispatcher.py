"""Has a request run: asks one worker after the other until the retry policy ends it.

Owns the order of the steps for one request. Relies on ``worker_choice`` for the choice of a
worker, ``waiting`` for how long it may wait, ``retry_policy`` and ``retry_budget`` for whether
another one is asked, and ``feedback`` for what a reply says of its destination.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

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
from cranklane.sidecar.routing.worker_choice import WorkerChoice

_ANSWERED = Verdict.ANSWERED
"""The usual verdict, looked up once: in Python 3.11 an enum's attribute takes 0.2 us."""


class DispatcherParts(NamedTuple):
    """What a dispatcher works with.

    :ivar gate: admits requests to the worker of this machine.
    :ivar peers: sends requests to other sidecars.
    :ivar quarantine: what is known of requests that crash workers.
    :ivar on_attempt: called after each attempt, with the seconds it took.
    :ivar on_quarantined: called for each quarantined request, with the seconds left.
    """

    destinations: Destinations
    choice: WorkerChoice
    gate: Gate
    peers: PeerClient
    budget: RetryBudget
    quarantine: Quarantine
    on_attempt: Callable[[CallProgress, Destination, Reply, float], None]
    on_quarantined: Callable[[Call, Identity, float], None]


class Dispatcher:
    """Runs requests at the workers of their services.

    :param own: name of this machine's node.
    :param caller: service of this machine.
    """

    def __init__(self, runtime: Runtime, parts: DispatcherParts, own: str, caller: str) -> None:
        self._runtime = runtime
        self._destinations = parts.destinations
        self._choice = parts.choice
        self._gate = parts.gate
        self._peers = parts.peers
        self._feedback = DestinationFeedback(runtime, parts.destinations, parts.peers)
        self._latencies = self._feedback.latencies
        self._budget = parts.budget
        self._own = own
        self._caller = caller
        self._quarantine = parts.quarantine
        self._on_attempt = parts.on_attempt
        self._on_quarantined = parts.on_quarantined

    def run(self, progress: CallProgress) -> Reply:
        """Return the answer of a worker, or why there is none.

        The newest reply is the result, with two exceptions: an answer, even one of an error,
        is kept until a worker gives another answer; and a refusal after an attempt that may
        have run is UNKNOWN.
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
            destination = self._choose(progress)
            if destination is None:
                if progress.tried:
                    # Nobody is left to ask.
                    break
                if self._choice.all_saturated(call.service, call.root.priority):
                    result = refusal(Reason.QUEUE_FULL, retry_after_ms=retry_after.DEFAULT_MS)
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
        return self._choice.choose(call.service, progress.tried, call.root.priority)

    def _wait_for_first_member(self, progress: CallProgress) -> bool:
        """Wait for an update of the members; return whether to choose again."""
        left = waiting.first_member_wait(progress.call, self._runtime.monotonic())
        return left > 0 and not progress.cancelled and self._destinations.wait_for_update(left)

    # Retries.

    def _should_retry(self, progress: CallProgress, reply: Reply) -> bool:
        """Return whether another worker is asked after this reply."""
        now = self._runtime.monotonic()
        verdict = retry_policy.decide(progress, reply, now, self._is_quarantined)
        if verdict is _ANSWERED:
            return False
        refused = not reply.arrived and reply.reason in AT_CAPACITY
        if refused and verdict not in retry_policy.CALL_IS_OVER:
            progress.refusals += 1
        if verdict is Verdict.QUARANTINED_MEANWHILE:
            self._refuse_quarantined(progress.call)
        if verdict is Verdict.RETRY_FROM_BUDGET:
            return self._budget.take(progress.call.service)
        return verdict is Verdict.RETRY

    def _is_quarantined(self, call: Call) -> bool:
        if self._quarantine.is_empty:
            return False
        return self._quarantine.state(call.identity()) is QuarantineState.QUARANTINED

    def _refuse_quarantined(self, call: Call) -> Reply:
        """Report that a request is quarantined, and return its refusal."""
        identity = call.identity()
        left = self._quarantine.seconds_left(identity)
        self._on_quarantined(call, identity, left)
        return refusal(Reason.QUARANTINED, retry_after_ms=retry_after.quarantined_ms(left))

    # One attempt.

    def _attempt(self, progress: CallProgress, destination: Destination) -> Reply:
        call = progress.call
        progress.tried.add(destination.node)
        now = self._runtime.monotonic()
        attempt = Attempt(self._request(progress, now), call.rest)
        progress.current = attempt
        if progress.cancelled:
            return refusal(Reason.CANCELLED)
        destination.opened()
        try:
            if destination.node == self._own:
                reply = self._gate.run(attempt)
            else:
                reply = self._peers.run(destination.address, attempt)
        finally:
            destination.closed()
        progress.attempts += reply.arrived
        if reply.arrived:
            progress.work.add(call.service, reply.run_time_ms)
        if reply.downstream_cost is not None:
            progress.work.add_all(reply.downstream_cost)
        seconds = self._runtime.monotonic() - now
        if reply.outcome is not Outcome.ANSWERED:
            self._learn_of_suspicion(progress, destination, reply)
        self._feedback.take(call, destination, reply, seconds)
        self._on_attempt(progress, destination, reply, seconds)
        return reply

    def _learn_of_suspicion(
        self, progress: CallProgress, destination: Destination, reply: Reply
    ) -> None:
        call = progress.call
        of_quarantine = reply.reason in (Reason.QUARANTINED, Reason.WORKER_ENDED)
        if of_quarantine and reply.retry_after_ms:
            # The sender's own copy of the table may be behind.
            seconds = reply.retry_after_ms / MILLISECONDS
            self._quarantine.record_refusal(call.service, call.identity(), seconds)
        progress.note_suspicion(destination.node, reply.reason)

    def _request(self, progress: CallProgress, now: float) -> ForwardRequest:
        call = progress.call
        route = call.route
        root = call.root
        left = max(0.0, call.deadline - now)
        expected_latency = self._latencies.of(route.name)
        start_within = min(left, waiting.max_start_wait(call, expected_latency, now))
        return ForwardRequest(
            deadline_ms=int(left * MILLISECONDS),
            start_within_ms=_milliseconds(start_within),
            expected_latency_us=int(expected_latency * MICROSECONDS),
            priority=route.priority,
            root_priority=root.priority,
            root_age_ms=_milliseconds(now - root.began_at),
            root_objective_ms=_milliseconds(root.objective_at - now),
            root_deadline_ms=_milliseconds(root.deadline - now),
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
        )


def _milliseconds(seconds: float) -> int:
    """Return the time left as records carry it, in milliseconds: 0 when it is over."""
    return max(0, int(seconds * MILLISECONDS))
