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


class CallTree:
    """The runs under way at one worker, by request id, and their roots."""

    def __init__(self) -> None:
        self._runs: dict[str, Root] = {}

    def begin(self, request: str, root: Root) -> None:
        """Take that the worker runs a request."""
        self._runs[request] = root

    def end(self, request: str) -> None:
        """Take that a run has ended."""
        self._runs.pop(request, None)

    def root_of(self, request: str) -> Root | None:
        """Return the root of a call that a run under way makes, or None.

        >>> tree = CallTree()
        >>> tree.begin("7f", Root(0, 1.5))
        >>> tree.root_of("7f.1"), tree.root_of("8a.1"), tree.root_of("7f")
        (Root(priority=0, began_at=1.5), None, None)
        """
        run, separator, _ = request.rpartition(ID_SEPARATOR)
        return self._runs.get(run) if separator else None
