"""Admits requests to the local worker and runs the admitted ones.

All requests to the worker pass through the gate, so the count of running requests is exact and a
refusal uses no worker capacity. The gate orders the admission checks (``isolated_runs``,
``outcome_limiter``, ``slots``) and releases the resources of each run. ``run_outcome`` and
``crash_evidence`` classify how a run ended; ``retry_after`` computes the delay that a refusal
asks of its caller; ``worker_notices`` applies what the worker states in its answers. During a
planned stop no run begins that is expected to outlast this process.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from cranklane.common.header_names import HeaderNames
from cranklane.common.planned_stop import PlannedStop
from cranklane.common.units import MICROSECONDS, MILLISECONDS
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission import retry_after, run_outcome
from cranklane.sidecar.admission.admitted_run import AdmittedRun, finished_run, root_of
from cranklane.sidecar.admission.crash_evidence import CrashEvidence
from cranklane.sidecar.admission.gate_listener import AdmissionDecision, GateListener
from cranklane.sidecar.admission.isolated_runs import IsolatedRuns, SuspectAdmission
from cranklane.sidecar.admission.outcome_limiter import OutcomeLimiter
from cranklane.sidecar.admission.slot_admission import SlotAdmission
from cranklane.sidecar.admission.slots import Slots, Waiter
from cranklane.sidecar.admission.stop_admission import StopAdmission
from cranklane.sidecar.admission.worker_notices import WorkerNotices
from cranklane.sidecar.capacity.worker_capacity import WorkerCapacity
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.request.attempt import Attempt, Load, Reply, refusal
from cranklane.sidecar.request.call_tree import CallTree
from cranklane.sidecar.request.streamed_answer import StreamedAnswer
from cranklane.sidecar.worker.condition import WorkerCondition
from cranklane.sidecar.worker.exchange import RunListener, WorkerExchange
from cranklane.sidecar.worker.exit import WorkerExits
from cranklane.sidecar.worker.registry import WorkerRegistry
from cranklane.sidecar.worker.slowness import latency_ratio
from cranklane.sidecar.worker.worker_state import PLANNED_EXIT_STATES, WorkerState


class LocalWorker(NamedTuple):
    """State of the local worker that the gate uses.

    :ivar registry: the worker's address and lifecycle state.
    :ivar slots: its concurrency limit and queue.
    :ivar condition: its health, derived from the results and latencies of its runs.
    :ivar capacity: what is known of its capacity beside its slots.
    """

    registry: WorkerRegistry
    slots: Slots
    condition: WorkerCondition
    capacity: WorkerCapacity


def unavailable_reason(serves: bool, state: WorkerState) -> Reason:
    """Return the reason why a worker cannot accept a request, or NONE.

    :param serves: whether the worker belongs to the request's service.
    """
    if not serves:
        return Reason.NO_MEMBERS
    if state is WorkerState.READY:
        return Reason.NONE
    return Reason.DRAINING if state in PLANNED_EXIT_STATES else Reason.WORKER_UNREACHABLE


class Gate:
    """Admits requests to the worker and runs them.

    :param call_tree: correlates the worker's downstream calls with its runs.
    :param quarantine: requests suspected of crashing workers.
    :param stop: the planned stop of this process.
    :ivar notices: what the worker states in its answers.
    :ivar stop_admission: refuses runs that would outlast this process.
    """

    def __init__(
        self,
        runtime: Runtime,
        worker: LocalWorker,
        names: HeaderNames,
        call_tree: CallTree,
        quarantine: Quarantine,
        listener: GateListener,
        stop: PlannedStop,
    ) -> None:
        self._clock = runtime.monotonic
        self._worker = registry = worker.registry
        self._slots = worker.slots
        self._slow_start = registry.slow_start
        self._condition = worker.condition
        self._capacity = worker.capacity
        self._call_tree = call_tree
        self._on_admission = listener.admission
        self._on_release = listener.slot_released
        self._limiter = OutcomeLimiter(runtime.monotonic, listener.limit_changed)
        self.stop_admission = StopAdmission(stop, worker.capacity.pace.factor)
        self._slot_admission = SlotAdmission(
            runtime.monotonic, worker.slots, worker.capacity, listener.admission_level_changed
        )
        self.notices = WorkerNotices(
            runtime, registry, worker.slots, worker.capacity.pace, listener
        )
        self._evidence = CrashEvidence(registry, quarantine, listener.worker_exited)
        self._exits = WorkerExits(runtime, registry, self._evidence.worker_exited)
        self._isolated_runs = IsolatedRuns(runtime.monotonic, quarantine)
        self._exchange = (
            WorkerExchange(runtime, registry.pool, names, registry.note_unexpected_instance)
            if registry.pool is not None
            else None
        )

    @property
    def load(self) -> Load:
        """Current load of the worker."""
        slots = self._slots
        return Load(slots.running, slots.queued, slots.limit, self._condition.now())

    @property
    def busy(self) -> bool:
        """Whether any request is running or queued."""
        return self._slots.running > 0 or self._slots.queued > 0

    def run(self, attempt: Attempt, on_admitted: Callable[[], None] | None = None) -> Reply:
        """Run a request at the worker, or return a refusal.

        :param on_admitted: called after a slot is acquired and before the request is sent.
        """
        reply = self._admit_and_run(attempt, on_admitted)
        reply.load = self.load
        level = min(reply.advertised.admission_level, self._slot_admission.level.stated)
        reply.advertised = self._capacity.advertisement(level)
        reply.notice = self.notices.for_caller()
        if reply.reason is Reason.WORKER_LIMIT and reply.notice is not None:
            reply.retry_after_ms = max(retry_after.MIN_QUEUE_MS, reply.notice.pause_ms)
        return reply

    def _admit_and_run(self, attempt: Attempt, on_admitted: Callable[[], None] | None) -> Reply:
        request = attempt.request
        arrived_at = self._clock()
        on_wait = _wait_canceller(attempt)
        suspicion = self._isolated_runs.admit(request, on_wait)
        reason = suspicion.reason
        if reason is Reason.NONE:
            reason = self._take_slot(request, arrived_at, on_wait)
            if reason is not Reason.NONE and suspicion.isolated is not None:
                self._isolated_runs.release(suspicion.isolated, 0.0)
        started_at = self._clock()
        slots = self._slots
        waited_seconds = started_at - arrived_at
        self._on_admission(
            AdmissionDecision(
                request, reason, slots.running, slots.queued, slots.limit, waited_seconds
            )
        )
        if reason is not Reason.NONE:
            retry_after_ms = suspicion.retry_after_ms or self._retry_after_ms(reason)
            return refusal(reason, retry_after_ms=retry_after_ms)
        admitted = self._register_run(request, arrived_at, started_at, suspicion)
        return self._run(attempt, admitted, on_admitted)

    # Admission checks and resource accounting.

    def _retry_after_ms(self, reason: Reason) -> int:
        """Return the delay before a refused request may be sent here again, in milliseconds."""
        if reason is Reason.STOPPING:
            return self.stop_admission.retry_after_ms()
        return retry_after.at_worker_ms(reason, self._expected_wait)

    def _take_slot(
        self, request: ForwardRequest, arrived_at: float, on_wait: Callable[[Waiter], None]
    ) -> Reason:
        """Acquire a worker slot; return the reason for a refusal, or NONE."""
        serves = self._exchange is not None and self._worker.service == request.service
        reason = unavailable_reason(serves, self._worker.state)
        if reason is not Reason.NONE:
            return reason
        if not self.stop_admission.admits(request, arrived_at):
            return Reason.STOPPING
        self.notices.request_arrived(request)
        if self._slot_admission.is_handed_back(request):
            return Reason.SLOW_PERIOD
        if not self._limiter.admits(request.route, request.priority, request.caller):
            return Reason.REFUSED_EARLY
        reason = self._slot_admission.acquire(request, on_wait)
        if reason is Reason.NONE and not self.stop_admission.admits(request, arrived_at):
            # Its time has passed in the queue.
            self._slots.release(self._slots.slot_seconds)
            reason = Reason.STOPPING
        if reason is not Reason.NONE:
            self._limiter.released(request.route)
        return reason

    def _expected_wait(self) -> float:
        """Return the expected queue wait of a highest-priority request, in seconds."""
        return self._slots.expected_wait(self._slots.rank(0, 0.0))

    def _register_run(
        self,
        request: ForwardRequest,
        arrived_at: float,
        started_at: float,
        suspicion: SuspectAdmission,
    ) -> AdmittedRun:
        """Register an admitted request with the limiter, call tree and exit tracking."""
        limiter_round = self._limiter.began(request.route)
        root = root_of(request, arrived_at)
        run = self._call_tree.begin(request.request_id, root, request.tenant, request.route)
        number = self._exits.next_number()
        if suspicion.isolated is not None:
            self._isolated_runs.run_started(suspicion.isolated)
        return AdmittedRun(
            request,
            arrived_at,
            started_at,
            run,
            number,
            self._worker.instance,
            limiter_round,
            suspicion,
            self._capacity.pace.lost_seconds(),
        )

    def _release(self, admitted: AdmittedRun) -> None:
        """Release all resources of an admitted request."""
        seconds = self._clock() - admitted.started_at
        self._call_tree.end(admitted.request.request_id)
        self._exits.ended(admitted.number)
        self._limiter.released(admitted.request.route)
        self._slots.release(self._capacity.pace.usual_seconds(seconds, admitted.lost_before))
        self._on_release(admitted.request, seconds)
        if admitted.suspicion.isolated is not None:
            self._isolated_runs.release(admitted.suspicion.isolated, seconds)

    # Execution of admitted requests.

    def _run(
        self, attempt: Attempt, admitted: AdmittedRun, on_admitted: Callable[[], None] | None
    ) -> Reply:
        """Run an admitted request; release it unless its response is still streaming."""
        reply: Reply | None = None
        try:
            if on_admitted is not None:
                on_admitted()
            reply = self._exchange_with_worker(attempt, admitted)
        finally:
            if reply is None or reply.rest is None:
                self._release(admitted)
        reply.waited_ms = int((admitted.started_at - admitted.arrived_at) * MILLISECONDS)
        run_seconds = self._clock() - admitted.started_at
        reply.run_time_ms = round(run_seconds * MILLISECONDS)
        if not attempt.cancelled:
            self._record_outcome(admitted, reply, run_seconds)
        if reply.reason in run_outcome.NOT_LISTENING:
            self._worker.unreachable()
        if reply.rest is not None:
            reply.rest = StreamedAnswer(
                reply.rest,
                partial(self._release, admitted),
                partial(self._exits.connection_lost, admitted.instance),
                partial(self._stream_completed, admitted),
            )
        elif reply.outcome is Outcome.ANSWERED:
            self._evidence.answered(admitted.request)
        return reply

    def _stream_completed(self, admitted: AdmittedRun) -> None:
        """Record that a streamed response is complete."""
        seconds = self._clock() - admitted.started_at
        self.stop_admission.record(admitted.request, seconds)
        self._evidence.answered(admitted.request)

    def _exchange_with_worker(self, attempt: Attempt, admitted: AdmittedRun) -> Reply:
        """Send a request to the worker; return its response or the reply for a worker exit."""
        request = admitted.request
        deadline = admitted.arrived_at + request.deadline_ms / MILLISECONDS
        suspicion_level = admitted.suspicion.suspicion_level
        listener = RunListener(
            may_send=self._worker.may_send,
            sent=partial(self._exits.began, admitted.number, request, suspicion_level),
            noticed=partial(self.notices.answered, admitted.instance, admitted.started_at),
            worker_exited=partial(self._exits.connection_lost, admitted.instance),
        )
        assert self._exchange is not None
        reply = self._exchange.run(attempt, admitted.instance.id, deadline, listener)
        if reply.reason is Reason.WORKER_FAILED and self._exits.connection_lost(admitted.instance):
            return self._evidence.reply_after_exit(request)
        return reply

    def _record_outcome(self, admitted: AdmittedRun, reply: Reply, run_seconds: float) -> None:
        """Record a run's result for the worker's condition, the limiter and the caller."""
        request, run = admitted.request, admitted.run
        usual_seconds = self._capacity.pace.usual_seconds(run_seconds, admitted.lost_before)
        reply.downstream_starved = run_outcome.is_downstream_starved(run, reply)
        reply.downstream_cost = run.downstream_cost
        level = run.admission_level
        if level < reply.advertised.admission_level:
            reply.advertised = reply.advertised._replace(admission_level=level)
        failed = run_outcome.has_failed(reply)
        run.record_end(not failed)
        if failed:
            reply.failure = run.failure
        if reply.rest is None and run_outcome.measures_latency(reply):
            self.stop_admission.record(request, run_seconds)
        slowness = None
        if request.expected_latency_us > 0 and run_outcome.measures_latency(reply):
            slowness = latency_ratio(request.expected_latency_us / MICROSECONDS, usual_seconds)
            if self._slow_start.is_active:
                finished = finished_run(admitted, slowness, run_seconds, self._slots)
                slowness = self._slow_start.run_ended(finished)
        sheds_by_limit = reply.reason is Reason.WORKER_SHED and self.notices.limit.rate is not None
        is_fault = run_outcome.is_worker_fault(run, reply) and not sheds_by_limit
        self._condition.run_ended(is_fault, slowness)
        starved = reply.downstream_starved or run_outcome.may_be_starved(
            reply, self._call_tree.correlates
        )
        # The level already refuses trees ranked above it: their failures shed no further load.
        starved &= run.root.rank <= level
        self._limiter.ended(request.route, admitted.limiter_round, starved, run_seconds)


def _wait_canceller(attempt: Attempt) -> Callable[[Waiter], None]:
    """Return a callback that ends a slot wait when its attempt is cancelled."""

    def on_wait(waiter: Waiter) -> None:
        attempt.when_cancelled(lambda: waiter.refuse(Reason.CANCELLED))

    return on_wait
