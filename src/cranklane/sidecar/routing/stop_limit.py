"""Limits attempts to those that are expected to end before this process, during a planned stop."""

from __future__ import annotations

import math

from cranklane.common.planned_stop import PlannedStop
from cranklane.common.run_times import RunTimes
from cranklane.outcome import Reason
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.request.attempt import Reply, refusal
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.routing.waiting import longest_by_objective


class StopLimit:
    """Decides whether an attempt of a call may begin, and how long it may wait for its run.

    :ivar run_times: how long calls take, from the choice of a worker to the end of the response.
    """

    def __init__(self, stop: PlannedStop) -> None:
        self._stop = stop
        self.run_times = RunTimes()

    def allows(self, call: Call) -> bool:
        """Return whether an attempt that begins now is expected to end before this process."""
        return not self._stop.begun or self._stop.can_finish(call.deadline, self._longest(call))

    def start_within(self, call: Call) -> float:
        """Return the seconds within which the run of a call must start; ``math.inf`` for any."""
        if not self._stop.begun:
            return math.inf
        return self._stop.start_within(call.deadline, self._longest(call))

    def _longest(self, call: Call) -> float:
        return self._stop.longest_or_estimate(
            self.run_times.longest(call.run_key), longest_by_objective(call.route.objective_ms)
        )

    def refuse(self, call: Call) -> Reply:
        """Return the refusal of a call that would outlast this process.

        Clients may turn to another machine at once; a call of the local worker may not.
        """
        delay_ms = retry_after.DEFAULT_MS
        if not call.of_client:
            delay_ms = self._stop.milliseconds_until_restart()
        return refusal(Reason.STOPPING, retry_after_ms=delay_ms)
