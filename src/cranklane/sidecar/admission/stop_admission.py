"""Refuses runs that are expected to outlast this process, once its planned stop has begun."""

from __future__ import annotations

import math
from collections.abc import Callable

from cranklane.common.planned_stop import PlannedStop
from cranklane.common.run_times import RunKey, RunTimes
from cranklane.common.units import MILLISECONDS
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.routing.waiting import longest_by_objective


class StopAdmission:
    """Decides whether a run at the local worker may begin.

    :param run_time_factor: returns the worker's present run time as a multiple of the usual one.
    :ivar run_times: how long the worker's runs take, by route.
    """

    def __init__(self, stop: PlannedStop, run_time_factor: Callable[[], float]) -> None:
        self._stop = stop
        self._run_time_factor = run_time_factor
        self.run_times = RunTimes()

    def record(self, request: ForwardRequest, seconds: float) -> None:
        """Record the time of a run until its response was complete."""
        self.run_times.record(_run_key(request), seconds)

    def admits(self, request: ForwardRequest, arrived_at: float) -> bool:
        """Return whether a run that begins now is expected to end before this process.

        :param arrived_at: monotonic second at which the request arrived.
        """
        if not self._stop.begun:
            return True
        deadline = arrived_at + request.deadline_ms / MILLISECONDS
        # Once the objective has passed, only the deadline bounds the run.
        estimate = longest_by_objective(request.root_objective_ms) or math.inf
        learnt = self.run_times.longest(_run_key(request))
        longest = self._stop.longest_or_estimate(learnt, estimate)
        return self._stop.can_finish(deadline, longest * self._run_time_factor())

    def retry_after_ms(self) -> int:
        """Return the delay after which the next process is there, in milliseconds."""
        return self._stop.milliseconds_until_restart()


def _run_key(request: ForwardRequest) -> RunKey:
    return request.route, request.service
