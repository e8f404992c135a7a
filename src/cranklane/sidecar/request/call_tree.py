"""Correlates the calls that a worker makes with the run that makes them.

A call deep in a tree matters as much as its root request: refusing it wastes all that was done
for that. The link is the request id: a worker that builds the ids of its calls from the id of
the run that makes them (``run.call``) has them correlated by its own sidecar, through which
both pass. A call whose id names no run under way there is taken for a root request.

Owns the runs under way at this machine's worker.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane.outcome import Reason
from cranklane.sidecar.request.slot_work import SlotWork

ID_SEPARATOR = "."
"""Between the id of a run and what its worker adds for a call."""


@dataclass(frozen=True, slots=True)
class Root:
    """The root request of a call tree. Times are monotonic seconds of this process.

    :ivar priority: of its route, or of its tenant; 0 is the most important.
    :ivar began_at: when it was taken.
    :ivar objective_at: until when its answer is in time.
    :ivar deadline: when its caller gives up.
    :ivar is_retry: whether a run on the way from it to here is a retry: what such a run calls
        is a retry at the services called.
    """

    priority: int
    began_at: float
    objective_at: float
    deadline: float
    is_retry: bool = False


class CallFailure(NamedTuple):
    """A call that failed, as deep in the tree as it is known.

    :ivar service: the service that was called.
    :ivar reason: why it has no answer; NONE where the worker's own run failed.
    """

    service: str
    reason: Reason


@dataclass(slots=True)
class Run:
    """One run under way at the worker.

    :ivar downstream_starved: whether a call that it made found no capacity, there or further down.
    :ivar calls_under_way: calls that it made and that have not ended.
    :ivar failure: the first call that it made and that failed.
    :ivar tenant: whose request it is; empty where requests need no key.
    :ivar downstream_cost: slot time of its calls, and of theirs.
    """

    root: Root
    downstream_starved: bool = False
    calls_under_way: int = 0
    failure: CallFailure | None = None
    downstream_cost: SlotWork = field(default_factory=SlotWork)
    tenant: str = ""

    @property
    def call_failed(self) -> bool:
        """Whether a call that it made has failed."""
        return self.failure is not None

    def call_ended(self, failure: CallFailure | None, starved: bool, work: SlotWork) -> None:
        """Take how a call that it made ended.

        :param failure: what failed, None after an answer.
        :param starved: whether it failed for lack of capacity, there or further down.
        :param work: slot time of the call and of the calls below it.
        """
        self.calls_under_way -= 1
        self.failure = self.failure or failure
        self.downstream_starved |= starved
        self.downstream_cost.add_all(work)


class CallTree:
    """The runs under way at one worker, by request id.

    :ivar correlates: whether a call was ever correlated: whether the worker's ids allow it.
    """

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self.correlates = False

    def begin(self, request: str, root: Root, tenant: str = "") -> Run:
        """Take that the worker runs a request of a tenant."""
        run = self._runs[request] = Run(root, tenant=tenant)
        return run

    def end(self, request: str) -> None:
        """Take that a run has ended."""
        self._runs.pop(request, None)

    def run_of(self, request: str) -> Run | None:
        """Return the run under way that makes a call, or None.

        >>> tree = CallTree()
        >>> run = tree.begin("7f", Root(0, 1.5, 2.5, 6.5))
        >>> tree.run_of("7f.1") is run, tree.run_of("8a.1"), tree.run_of("7f")
        (True, None, None)
        """
        name, separator, _ = request.rpartition(ID_SEPARATOR)
        run = self._runs.get(name) if separator else None
        self.correlates |= run is not None
        return run
