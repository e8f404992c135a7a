"""HTTP towards callers: the worker's own calls, or outside clients at an edge.

A call's path is ``/TENANT/SERVICE/rest``; the rest, with its query, is what the
called worker sees.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import falcon
import gevent
from result import Err, Ok, Result

from cranklane.common import headers as header_names
from cranklane.common.headers import HOP_BY_HOP, is_own, retry_after_seconds
from cranklane.common.http_server import CONNECTION_KEY
from cranklane.common.secret_digest import secret_digest
from cranklane.errors import AnswerCutError
from cranklane.node.allowance import Allowance
from cranklane.node.answer import Answer, Request, refused
from cranklane.node.context import CallContext, ContextTable
from cranklane.node.outbound import Outbound
from cranklane.outcome import Outcome, Reason, status_of
from cranklane.policy.adopted_policy import CLIENTS, AdoptedPolicy, Route
from cranklane.runtime.interface import Runtime

MAX_BODY_BYTES = 1024 * 1024
"""Largest request body; kept in memory while the call may be retried."""

BODY_SECONDS = 10.0
"""Seconds a caller has to send its request's body."""

HANG_UP_SECONDS = 0.05
"""Seconds between looks at callers that may have gone away."""

_DROPPED_HEADERS = HOP_BY_HOP | {"host", "content-length", "authorization", "idempotency-key"}
_NO_BODY_STATUS = frozenset({204, 304})
_MAX_ROOT = 1 << 64
_BEARER = "bearer "


