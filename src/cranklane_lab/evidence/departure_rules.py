"""The rule on workers whose departure was acknowledged, by what was observed.

Later than ``DRAIN_SECONDS`` after the acknowledgement, no request may reach the worker. Requests
count if the machine where they began and the worker's machine are both in touch: neither was
disturbed in the ``CONTACT_SECONDS`` before the arrival.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from typing import NamedTuple

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0


class WorkerArrival(NamedTuple):
    """A request that reached a worker and names its instance, or none.

    :ivar origin: machine at which the request began.
    :ivar machine: machine of the worker.
    """

    at: float
    request: str
    origin: str
    machine: str


class DepartureRules:
    """Collects observations and checks them; starts of workers are named by texts."""

    def __init__(self) -> None:
        self._acknowledged_at: dict[str, float] = {}
        self._arrivals: dict[str, list[WorkerArrival]] = defaultdict(list)
        self._disturbances: dict[str, list[float]] = defaultdict(list)

    @property
    def departures(self) -> int:
        """Number of acknowledged departures."""
        return len(self._acknowledged_at)

    def acknowledged(self, worker: str, at: float) -> None:
        """Record that the departure of a start of a worker was acknowledged."""
        self._acknowledged_at.setdefault(worker, at)

    def arrived(self, worker: str, arrival: WorkerArrival) -> None:
        """Record a request that reached a worker and was meant for it."""
        self._arrivals[worker].append(arrival)

    def disturbed(self, machine: str, at: float) -> None:
        """Record the beginning or, by the next call, the end of a fault on a machine."""
        self._disturbances[machine].append(at)

    def violations(self) -> list[str]:
        """Return one line for each request that reached a worker too late."""
        return [
            f"{arrival.request} of {arrival.origin} reached {worker} "
            f"{arrival.at - acknowledged_at:.2f} s after its departure was acknowledged"
            for worker, acknowledged_at in self._acknowledged_at.items()
            for arrival in self._arrivals[worker]
            if arrival.at - acknowledged_at > DRAIN_SECONDS
            and self._in_touch(arrival.origin, arrival.at)
            and self._in_touch(arrival.machine, arrival.at)
        ]

    def _in_touch(self, machine: str, at: float) -> bool:
        moments = self._disturbances[machine]
        count = bisect_right(moments, at)
        is_disturbed = count % 2 == 1
        return not is_disturbed and (count == 0 or at - moments[count - 1] > CONTACT_SECONDS)
