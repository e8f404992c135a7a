"""Logs a summary line about once a second: how the worker's slots were used and refused.

Counts by the priority of the root request, because the queue for slots is ordered by it. A line
also has the number of retries among the requests, and the limits on concurrent runs that the
outcome limiter sets, by route.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Reason
from cranklane.sidecar.admission.gate_listener import AdmissionDecision

LINE_INTERVAL_SECONDS = 1.0
"""Interval covered by a line; as for the summaries of requests, to compare the two."""


class SlotSummary:
    """Aggregates admission decisions and released slots into summary lines.

    :param clock: returns monotonic seconds.
    :param log: receives one line for each interval in which something was decided or released.
    """

    def __init__(self, clock: Callable[[], float], log: Any) -> None:
        self._clock = clock
        self._log = log
        self._interval_began_at = clock()
        self._decisions: defaultdict[tuple[str, int, Reason], int] = defaultdict(int)
        self._milliseconds: defaultdict[tuple[str, int], float] = defaultdict(float)
        self._limits: dict[str, float] = {}
        self._retries = 0
        self._slots = 0
        self._most_running = 0
        self._most_queued = 0

    def decided(self, decision: AdmissionDecision) -> None:
        """Add an admission decision; write the line first if its interval has passed."""
        self._write_if_due()
        request = decision.request
        self._decisions[request.service, request.root_priority, decision.reason] += 1
        self._retries += request.is_retry
        self._slots = decision.slots
        self._most_running = max(self._most_running, decision.running)
        self._most_queued = max(self._most_queued, decision.queued)

    def released(self, service: str, priority: int, seconds: float) -> None:
        """Add a slot that a request has held for a time.

        :param priority: priority of the root request.
        """
        self._write_if_due()
        self._milliseconds[service, priority] += seconds * MILLISECONDS

    def limit_changed(self, route: str, limit: float) -> None:
        """Record the limit on a route's concurrent runs from now; ``math.inf`` for none."""
        if limit < math.inf:
            self._limits[route] = limit
        else:
            self._limits.pop(route, None)

    def write(self) -> None:
        """Write the line for the time since the last one, unless nothing happened."""
        now = self._clock()
        if self._decisions or self._milliseconds:
            self._log.info(
                "slots_used",
                seconds=round(now - self._interval_began_at, 3),
                slots=self._slots,
                most_running=self._most_running,
                most_queued=self._most_queued,
                decisions=[
                    [service, priority, reason.label, count]
                    for (service, priority, reason), count in self._decisions.items()
                ],
                retries=self._retries,
                slot_ms=[
                    [service, priority, round(milliseconds)]
                    for (service, priority), milliseconds in self._milliseconds.items()
                ],
                limits={route: round(limit, 1) for route, limit in self._limits.items()},
            )
        self._decisions.clear()
        self._milliseconds.clear()
        self._most_running = self._most_queued = self._retries = 0
        self._interval_began_at = now

    def _write_if_due(self) -> None:
        if self._clock() - self._interval_began_at >= LINE_INTERVAL_SECONDS:
            self.write()
