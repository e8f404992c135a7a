"""Correlation of the local worker's calls with the runs that make them.

A call gets the priority and deadline of its root request, as refusing it would waste all work
already done for the root. Calls are correlated by request id: a worker appends
``ID_SEPARATOR`` and a suffix to the id of the run. A call whose id names no active run is
treated as a root request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane.outcome import Reason
from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.request.route_calls import CallCounts, RouteCalls
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.request.tree_ticket import NO_TICKET, TreeTicket, rank_in_class

ID_SEPARATOR = "."
"""Separates the id of a run from the suffix that the worker adds for a call."""


@dataclass(frozen=True, slots=True)
class Root:
    """The root request of a call tree. Times are monotonic seconds of this process.

    :ivar priority: priority of its route or tenant, or the one that its ticket is ranked with; 0
        is the highest.
    :ivar began_at: time at which it was received.
    :ivar objective_at: latest time at which a response meets the objective.
    :ivar deadline: time at which its caller gives up.
    :ivar is_retry: whether any run between the root and this request is a retry; calls made by
        a retry count as retries at the called services.
    :ivar ticket: rank of the call tree, carried by all its calls.
    """

    priority: int
    began_at: float
    objective_at: float
    deadline: float
    is_retry: bool = False
    ticket: TreeTicket = NO_TICKET

    @property
    def rank(self) -> int:
        """Rank of the call tree, lower ones first."""
        return rank_in_class(self.ticket, self.priority)


class CallFailure(NamedTuple):
    """The deepest known failed call of a call tree.

    :ivar service: the called service.
    :ivar reason: reason for the missing response; NONE if the worker answered with an error.
    """

    service: str
    reason: Reason


@dataclass(slots=True)
class Run:
    """An active run at the local worker.

    :ivar downstream_starved: whether a direct or indirect call was refused for lack of capacity.
    :ivar calls_in_flight: number of its calls in progress.
    :ivar failure: the first of its calls that failed.
    :ivar tenant: tenant that owns the request; empty if requests need no key.
    :ivar downstream_cost: slot time used by its direct and indirect calls.
    :ivar route_calls: calls that runs of its route make.
    :ivar completed: number of its calls that succeeded, by service.
    :ivar admission_levels: latest admission levels of the routes that it called, if any was stated.
    """

    root: Root
    downstream_starved: bool = False
    calls_in_flight: int = 0
    failure: CallFailure | None = None
    downstream_cost: SlotWork = field(default_factory=SlotWork)
    tenant: str = ""
    route_calls: RouteCalls = field(default_factory=RouteCalls)
    completed: dict[str, int] = field(default_factory=dict)
    admission_levels: dict[str, int] | None = None

    @property
    def admission_level(self) -> int:
        """Lowest admission level of the services that it called."""
        if self.admission_levels is None:
            return MAX_ADMISSION_LEVEL
        return min(self.admission_levels.values())

    def record_admission_level(self, route: str, level: int) -> None:
        """Record the admission level of a called route after the end of a call."""
        if self.admission_levels is not None:
            self.admission_levels[route] = level
        elif level < MAX_ADMISSION_LEVEL:
            self.admission_levels = {route: level}

    @property
    def call_failed(self) -> bool:
        """Whether any call of the run has failed."""
        return self.failure is not None

    def record_call_end(self, failure: CallFailure | None, starved: bool, work: SlotWork) -> None:
        """Record the end of a call of the run.

        :param failure: the failed call; None after a response.
        :param starved: whether it failed for lack of capacity at any depth.
        :param work: slot time used by the call and its own calls.
        """
        self.calls_in_flight -= 1
        self.failure = self.failure or failure
        self.downstream_starved |= starved
        self.downstream_cost.add_all(work)

    def record_completed_call(self, service: str) -> None:
        """Count a call of the run that succeeded."""
        self.completed[service] = self.completed.get(service, 0) + 1

    def record_end(self, succeeded: bool) -> None:
        """Learn from the run, which has ended, how many calls its route makes."""
        self.route_calls.learn(self.completed, succeeded, self.call_failed)


class CallTree:
    """Active runs of the local worker, by request id.

    :ivar correlates: whether any call has been correlated, so that the worker is known to
        derive the ids of its calls from those of its runs.
    """

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self._call_counts = CallCounts()
        self.correlates = False

    def begin(self, request_id: str, root: Root, tenant: str = "", route: str = "") -> Run:
        """Register the run of a request and return it."""
        run = Run(root, tenant=tenant, route_calls=self._call_counts.of(route))
        self._runs[request_id] = run
        return run

    def end(self, request_id: str) -> None:
        """Remove a finished run."""
        self._runs.pop(request_id, None)

    def run_of(self, request_id: str) -> Run | None:
        """Return the active run that makes a call, or None.

        >>> tree = CallTree()
        >>> run = tree.begin("7f", Root(0, 1.5, 2.5, 6.5))
        >>> tree.run_of("7f.1") is run, tree.run_of("8a.1"), tree.run_of("7f")
        (True, None, None)
        """
        run_id, separator, _ = request_id.rpartition(ID_SEPARATOR)
        run = self._runs.get(run_id) if separator else None
        self.correlates |= run is not None
        return run
