"""Serves the callers of a machine: one task for each connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err

from cranklane.common.http1.message import (
    Framing,
    HeadTooLargeError,
    MalformedMessageError,
    MessageCutError,
    RequestHead,
)
from cranklane.common.http1.writer import (
    LAST_CHUNK,
    chunk,
    end_to_end,
    framing_line,
    header_lines,
    status_line,
)
from cranklane.common.request_names import HeaderNames
from cranklane.errors import AnswerCutError
from cranklane.outcome import Outcome, Reason, status_of
from cranklane.routes.splitter import Splitter
from cranklane.routes.table import Route, RouteTable
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.ingress.authentication import Authentication, Caller, identity_line
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.request.attempt import SMALL_BODY_BYTES, Reply, refusal
from cranklane.sidecar.request.call_tree import CallFailure, CallTree, Root, Run
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.routing.dispatcher import NO_ROOM, Call, Dispatcher

WRITE_SECONDS = 10.0
"""A caller that takes no bytes for this long is given up."""

_HEADER_TOO_LARGE = 431
_BODY_TOO_LARGE = 413
_REQUEST_TIMEOUT = 408
_BAD_REQUEST = 400
_FIRST_ERROR = 500
_BODY_READ = 0
_BODY_CUT = -1
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Ingress:
    """Takes requests from callers and writes their answers.

    :param table: returns the route table in force.
    :param caller: service of this machine, stated on every request.
    :param call_tree: knows the runs of this machine's worker.
    :param authentication: tells whose requests they are.
    :ivar stopping: whether answers end their connections.
    """

    def __init__(
        self,
        runtime: Runtime,
        names: HeaderNames,
        caller: str,
        table: Callable[[], RouteTable],
        dispatcher: Dispatcher,
        disconnects: DisconnectWatch,
        call_tree: CallTree,
        authentication: Authentication,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self._call_tree = call_tree
        self._authentication = authentication
        self._runtime = runtime
        self._names = names
        self._caller = caller.encode()
        self._table = table
        self._dispatcher = dispatcher
        self._disconnects = disconnects
        self._on_decision = on_decision
        self._splitter = Splitter(runtime.random.random())
        self._request_name = names.request.lower()
        self._deadline_name = names.deadline.lower()
        self._set_here = names.set_here
        self._idle: set[Any] = set()
        self.stopping = False
        self.in_flight = 0

    def accept(self, stream: Any, _address: Address) -> None:
        """Serve a caller's connection until it ends."""
        connection = CallerConnection(self._runtime, stream, self._table())
        try:
            while self._serve_next(connection):
                pass
        except OSError:
            pass
        finally:
            self._idle.discard(connection)
            connection.close()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._idle):
            if not connection.reader.started and not self._runtime.has_input(connection.stream):
                connection.close()

    def _serve_next(self, connection: CallerConnection) -> bool:
        """Serve the next request; return whether the connection goes on."""
        limits = self._table().limits
        self._idle.add(connection)
        try:
            head = connection.next_head(
                limits.idle_timeout_ms / 1000, limits.header_timeout_ms / 1000
            )
        except HeadTooLargeError:
            return self._reject(connection, _HEADER_TOO_LARGE)
        except MalformedMessageError:
            return self._reject(connection, _BAD_REQUEST)
        except MessageCutError:
            return False
        except TimeoutError:
            if connection.reader.started:
                self._reject(connection, _REQUEST_TIMEOUT)
            return False
        finally:
            self._idle.discard(connection)
        if head is None:
            return False
        self.in_flight += 1
        try:
            return self._serve(connection, head)
        finally:
            self.in_flight -= 1

    def _reject(self, connection: CallerConnection, status: int) -> bool:
        connection.send(_own_answer(status, b"", b"", False))
        connection.discard()
        return False

    def _serve(self, connection: CallerConnection, head: RequestHead) -> bool:
        started_at = self._runtime.monotonic()
        request = head.value(self._request_name) or b""
        table = self._table()
        route, reply = self._route(head, table)
        if route is None:
            assert reply is not None
            return self._finish(connection, head, request, None, reply, started_at, table)
        name = request.decode("latin-1")
        run = self._call_tree.run_of(name)
        identified = self._authentication.identify(head, name, table, route, run)
        if isinstance(identified, Err):
            refused = identified.err_value
            return self._finish(connection, head, request, None, refused, started_at, table)
        caller = identified.ok_value
        problem = self._read_body(connection, head)
        if problem != _BODY_READ:
            self._authentication.not_run(caller)
            return problem != _BODY_CUT and self._reject(connection, problem)
        call = self._call(connection, head, name, route, caller, run, started_at)
        self._disconnects.add(connection.stream, call.cancel)
        if run is not None:
            run.calls_under_way += 1
        try:
            reply = self._dispatcher.run(call)
        finally:
            self._disconnects.remove(connection.stream)
        if run is not None:
            starved = reply.downstream_starved or reply.reason in NO_ROOM
            run.call_ended(_failure_of(call, reply), starved, call.work)
        if reply.outcome is Outcome.NOT_RUN:
            self._authentication.not_run(caller)
        return self._finish(connection, head, request, call, reply, started_at, table)

    def _route(self, head: RequestHead, table: RouteTable) -> tuple[Route | None, Reply | None]:
        """Return a request's route, or the answer when there is none."""
        if table.version == 0:
            return None, refusal(Reason.NO_CONFIGURATION, retry_after_ms=retry_after.DEFAULT_MS)
        hosts = [value for name, value in head.headers if name.lower() == b"host"]
        path = _path_of(head.target)
        if len(hosts) != 1 or path is None:
            return None, refusal(Reason.BAD_REQUEST)
        route = table.find(hosts[0].decode("latin-1"), path)
        if route is None:
            return None, refusal(Reason.UNKNOWN_ROUTE)
        return route, None

    def _read_body(self, connection: CallerConnection, head: RequestHead) -> int:
        """Read a small body whole, or the first part of a large one.

        :returns: ``_BODY_READ``, ``_BODY_CUT``, or the status that refuses it.
        """
        limits = self._table().limits
        if head.framing is Framing.LENGTH and head.length > limits.max_body_bytes:
            return _BODY_TOO_LARGE
        expect = head.value(b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            connection.send(_CONTINUE)
        connection.stream.settimeout(limits.idle_timeout_ms / 1000)
        try:
            connection.read_body(SMALL_BODY_BYTES, limits.max_body_bytes)
        except HeadTooLargeError:
            return _BODY_TOO_LARGE
        except MalformedMessageError:
            return _BAD_REQUEST
        except TimeoutError:
            return _REQUEST_TIMEOUT
        except MessageCutError:
            return _BODY_CUT
        return _BODY_READ

    def _call(
        self,
        connection: CallerConnection,
        head: RequestHead,
        request: str,
        route: Route,
        caller: Caller,
        run: Run | None,
        started_at: float,
    ) -> Call:
        allowed = route.timeout_ms / 1000
        told = head.value(self._deadline_name)
        if told is not None and told.isdigit():
            allowed = min(allowed, int(told) / 1000)
        deadline = started_at + allowed
        headers = end_to_end(head.headers, self._set_here)
        framing = head.framing
        length = head.length
        body = connection.body
        if connection.body_whole and framing is Framing.CHUNKED:
            framing, length = Framing.LENGTH, len(body)
        lines = b"%s %s HTTP/1.1\r\n%s%s%s%s: %s\r\n" % (
            head.method,
            head.target,
            header_lines(headers),
            framing_line(framing, length),
            identity_line(self._names, caller),
            self._names.caller,
            self._caller,
        )
        return Call(
            request=request,
            route=route,
            tenant=caller.tenant,
            service=self._splitter.choose(route),
            started_at=started_at,
            deadline=deadline,
            bodiless=head.method == b"HEAD",
            framing=framing,
            length=length,
            lines=lines,
            body=body,
            root=run.root if run is not None else _root(route, caller, started_at, deadline),
            of_client=run is None,
            rest=None if connection.body_whole else connection.next_piece,
        )

    # Answers.

    def _finish(
        self,
        connection: CallerConnection,
        head: RequestHead,
        request: bytes,
        call: Call | None,
        reply: Reply,
        started_at: float,
        table: RouteTable,
    ) -> bool:
        """Write the answer; return whether the connection goes on."""
        keep = head.keep_alive and not self.stopping
        if call is None:
            keep = keep and connection.read_rest()
        elif call.rest is not None:
            keep = False
        if call is not None and call.cancelled:
            if reply.rest is not None:
                reply.rest.close()  # type: ignore[attr-defined]
            self._decided(request, call, reply, started_at, table, 0)
            return False
        status = reply.status
        connection.stream.settimeout(WRITE_SECONDS)
        if reply.outcome is Outcome.ANSWERED:
            assert call is not None
            keep = self._write_answer(connection, reply, keep, call.deadline)
        else:
            status = status_of(reply.outcome, reply.reason)
            extra = self._own_lines(request, reply)
            connection.send(_own_answer(status, extra, b"", keep))
        self._decided(request, call, reply, started_at, table, status)
        if not keep:
            connection.discard()
        elif connection.body_whole:
            connection.end_request()
        return keep

    def _own_lines(self, request: bytes, reply: Reply) -> bytes:
        lines = b"%s: %s\r\n" % (self._names.request, request) if request else b""
        if status_of(reply.outcome, reply.reason) in retry_after.STATUSES:
            lines += retry_after.header_line(reply.retry_after_ms)
        return lines

    def _write_answer(
        self, connection: CallerConnection, reply: Reply, keep: bool, deadline: float
    ) -> bool:
        head = b"%s%s%s%s\r\n" % (
            status_line(reply.status),
            reply.lines,
            framing_line(reply.framing, reply.length),
            b"" if keep else b"Connection: close\r\n",
        )
        chunked = reply.framing in (Framing.CHUNKED, Framing.UNTIL_CLOSE)
        if reply.rest is None:
            connection.send(head + (chunk(reply.body) + LAST_CHUNK if chunked else reply.body))
            return keep
        try:
            connection.send(head + (chunk(reply.body) if chunked else reply.body))
            for piece in reply.rest:
                if self._runtime.monotonic() > deadline:
                    raise AnswerCutError("its time is over")
                connection.send(chunk(piece) if chunked else piece)
            if chunked:
                connection.send(LAST_CHUNK)
        except AnswerCutError:
            # The caller sees by the framing that the answer is not whole.
            return False
        finally:
            reply.rest.close()  # type: ignore[attr-defined]
        return keep

    def _decided(
        self,
        request: bytes,
        call: Call | None,
        reply: Reply,
        started_at: float,
        table: RouteTable,
        status: int,
    ) -> None:
        self._on_decision(
            Decision(
                request.decode("latin-1"),
                call.route.name if call else "",
                call.service if call else "",
                reply.outcome,
                reply.reason,
                status,
                call.attempts if call else 0,
                call.refusals if call else 0,
                self._runtime.monotonic() - started_at,
                call.deadline - call.started_at if call else 0.0,
                call.route.objective_ms / 1000 if call else 0.0,
                reply.waited_ms,
                reply.run_time_ms,
                table.version,
                call is None or call.of_client,
                reply.failure,
                call.work if call else SlotWork(),
            )
        )


def _root(route: Route, caller: Caller, started_at: float, deadline: float) -> Root:
    """Return what a client's request is to the calls that are made for it."""
    return Root(caller.priority, started_at, started_at + route.objective_ms / 1000, deadline)


def _failure_of(call: Call, reply: Reply) -> CallFailure | None:
    """Return what failed when a call of the worker did, as deep as it is known."""
    if reply.outcome is Outcome.ANSWERED and reply.status < _FIRST_ERROR:
        return None
    return reply.failure or CallFailure(call.service, reply.reason)


def _path_of(target: bytes) -> str | None:
    """Return the path of a request target without its query, or None.

    >>> _path_of(b"/a%2Fb?c"), _path_of(b"http://h/a"), _path_of(b"*")
    ('/a%2Fb', '/a', None)
    """
    text = target.decode("latin-1")
    if not text.startswith("/"):
        scheme, separator, rest = text.partition("://")
        if not separator:
            return None
        text = "/" + rest.partition("/")[2]
    return text.partition("?")[0]


def _own_answer(status: int, lines: bytes, body: bytes, keep: bool) -> bytes:
    return b"%s%sContent-Length: %d\r\n%s\r\n%s" % (
        status_line(status),
        lines,
        len(body),
        b"" if keep else b"Connection: close\r\n",
        body,
    )
