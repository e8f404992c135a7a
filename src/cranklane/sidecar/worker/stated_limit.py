"""The limit on requests per second that the local worker states in its answers.

Answers overlap: one that began before the worker stated a limit may end after it, without the
limit. So a limit ends only with an answer to a request that started after the limit was stated.

A process that has just started knows of no limit before the worker's first answer. Until then it
takes the limit that callers have heard before.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cranklane.sidecar.worker.answer_notice import AnswerNotice
from cranklane.sidecar.worker.instances import NO_INSTANCE, WorkerInstance


class LimitChange(NamedTuple):
    """A change of the limit that a worker states.

    :ivar rate: requests per second from now on; None if there is no limit any more.
    :ivar former: the limit before; None without one.
    :ivar held_seconds: time since ``former`` was stated first.
    """

    instance: WorkerInstance
    rate: float | None
    former: float | None
    held_seconds: float


class StatedLimit:
    """The limit of one worker, by its newest answers.

    :param clock: returns monotonic seconds.
    :param on_change: called after each change.
    :ivar rate: requests per second; None without a limit.
    """

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[LimitChange], None]
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._instance = NO_INSTANCE
        self._has_answered = False
        self._stated_at = 0.0
        self._changed_at = 0.0
        self.rate: float | None = None

    def follow(self, instance: WorkerInstance) -> None:
        """Forget the limit if another instance than this one has stated it."""
        if instance is self._instance:
            return
        if not instance.may_be(self._instance):
            self._set(None)
            self._has_answered = False
        self._instance = instance

    def answered(self, instance: WorkerInstance, started_at: float, notice: AnswerNotice) -> None:
        """Apply what an answer states.

        :param instance: the instance that answered; ignored if it is not the current one.
        :param started_at: monotonic second at which the run of the answered request started.
        """
        if not instance.may_be(self._instance):
            return
        self._has_answered = True
        if notice.rate_limit is not None:
            self._stated_at = self._clock()
            self._set(notice.rate_limit)
        elif not notice.problem and started_at >= self._stated_at:
            self._set(None)

    def heard_by_caller(self, instance: WorkerInstance, rate: float) -> None:
        """Apply a limit that a caller heard from an instance, unless its answers are known here."""
        if self._has_answered or not instance.may_be(self._instance):
            return
        self._stated_at = self._clock()
        self._set(rate)

    def _set(self, rate: float | None) -> None:
        if rate == self.rate:
            return
        now = self._clock()
        change = LimitChange(self._instance, rate, self.rate, now - self._changed_at)
        self.rate, self._changed_at = rate, now
        self._on_change(change)
