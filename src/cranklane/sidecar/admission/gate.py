"""Decides which requests the worker beside this sidecar runs, and when.

Every request for the worker comes through here, so what runs there is counted
exactly, and a refusal costs the worker nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from cranklane.common.request_names import HeaderNames
from cranklane.common.units import MICROSECONDS
from cranklane.errors import AnswerCutError
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.admission.isolated_runs import IsolatedRuns, SuspectAdmission
from cranklane.sidecar.admission.outcome_limiter import OutcomeLimiter
from cranklane.sidecar.admission.slots import Slots, Waiter
from cranklane.sidecar.quarantine.table import Quarantine, QuarantineState, crash_id
from cranklane.sidecar.request.attempt import Attempt, Load, Reply, refusal, unknown
from cranklane.sidecar.request.call_tree import CallTree, Root, Run
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.worker.condition import WorkerCondition
from cranklane.sidecar.worker.exchange import WorkerExchange
from cranklane.sidecar.worker.exit import (
    LEAVING,
    InterruptedRun,
    WorkerExit,
    WorkerExits,
    identity_of_request,
)
from cranklane.sidecar.worker.registry import WorkerRegistry, WorkerState
from cranklane.sidecar.worker.slowness import ratio_to

_SERVER_ERROR = 500
_GATEWAY_TIMEOUT = 504
_ENDED = (Reason.WORKER_ENDED, Reason.WORKER_LEFT)
_NOBODY_LISTENS = (Reason.WORKER_UNREACHABLE, *_ENDED)
_BROKEN_ANSWERS = (Reason.WORKER_FAILED, *_ENDED, Reason.ANSWER_CUT)


AdmissionListener = Callable[[str, Reason, int, int, int, float], None]
"""Told of a decision: request, reason, running, queued, slots, seconds waited."""


class HeldAnswer:
    """The further pieces of an answer, which keep their slot until they have ended.

    Not a generator: one that was never started would give nothing back when closed.

    :param on_end: called once, at the end, at a failure or by :meth:`close`.
    :param on_cut: called when the answer ends too early, before ``on_end``.
    :param on_whole: called when its last piece was read, before ``on_end``.
    """

    def __init__(
        self,
        pieces: Iterator[bytes],
        on_end: Callable[[], None],
        on_cut: Callable[[], object] = bool,
        on_whole: Callable[[], object] = bool,
    ) -> None:
        self._pieces = pieces
        self._on_cut = on_cut
        self._on_whole = on_whole
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> HeldAnswer:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next piece."""
        try:
            return next(self._pieces)
        except StopIteration:
            self._on_whole()
            self.close()
            raise
        except AnswerCutError:
            self._on_cut()
            self.close()
            raise
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Give the slot back, however much was read."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._pieces.close()  # type: ignore[attr-defined]
            on_end()