class _Body:
    """Hands an answer's body to the HTTP server and says when it is done."""

    def __init__(self, answer: Answer, on_close: Callable[[], None]) -> None:
        self._answer = answer
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._answer.body)

    def close(self) -> None:
        """End the call, whole or not."""
        self._answer.body.close()
        self._on_close()


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
        self.stopping = False
        self.application = falcon.App()
        self.application.add_sink(self._serve, "/")
        self.application.req_options.strip_url_path_trailing_slash = False
        runtime.spawn(self._watch_hang_ups)

    @property
    def calls(self) -> int:
        """Calls of callers in flight."""
        return len(self._active)

    def _serve(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        request, response = req, resp
        parsed = self._request(request)
        if isinstance(parsed, Err):
            _write_refusal(response, refused(parsed.err_value))
            return
        call = parsed.ok_value
        found = self._context(request, call)
        if isinstance(found, Err):
            _write_refusal(response, refused(found.err_value))
            return
        context = found.ok_value
        self._next_call += 1
        number = self._next_call
        self._active[number] = (request.env.get(CONNECTION_KEY), context)
        answer = self._outbound.call(context, call)
        if answer.outcome is not Outcome.ANSWERED:
            del self._active[number]
            _write_refusal(response, answer)
            return
        body = _Body(answer, lambda: self._ended(number))
        if answer.body.is_whole and request.method != "HEAD":
            self._write_whole(response, answer, body)
            return
        _write_head(response, answer)
        response.stream = body

    def _write_whole(self, response: falcon.Response, answer: Answer, body: _Body) -> None:
        """Write an answer of which all has come, in one piece."""
        try:
            data = b"".join(body)
        except AnswerCutError:
            _write_refusal(response, Answer(Outcome.UNKNOWN, Reason.ANSWER_CUT))
            return
        finally:
            body.close()
        _write_head(response, answer)
        if data:
            response.data = data

    def _ended(self, number: int) -> None:
        self._active.pop(number, None)

    def _request(self, request: falcon.Request) -> Result[Request, Reason]:
        if self.stopping:
            return Err(Reason.STOPPING)
        parts = request.path.split("/", 3)
        if len(parts) < 4:
            return Err(Reason.UNKNOWN_ROUTE)
        body = _read_body(request)
        if isinstance(body, Err):
            return Err(body.err_value)
        path = "/" + parts[3]
        if request.query_string:
            path = f"{path}?{request.query_string}"
        headers = [
            (name.title(), value)
            for name, value in request.headers.items()
            if name.lower() not in _DROPPED_HEADERS and not is_own(name)
        ]
        return Ok(
            Request(
                tenant=parts[1],
                service=parts[2],
                caller="",
                method=request.method,
                path=path,
                headers=headers,
                body=body.ok_value,
                key=request.get_header(header_names.IDEMPOTENCY_KEY) or "",
            )
        )

    def _context(self, request: falcon.Request, call: Request) -> Result[CallContext, Reason]:
        """Return what the call inherits, and name its caller."""
        if self._configuration.version == 0:
            return Err(Reason.NO_CONFIGURATION)
        if not self._service:
            return self._client_context(request, call)
        call.caller = self._service
        token = request.get_header(header_names.CONTEXT)
        if token is not None:
            context = self._contexts.find(token)
            return Ok(context) if context is not None else Err(Reason.BAD_REQUEST)
        tenant = self._service.partition(".")[0]
        return self._root_context(request, call, tenant)

    def _client_context(
        self, request: falcon.Request, call: Request
    ) -> Result[CallContext, Reason]:
        tenant = self._authenticated(request)
        if tenant is None:
            return Err(Reason.UNAUTHENTICATED)
        call.caller = f"{tenant}.{CLIENTS}"
        return self._root_context(request, call, tenant)

    def _authenticated(self, request: falcon.Request) -> str | None:
        credentials = request.auth or ""
        if not credentials.lower().startswith(_BEARER):
            return None
        token = credentials[len(_BEARER) :].strip()
        return self._configuration.tenant_of(secret_digest(token.encode()))

    def _root_context(
        self, request: falcon.Request, call: Request, tenant: str
    ) -> Result[CallContext, Reason]:
        route = self._route(call)
        if route is None:
            return Err(Reason.UNKNOWN_ROUTE)
        deadline_ms = _shorter_deadline(request, route.deadline_ms)
        if deadline_ms is None:
            return Err(Reason.BAD_REQUEST)
        return Ok(
            CallContext(
                root=self._runtime.random.randrange(1, _MAX_ROOT),
                tenant=tenant,
                criticality=route.criticality,
                deadline=self._runtime.monotonic() + deadline_ms / 1000,
                allowance=Allowance(route.allowance),
            )
        )

    def _route(self, call: Request) -> Route | None:
        service = self._configuration.service(call.tenant, call.service)
        if service is None:
            return None
        return service.route(call.method, call.path.partition("?")[0])

    def _watch_hang_ups(self) -> None:
        # One look at all callers at once costs far less than a watcher each.
        while True:
            gevent.sleep(HANG_UP_SECONDS)
            waiting = {id(item[0]): item for item in self._active.values() if item[0] is not None}
            if not waiting:
                continue
            for connection in self._runtime.hung_up([item[0] for item in waiting.values()]):
                waiting[id(connection)][1].cancel(Reason.CANCELLED)


def _shorter_deadline(request: falcon.Request, route_ms: int) -> int | None:
    """Return the deadline in force; a client may shorten its route's. None: not a number."""
    text = request.get_header(header_names.DEADLINE_MS)
    if text is None:
        return route_ms
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        return None
    return min(route_ms, int(text))


def _read_body(request: falcon.Request) -> Result[bytes, Reason]:
    length = request.content_length
    if length is None and request.get_header("Transfer-Encoding") is None:
        return Ok(b"")
    if length is not None and length > MAX_BODY_BYTES:
        return Err(Reason.REQUEST_TOO_LARGE)
    try:
        with gevent.Timeout(BODY_SECONDS):
            body = request.stream.read(MAX_BODY_BYTES + 1 if length is None else length)
    except (gevent.Timeout, OSError, ValueError):
        return Err(Reason.BAD_REQUEST)
    if len(body) > MAX_BODY_BYTES:
        return Err(Reason.REQUEST_TOO_LARGE)
    if length is not None and len(body) != length:
        return Err(Reason.BAD_REQUEST)
    return Ok(body)


def _write_head(response: falcon.Response, answer: Answer) -> None:
    response.status = falcon.code_to_http_status(answer.status)
    for name, value in answer.headers:
        response.append_header(name, value)
    response.set_header(header_names.OUTCOME, answer.outcome.label)
    if answer.attempts > 1:
        response.set_header(header_names.ATTEMPTS, str(answer.attempts))


def _write_refusal(response: falcon.Response, answer: Answer) -> None:
    status = status_of(answer.outcome, answer.reason)
    response.status = falcon.code_to_http_status(status)
    response.set_header(header_names.OUTCOME, answer.outcome.label)
    response.set_header(header_names.REASON, answer.reason.label)
    response.set_header(header_names.ATTEMPTS, str(answer.attempts))
    if answer.retry_after_ms:
        response.set_header("Retry-After", retry_after_seconds(answer.retry_after_ms))
        response.set_header(header_names.RETRY_AFTER_MS, str(answer.retry_after_ms))
    response.content_type = falcon.MEDIA_TEXT
    response.text = f"{answer.outcome.label}: {answer.reason.label}\n"
