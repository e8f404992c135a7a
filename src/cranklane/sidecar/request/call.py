"""A caller's request and the progress of its attempts.

``Call`` is immutable. ``CallProgress`` holds all mutable state of a request and is written by
the dispatcher and the caller's connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane.common.http1.message import Framing
from cranklane.common.run_times import RunKey
from cranklane.outcome import Reason
from cranklane.routes.table import Route
from cranklane.sidecar.request.attempt import Attempt, BodyReader
from cranklane.sidecar.request.call_tree import Root, Run
from cranklane.sidecar.request.identity import Identity, identity_of
from cranklane.sidecar.request.slot_work import SlotWork


class Call(NamedTuple):
    """A caller's request. A named tuple, because creating a frozen dataclass is slower.

    :ivar request_id: id sent by the caller.
    :ivar service: service whose workers may run the request.
    :ivar started_at: monotonic time in seconds at which its head was read.
    :ivar deadline: monotonic time in seconds at which the caller gives up, from the caller's
        header or the route's timeout.
    :ivar bodiless: whether the response has no body, as for HEAD.
    :ivar framing: how the end of the request body is determined.
    :ivar length: declared size of the body in bytes.
    :ivar lines: request line and headers, without framing headers and those set by the gate.
    :ivar body: the bytes of the body read so far.
    :ivar root: root request of the call tree; a client's request is its own root.
    :ivar tenant: tenant that owns the request; empty if requests need no key.
    :ivar of_client: True for a request of a client, False for a call of the local worker.
    :ivar rest: reads the remainder of a body larger than the buffer; the body can then be sent
        to one worker only.
    :ivar run: the run at the local worker that makes the call; None for clients.
    """

    request_id: str
    route: Route
    service: str
    started_at: float
    deadline: float
    bodiless: bool
    framing: Framing
    length: int
    lines: bytes
    body: bytes
    root: Root
    tenant: str = ""
    of_client: bool = True
    rest: BodyReader | None = None
    run: Run | None = None

    @property
    def run_key(self) -> RunKey:
        """Key under which run times are learnt for the call."""
        return self.route.name, self.service

    def identity(self) -> Identity:
        """Return the digest that identifies repetitions of the same request."""
        return identity_of(self.service, self.tenant, self.lines, self.body, self.length)


@dataclass(slots=True)
class CallProgress:
    """Mutable state of a call.

    :ivar attempts: number of attempts that reached a worker.
    :ivar worker_refusals: number of these in which the worker refused without running.
    :ivar refusals: number of refusals for lack of capacity.
    :ivar tried: nodes excluded from further attempts.
    :ivar current: the latest attempt.
    :ivar cancelled: whether the caller has disconnected.
    :ivar suspected: whether a worker crashed while running the request, possibly because of it.
    :ivar isolated: whether the request must run in isolation, at the node responsible for it.
    :ivar handed_back: whether a worker's sidecar has handed the request back in a slow period.
    :ivar work: slot time used by its runs and their downstream calls.
    """

    call: Call
    attempts: int = 0
    refusals: int = 0
    tried: set[str] = field(default_factory=set)
    current: Attempt | None = None
    cancelled: bool = False
    suspected: bool = False
    isolated: bool = False
    handed_back: bool = False
    work: SlotWork = field(default_factory=SlotWork)
    worker_refusals: int = 0

    @property
    def runs(self) -> int:
        """Number of attempts that ran or may have run."""
        return self.attempts - self.worker_refusals

    def note_suspicion(self, node: str, reason: Reason) -> None:
        """Update ``suspected`` and ``isolated`` from the reason of a reply without a response.

        :param node: node that replied.
        """
        if reason is Reason.WORKER_ENDED:
            self.suspected = True
        elif reason is Reason.SUSPECTED:
            self.isolated = True
            # This node may itself be the one responsible for the isolated run.
            self.tried.discard(node)

    def note_handed_back(self, node: str) -> None:
        """Record that a node's worker is in a slow period; the node may still be the best."""
        self.handed_back = True
        self.tried.discard(node)

    def may_be_handed_back(self) -> bool:
        """Return whether the next attempt may be handed back; at most one is, the first one."""
        return not (self.handed_back or self.suspected or self.isolated or self.call.rest) and (
            len(self.tried) <= 1
        )

    def cancel(self) -> None:
        """Cancel the call and its current attempt after the caller has disconnected."""
        self.cancelled = True
        if self.current is not None:
            self.current.cancel()
