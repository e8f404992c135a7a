"""Routes a caller's request and builds the call that is forwarded for it."""

from __future__ import annotations

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import Framing, RequestHead
from cranklane.common.http1.writer import end_to_end_lines, framing_line
from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Reason
from cranklane.routes.splitter import Splitter
from cranklane.routes.table import Route
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.ingress.authentication import Caller, identity_line
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.ingress.caller_request import CallerRequest
from cranklane.sidecar.request.attempt import Reply, refusal
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.request.call_tree import Root, Run
from cranklane.sidecar.tree_admission.ticket import TicketIssuer


def find_route(request: CallerRequest) -> Route | Reply:
    """Return a request's route, or the error reply if it has none."""
    table = request.table
    if table.version == 0:
        return refusal(Reason.NO_CONFIGURATION, retry_after_ms=retry_after.DEFAULT_MS)
    hosts = request.head.headers.values(b"host")
    path = path_of(request.head.target)
    if len(hosts) != 1 or path is None:
        return refusal(Reason.BAD_REQUEST)
    route = table.find(hosts[0].decode("latin-1"), path)
    return route or refusal(Reason.UNKNOWN_ROUTE)


def path_of(target: bytes) -> str | None:
    """Return the path of a request target without its query; None for ``*`` and the like.

    >>> path_of(b"/a%2Fb?c"), path_of(b"http://h/a"), path_of(b"*")
    ('/a%2Fb', '/a', None)
    """
    text = target.decode("latin-1")
    if not text.startswith("/"):
        scheme, separator, authority_and_path = text.partition("://")
        if not separator:
            return None
        text = "/" + authority_and_path.partition("/")[2]
    return text.partition("?")[0]


class CallBuilder:
    """Builds calls from the requests of one machine's callers.

    :param caller_service: service of this machine, sent as a header with every request.
    :param splitter: chooses among the services of a route that has several.
    :param tickets: draws the tickets of root requests.
    """

    def __init__(
        self, names: HeaderNames, caller_service: str, splitter: Splitter, tickets: TicketIssuer
    ) -> None:
        self._names = names
        self._caller_service = caller_service.encode()
        self._splitter = splitter
        self._tickets = tickets
        self._deadline_name = names.deadline.lower()
        self._overridden_headers = names.managed_request_headers

    def build(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
        caller: Caller,
        run: Run | None,
    ) -> Call:
        """Return the call for a request whose buffered part of the body has been read.

        :param run: the run at the local worker that makes the request; None for clients.
        """
        head = request.head
        started_at = request.started_at
        deadline = started_at + self._allowed_seconds(head, route)
        body = connection.body
        framing, length = head.framing, head.length
        if connection.body_whole and framing is Framing.CHUNKED:
            framing, length = Framing.LENGTH, len(body)
        return Call(
            request_id=request.id,
            route=route,
            tenant=caller.tenant,
            service=self._splitter.choose(route),
            started_at=started_at,
            deadline=deadline,
            bodiless=head.method == b"HEAD",
            framing=framing,
            length=length,
            lines=self._lines(head, framing, length, caller),
            body=body,
            root=run.root
            if run is not None
            else self._root_of(route, caller, started_at, deadline),
            of_client=run is None,
            rest=None if connection.body_whole else connection.next_piece,
            run=run,
        )

    def _allowed_seconds(self, head: RequestHead, route: Route) -> float:
        """Return the lesser of the route's timeout and the caller's deadline header, in seconds."""
        allowed_ms = route.timeout_ms
        deadline_ms = head.value(self._deadline_name)
        if deadline_ms is not None and deadline_ms.isdigit():
            allowed_ms = min(allowed_ms, int(deadline_ms))
        return allowed_ms / MILLISECONDS

    def _lines(self, head: RequestHead, framing: Framing, length: int, caller: Caller) -> bytes:
        """Return the request line and the headers, both forwarded ones and those set here."""
        return b"%s %s HTTP/1.1\r\n%s%s%s%s: %s\r\n" % (
            head.method,
            head.target,
            end_to_end_lines(head.headers, self._overridden_headers),
            framing_line(framing, length),
            identity_line(self._names, caller),
            self._names.caller,
            self._caller_service,
        )

    def _root_of(self, route: Route, caller: Caller, started_at: float, deadline: float) -> Root:
        """Return the root of the call tree that a client's request begins."""
        objective_at = started_at + route.objective_ms / MILLISECONDS
        ticket = self._tickets.draw(caller.priority)
        priority = 0 if ticket.is_first_priority else caller.priority
        return Root(priority, started_at, objective_at, deadline, ticket=ticket)
