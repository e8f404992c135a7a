"""Ties the calls that a worker makes to the request whose run makes them.

A call deep in a tree matters as much as the request at its root: refusing it throws
away all that was done for that request. The link is the request id: a worker that
builds the ids of its calls from the id of the run that makes them (``run.call``)
has them tied to it by its own sidecar, through which both pass. A call whose id
names no run that is under way there is taken for a root of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

ID_SEPARATOR = "."
"""Between the id of a run and what its worker adds for a call."""


@dataclass(frozen=True, slots=True)
class Root:
    """The request at the root of a call tree.

    :ivar priority: of its route, 0 first.
    :ivar began_at: monotonic second of this process at which it was taken.
    """

    priority: int
    began_at: float


@dataclass(slots=True)
class Run:
    """One run under way.

    :ivar starved: whether a call that it made found no room, here or further down.
    """

    root: Root
    starved: bool = False


class CallTree:
    """The runs under way at one worker, by request id.

    :ivar ties: whether a call was ever tied to a run: whether its worker's ids do so.
    """

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self.ties = False

    def begin(self, request: str, root: Root) -> Run:
        """Take that the worker runs a request."""
        run = self._runs[request] = Run(root)
        return run

    def end(self, request: str) -> None:
        """Take that a run has ended."""
        self._runs.pop(request, None)

    def root_of(self, request: str) -> Root | None:
        """Return the root of a call that a run under way makes, or None.

        >>> tree = CallTree()
        >>> run = tree.begin("7f", Root(0, 1.5))
        >>> tree.root_of("7f.1"), tree.root_of("8a.1"), tree.root_of("7f")
        (Root(priority=0, began_at=1.5), None, None)
        """
        run = self._run_of(request)
        if run is None:
            return None
        self.ties = True
        return run.root

    def call_starved(self, request: str) -> None:
        """Take that a call found no room; nothing if no run under way makes it."""
        run = self._run_of(request)
        if run is not None:
            run.starved = True

    def _run_of(self, request: str) -> Run | None:
        name, separator, _ = request.rpartition(ID_SEPARATOR)
        return self._runs.get(name) if separator else None
