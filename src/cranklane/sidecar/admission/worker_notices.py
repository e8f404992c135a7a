"""Applies what the local worker states in its answers, and repeats it to callers.

A stated limit paces the starts of requests, a stated departure begins the worker's planned exit.
Every reply to a caller repeats both for as long as they hold, with the caller's next turn.
"""

from __future__ import annotations

from cranklane.records.messages import ForwardRequest, WorkerNotice
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission.caller_turns import CallerTurns
from cranklane.sidecar.admission.gate_listener import GateListener
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.capacity.pace import WorkerPace
from cranklane.sidecar.worker.answer_notice import AnswerNotice
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.registry import WorkerRegistry
from cranklane.sidecar.worker.stated_limit import LimitChange, StatedLimit
from cranklane.sidecar.worker.worker_state import PLANNED_EXIT_STATES


class WorkerNotices:
    """What the local worker states, by its newest answers.

    :param slots: its starts are limited to the stated rate.
    :param pace: gets the stated relative run time.
    :ivar limit: limit on requests per second that the worker states.
    """

    def __init__(
        self,
        runtime: Runtime,
        worker: WorkerRegistry,
        slots: Slots,
        pace: WorkerPace,
        listener: GateListener,
    ) -> None:
        self._clock = runtime.monotonic
        self._worker = worker
        self._slots = slots
        self._pace = pace
        self._listener = listener
        self._turns = CallerTurns(runtime.monotonic)
        self.limit = StatedLimit(runtime.monotonic, self._limit_changed)

    def request_arrived(self, request: ForwardRequest) -> None:
        """Apply what the sender of a request has heard of the worker."""
        self.limit.follow(self._worker.instance)
        self._pace.follow(self._worker.instance)
        for notice in request.notice:
            if notice.limited:
                instance = WorkerInstance.from_label(notice.instance)
                self.limit.heard_by_caller(instance, notice.rate_limit)

    def answered(self, instance: WorkerInstance, started_at: float, notice: AnswerNotice) -> None:
        """Apply what the headers of an answer state.

        :param instance: the instance that answered.
        :param started_at: monotonic second at which the run of the answered request started.
        """
        self.limit.answered(instance, started_at, notice)
        self._pace.answered(instance, notice.run_time_percent)
        if notice.problem:
            self._listener.worker_limit_unreadable(instance, notice.problem)
        if notice.leaving:
            self._listener.worker_leaving(instance)
            self._worker.leaving(instance)

    def probed(self, notice: AnswerNotice) -> None:
        """Apply what the answer to the health check that found the worker states."""
        instance = self._worker.instance
        self.limit.follow(instance)
        self._pace.follow(instance)
        self.answered(instance, self._clock(), notice)

    def for_caller(self) -> WorkerNotice | None:
        """Return the notice for a caller that gets a reply now; None if there is nothing to say."""
        rate = self.limit.rate
        leaving = self._worker.state in PLANNED_EXIT_STATES
        if rate is None and not leaving:
            return None
        notice = WorkerNotice(leaving=leaving, instance=self._worker.instance.label)
        if rate is not None:
            notice.limited, notice.rate_limit = True, rate
            notice.pause_ms = self._turns.next_pause_ms(rate)
        return notice

    def _limit_changed(self, change: LimitChange) -> None:
        self._slots.limit_starts(change.rate)
        self._listener.worker_limit_changed(change)