class Gate:
    """Admits requests to the worker.

    :param call_tree: told of the runs, to which the worker's own calls are tied.
    :param condition: told how the runs end and how long they take.
    :param quarantine: what is known of requests that end workers.
    :param on_admission: told of each decision.
    :param on_worker_exit: told once of each end of the worker's process.
    """

    def __init__(
        self,
        runtime: Runtime,
        worker: WorkerRegistry,
        slots: Slots,
        names: HeaderNames,
        call_tree: CallTree,
        condition: WorkerCondition,
        quarantine: Quarantine,
        on_admission: AdmissionListener,
        on_worker_exit: Callable[[WorkerExit], None],
    ) -> None:
        self._call_tree = call_tree
        self._on_admission = on_admission
        self._runtime = runtime
        self._worker = worker
        self._slots = slots
        self._limiter = OutcomeLimiter(runtime.monotonic)
        self._condition = condition
        self._on_worker_exit = on_worker_exit
        self._exits = WorkerExits(runtime, worker, self._worker_exited)
        self._quarantine = quarantine
        self._isolated_runs = IsolatedRuns(runtime.monotonic, quarantine)
        self._exchange = (
            WorkerExchange(runtime, worker.pool, names, worker.other_instance)
            if worker.pool is not None
            else None
        )

    @property
    def load(self) -> Load:
        """The worker's load now."""
        slots = self._slots
        return Load(slots.running, slots.queued, slots.limit, self._condition.now())

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits."""
        return self._slots.running > 0 or self._slots.queued > 0

    def run(self, attempt: Attempt, on_admitted: Any = None) -> Reply:
        """Run a request at the worker, or say at once that it is not run.

        :param on_admitted: called once a slot is taken, before anything is sent.
        """
        reply = self._run(attempt, on_admitted)
        reply.load = self.load
        return reply

    def _run(self, attempt: Attempt, on_admitted: Any) -> Reply:
        request = attempt.request
        arrived_at = self._runtime.monotonic()
        admission = self._isolated_runs.admit(request, self._ends_wait(attempt))
        reason = admission.reason
        if reason is Reason.NONE:
            reason = self._admit(attempt)
            if reason is not Reason.NONE and admission.isolated is not None:
                self._isolated_runs.release(admission.isolated, 0.0)
        started_at = self._runtime.monotonic()
        slots = self._slots
        self._on_admission(
            request.request_id,
            reason,
            slots.running,
            slots.queued,
            slots.limit,
            started_at - arrived_at,
        )
        if reason is not Reason.NONE:
            after = admission.retry_after_ms or retry_after.at_worker_ms(
                reason, self._expected_wait
            )
            return refusal(reason, retry_after_ms=after)
        return self._run_admitted(attempt, on_admitted, arrived_at, started_at, admission)

    def _admit(self, attempt: Attempt) -> Reason:
        """Take a slot of the worker; return why there is none, or NONE."""
        request = attempt.request
        reason = self._closed_to(request.service)
        if reason is not Reason.NONE:
            return reason
        if not self._limiter.admits(request.route, request.priority, request.caller):
            return Reason.REFUSED_EARLY
        return self._slots.acquire(
            request.root_priority,
            request.start_within_ms / 1000,
            self._ends_wait(attempt),
            request.root_age_ms / 1000,
        )

    def _run_admitted(
        self,
        attempt: Attempt,
        on_admitted: Any,
        arrived_at: float,
        started_at: float,
        admission: SuspectAdmission,
    ) -> Reply:
        """Run a request that has a slot."""
        request = attempt.request
        reply: Reply | None = None
        begun_in = self._limiter.began(request.route)
        run = self._call_tree.begin(
            request.request_id, _root_of(request, arrived_at), request.tenant
        )
        isolated = admission.isolated
        number = self._exits.next_number()
        instance = self._worker.instance
        release = partial(self._release, request.request_id, number, started_at, isolated)
        if isolated is not None:
            self._isolated_runs.begins(isolated)
        try:
            if on_admitted is not None:
                on_admitted()
            deadline = arrived_at + request.deadline_ms / 1000
            assert self._exchange is not None
            on_sent = partial(self._exits.began, number, request, admission.level)
            reply = self._exchange.run(attempt, instance, deadline, on_sent)
            if reply.reason is Reason.WORKER_FAILED and self._exits.connection_lost(instance):
                reply = self._reply_of_exit(request)
        finally:
            if reply is None or reply.rest is None:
                release()
        reply.waited_ms = int((started_at - arrived_at) * 1000)
        ran = self._runtime.monotonic() - started_at
        reply.run_time_ms = round(ran * 1000)
        if not attempt.cancelled:
            self._learn(request, run, reply, ran, begun_in)
        if reply.reason in _NOBODY_LISTENS:
            self._worker.unreachable()
        if reply.rest is not None:
            reply.rest = HeldAnswer(
                reply.rest,
                release,
                partial(self._exits.connection_lost, instance),
                partial(self._answered, request),
            )
        elif reply.outcome is Outcome.ANSWERED:
            self._answered(request)
        return reply

    def _learn(
        self, request: ForwardRequest, run: Run, reply: Reply, ran: float, begun_in: int
    ) -> None:
        """Take what a run tells of the worker, and of the room further down."""
        reply.downstream_starved = _is_starved(run, reply)
        reply.downstream_cost = run.downstream_cost
        if reply.outcome is not Outcome.ANSWERED or reply.status >= _SERVER_ERROR:
            reply.failure = run.failure
        tells = request.expected_latency_us > 0 and tells_its_time(reply)
        ratio = ratio_to(request.expected_latency_us / MICROSECONDS, ran) if tells else None
        self._condition.run_ended(_is_own_fault(run, reply), ratio)
        # Where calls cannot be tied to runs, any failed run is taken for starved.
        untold = reply.status == _SERVER_ERROR and not self._call_tree.ties
        self._limiter.ended(request.route, begun_in, reply.downstream_starved or untold)

    # What the end of the worker tells of the requests that ran.

    def _worker_exited(self, end: WorkerExit) -> None:
        self._on_worker_exit(end)
        if not end.planned:
            # Of copies of one request, the one that was suspected least counts: those that were
            # under way before have not ended the worker.
            runs = sorted(end.runs, key=_level_of, reverse=True)
            levels = {run.identity: run.level for run in runs}
            self._quarantine.worker_crashed(self._worker.service, crash_id(end.instance), levels)

    def _reply_of_exit(self, request: ForwardRequest) -> Reply:
        """Return the reply to a run whose worker has ended.

        It tells for how long the request is held, where it is: the sender would repeat it before
        the news of that comes.
        """
        if self._worker.state in LEAVING:
            return unknown(Reason.WORKER_LEFT)
        reply = unknown(Reason.WORKER_ENDED)
        identity = identity_of_request(request)
        if self._quarantine.state(identity) is QuarantineState.QUARANTINED:
            reply.retry_after_ms = retry_after.quarantined_ms(
                self._quarantine.seconds_left(identity)
            )
        return reply

    def _answered(self, request: ForwardRequest) -> None:
        """Take that the worker has run a request to its end: it is no cause of ends."""
        if not self._quarantine.is_empty:
            self._quarantine.answered(identity_of_request(request))

    def _closed_to(self, service: str) -> Reason:
        """Return why no request for a service is taken now."""
        worker = self._worker
        if self._exchange is None or worker.service != service:
            return Reason.NO_MEMBERS
        if worker.state is WorkerState.READY:
            return Reason.NONE
        if worker.state in (WorkerState.DRAINING, WorkerState.GONE):
            return Reason.DRAINING
        return Reason.WORKER_UNREACHABLE

    @staticmethod
    def _ends_wait(attempt: Attempt) -> Any:
        def on_wait(waiter: Waiter) -> None:
            attempt.when_cancelled(lambda: waiter.refuse(Reason.CANCELLED))

        return on_wait

    def _release(
        self, request: str, number: int, started_at: float, isolated: Identity | None
    ) -> None:
        held_seconds = self._runtime.monotonic() - started_at
        self._call_tree.end(request)
        self._exits.ended(number)
        self._slots.release(held_seconds)
        if isolated is not None:
            self._isolated_runs.release(isolated, held_seconds)

    def _expected_wait(self) -> float:
        """Return the seconds until a request of the highest priority would start."""
        return self._slots.expected_wait(self._slots.rank(0, 0.0))


def tells_its_time(reply: Reply) -> bool:
    """Return whether a run's time tells how slow its worker is."""
    answered = reply.outcome is Outcome.ANSWERED and reply.status < _SERVER_ERROR
    return answered or reply.reason is Reason.DEADLINE_PASSED


def _level_of(run: InterruptedRun) -> int:
    return run.level


def _root_of(request: ForwardRequest, arrived_at: float) -> Root:
    """Return the request at the root of a request's call tree, by this process's clock."""
    return Root(
        request.root_priority,
        arrived_at - request.root_age_ms / 1000,
        arrived_at + request.root_objective_ms / 1000,
        arrived_at + request.root_deadline_ms / 1000,
        request.is_retry,
    )


def _is_starved(run: Run, reply: Reply) -> bool:
    """Return whether a run failed for want of room further down, or of time."""
    return _timed_out(reply) or (reply.status == _SERVER_ERROR and run.downstream_starved)


def _is_own_fault(run: Run, reply: Reply) -> bool:
    """Return whether a run failed though the calls that it made did not.

    A worker that refuses one has no reason to: it is never sent more than it has slots for.
    """
    if reply.reason in _BROKEN_ANSWERS or reply.reason is Reason.WORKER_SHED:
        return True
    if _timed_out(reply):
        return run.calls_under_way == 0
    return reply.status == _SERVER_ERROR and not run.call_failed


def _timed_out(reply: Reply) -> bool:
    return reply.status == _GATEWAY_TIMEOUT or reply.reason is Reason.DEADLINE_PASSED
