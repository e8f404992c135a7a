"""One request of a caller: what it asks for, and how far its attempts are.

``Call`` never changes after the ingress has made it. ``CallProgress`` is the only place that
holds what its attempts have led to; the dispatcher and the caller's connection write to it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane.common.http1.message import Framing
from cranklane.outcome import Reason
from cranklane.routes.table import Route
from cranklane.sidecar.request.attempt import Attempt, BodyReader
from cranklane.sidecar.request.call_tree import Root
from cranklane.sidecar.request.identity import Identity, identity_of
from cranklane.sidecar.request.slot_work import SlotWork


class Call(NamedTuple):
    """What a caller asks for. A named tuple, since creating a frozen dataclass takes longer.

    :ivar request_id: id of the request, as the caller sent it.
    :ivar service: whose workers may run it.
    :ivar started_at: monotonic second at which its first byte was read.
    :ivar deadline: monotonic second at which the caller gives up, by its own header or by
        the route's timeout.
    :ivar bodiless: whether its answer has no body, as for HEAD.
    :ivar framing: how the body's end is found.
    :ivar length: announced bytes of the body.
    :ivar lines: request line and headers, without framing and what a gate sets.
    :ivar body: what of the body has been read.
    :ivar root: the root request of its call tree; itself for a client's request.
    :ivar tenant: who owns it; empty where requests need no key.
    :ivar of_client: whether a client made it, not a run of this machine's worker.
    :ivar rest: reads the part of the body that is not in ``body``; such a request can be sent
        to one worker only.
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

    def identity(self) -> Identity:
        """Return the digest by which the same request is recognised when it comes again."""
        return identity_of(self.service, self.tenant, self.lines, self.body, self.length)


@dataclass(slots=True)
class CallProgress:
    """How far the attempts of a call are.

    :ivar attempts: workers reached so far.
    :ivar refusals: sidecars that refused it for lack of capacity.
    :ivar tried: nodes that were asked, also those that did not reach a worker.
    :ivar current: the newest attempt.
    :ivar cancelled: whether the caller has disconnected.
    :ivar suspected: whether a worker crashed while it ran there, so that it may be the cause.
    :ivar isolated: whether it must go to the gate that runs this suspect in isolation.
    :ivar work: slot time of its runs, and of the calls that they made.
    """

    call: Call
    attempts: int = 0
    refusals: int = 0
    tried: set[str] = field(default_factory=set)
    current: Attempt | None = None
    cancelled: bool = False
    suspected: bool = False
    isolated: bool = False
    work: SlotWork = field(default_factory=SlotWork)

    def note_suspicion(self, node: str, reason: Reason) -> None:
        """Note what a reply without an answer says of the request as the cause of crashes.

        :param node: that gave the reply.
        """
        if reason is Reason.WORKER_ENDED:
            self.suspected = True
        elif reason is Reason.SUSPECTED:
            self.isolated = True
            # It may be the very node that is to run it in isolation.
            self.tried.discard(node)

    def cancel(self) -> None:
        """End the call: its caller has disconnected."""
        self.cancelled = True
        if self.current is not None:
            self.current.cancel()
