"""HTTP server for callers: the node's worker, or external clients at an edge.

Tracks the calls in flight and cancels those whose caller disconnects.
:mod:`~cranklane.node.outbound` makes the calls.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import falcon
import gevent
from result import Err, Ok, Result

from cranklane.common import headers
from cranklane.common.http_server import CONNECTION_KEY
from cranklane.common.secret_digest import secret_digest
from cranklane.common.units import MILLISECONDS
from cranklane.node.allowance import Allowance
from cranklane.node.answer import Answer, Request, refused_answer
from cranklane.node.caller_answer import write_answer, write_refusal
from cranklane.node.caller_request import bearer_token, deadline_ms, read_call
from cranklane.node.context import CallContext, ContextTable
from cranklane.node.outbound import Outbound, run_key
from cranklane.outcome import Outcome, Reason
from cranklane.policy.adopted_policy import CLIENTS, AdoptedPolicy, Route
from cranklane.runtime.interface import Runtime

DISCONNECT_CHECK_SECONDS = 0.05
"""Seconds between checks for disconnected callers. Well below the duration of a call, so that
its work stops early."""

_ROOT_NUMBERS = 1 << 64
"""Exclusive upper bound of the random numbers of root requests, which have 64 bits."""


class _ActiveCall(NamedTuple):
    """A call in flight.

    :ivar connection: the caller's connection; None if unknown.
    :ivar started_at: monotonic second at which it was made.
    """

    connection: Any
    context: CallContext
    started_at: float


class CallerServer:
    """WSGI application for callers.

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
        self._active: dict[int, _ActiveCall] = {}
        self._next_call = 0
        self.application = falcon.App()
        self.application.add_sink(self._serve, "/")
        self.application.req_options.strip_url_path_trailing_slash = False
        runtime.spawn_restarting(self._watch_disconnects)

    @property
    def calls(self) -> int:
        """Number of calls in flight."""
        return len(self._active)

    # The parameter names are required by falcon.
    def _serve(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        parsed = read_call(req)
        if isinstance(parsed, Err):
            write_refusal(resp, refused_answer(parsed.err_value))
            return
        call = parsed.ok_value
        resolved = self._context(req, call)
        if isinstance(resolved, Err):
            write_refusal(resp, refused_answer(resolved.err_value))
            return
        context = resolved.ok_value
        self._next_call += 1
        number = self._next_call
        connection = req.env.get(CONNECTION_KEY)
        self._active[number] = _ActiveCall(connection, context, self._runtime.monotonic())
        answer = self._outbound.call(context, call)
        if answer.outcome is not Outcome.ANSWERED:
            del self._active[number]
            write_refusal(resp, answer)
            return
        write_answer(req, resp, answer, lambda: self._call_answered(number, call, answer))

    def _call_answered(self, number: int, call: Request, answer: Answer) -> None:
        """Remove a call whose response has been written or abandoned."""
        active = self._active.pop(number, None)
        if active is None or not answer.body.is_complete:
            return
        service = self._configuration.service(call.tenant, call.service)
        route = self._route(call)
        if service is not None and route is not None:
            seconds = self._runtime.monotonic() - active.started_at
            self._outbound.run_times.record(run_key(service, route), seconds)

    def _context(self, request: falcon.Request, call: Request) -> Result[CallContext, Reason]:
        """Return the context for a call and set the call's caller."""
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
        """Cancel the calls of disconnected callers; cheaper than a watcher for each caller."""
        while True:
            gevent.sleep(DISCONNECT_CHECK_SECONDS)
            waiting = {
                id(call.connection): call
                for call in self._active.values()
                if call.connection is not None
            }
            if not waiting:
                continue
            for connection in self._runtime.closed_by_peer(
                [call.connection for call in waiting.values()]
            ):
                waiting[id(connection)].context.cancel(Reason.CANCELLED)
