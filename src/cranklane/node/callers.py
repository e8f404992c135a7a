"""HTTP towards callers: the worker's own calls, or outside clients at an edge.

Owns the calls in flight. Relies on :mod:`~cranklane.node.caller_request` and
:mod:`~cranklane.node.caller_answer` for HTTP, and on :mod:`~cranklane.node.outbound` for
the calls themselves. The sidecar watches for disconnected callers by another class, which
looks five times less often and only while somebody waits.
"""

from __future__ import annotations

from typing import Any

import falcon
import gevent
from result import Err, Ok, Result

from cranklane.common import headers
from cranklane.common.http_server import CONNECTION_KEY
from cranklane.common.secret_digest import secret_digest
from cranklane.common.units import MILLISECONDS
from cranklane.node.allowance import Allowance
from cranklane.node.answer import Request, refused
from cranklane.node.caller_answer import write_answer, write_refusal
from cranklane.node.caller_request import bearer_token, deadline_ms, read_call
from cranklane.node.context import CallContext, ContextTable
from cranklane.node.outbound import Outbound
from cranklane.outcome import Outcome, Reason
from cranklane.policy.adopted_policy import CLIENTS, AdoptedPolicy, Route
from cranklane.runtime.interface import Runtime

DISCONNECT_CHECK_SECONDS = 0.05
"""Seconds between looks at callers that may have gone away. A choice: well below the time of
a call, so that its work is stopped early. One look at all callers costs far less than a
watcher for each."""

_ROOT_NUMBERS = 1 << 64
"""Numbers of root requests are drawn below this: they fill 64 bits."""


class Callers:
    """The WSGI application for callers.

    :param service: full name of the node's service, or empty at an edge.
    """

    def __init__(
        self,
        runtime: Runtime,
        service: str,
        configuration: AdoptedPolicy,
        outbound: Outbound,
        contexts: ContextTable,
    ) -> None:
        self._runtime = runtime
        self._service = service
        self._configuration = configuration
        self._outbound = outbound
        self._contexts = contexts
        self._active: dict[int, tuple[Any, CallContext]] = {}
        self._next_call = 0
        self.application = falcon.App()
        self.application.add_sink(self._serve, "/")
        self.application.req_options.strip_url_path_trailing_slash = False
        runtime.spawn(self._watch_disconnects)

    @property
    def calls(self) -> int:
        """Calls of callers in flight."""
        return len(self._active)

    # falcon names the parameters of a sink.
    def _serve(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        read = read_call(req)
        if isinstance(read, Err):
            write_refusal(resp, refused(read.err_value))
            return
        call = read.ok_value
        found = self._context(req, call)
        if isinstance(found, Err):
            write_refusal(resp, refused(found.err_value))
            return
        context = found.ok_value
        self._next_call += 1
        number = self._next_call
        self._active[number] = (req.env.get(CONNECTION_KEY), context)
        answer = self._outbound.call(context, call)
        if answer.outcome is not Outcome.ANSWERED:
            del self._active[number]
            write_refusal(resp, answer)
            return
        write_answer(req, resp, answer, lambda: self._ended(number))

    def _ended(self, number: int) -> None:
        self._active.pop(number, None)

    def _context(self, request: falcon.Request, call: Request) -> Result[CallContext, Reason]:
        """Return what the call inherits, and name its caller."""
        if self._configuration.version == 0:
            return Err(Reason.NO_CONFIGURATION)
        if not self._service:
            return self._client_context(request, call)
        call.caller = self._service
        token = request.get_header(headers.CONTEXT)
        if token is not None:
            context = self._contexts.find(token)
            return Ok(context) if context is not None else Err(Reason.BAD_REQUEST)
        tenant = self._service.partition(".")[0]
        return self._root_context(request, call, tenant)

    def _client_context(
        self, request: falcon.Request, call: Request
    ) -> Result[CallContext, Reason]:
        token = bearer_token(request)
        digest = secret_digest(token.encode()) if token is not None else ""
        tenant = self._configuration.tenant_of(digest) if digest else None
        if tenant is None:
            return Err(Reason.UNAUTHENTICATED)
        call.caller = f"{tenant}.{CLIENTS}"
        return self._root_context(request, call, tenant)

    def _root_context(
        self, request: falcon.Request, call: Request, tenant: str
    ) -> Result[CallContext, Reason]:
        route = self._route(call)
        if route is None:
            return Err(Reason.UNKNOWN_ROUTE)
        milliseconds = deadline_ms(request, route.deadline_ms)
        if milliseconds is None:
            return Err(Reason.BAD_REQUEST)
        return Ok(
            CallContext(
                root=self._runtime.random.randrange(1, _ROOT_NUMBERS),
                tenant=tenant,
                criticality=route.criticality,
                deadline=self._runtime.monotonic() + milliseconds / MILLISECONDS,
                allowance=Allowance(route.allowance),
            )
        )

    def _route(self, call: Request) -> Route | None:
        service = self._configuration.service(call.tenant, call.service)
        if service is None:
            return None
        return service.route(call.method, call.path.partition("?")[0])

    def _watch_disconnects(self) -> None:
        """Cancel the calls of callers that have left."""
        while True:
            gevent.sleep(DISCONNECT_CHECK_SECONDS)
            waiting = {id(item[0]): item for item in self._active.values() if item[0] is not None}
            if not waiting:
                continue
            for connection in self._runtime.closed_by_peer([item[0] for item in waiting.values()]):
                waiting[id(connection)][1].cancel(Reason.CANCELLED)
