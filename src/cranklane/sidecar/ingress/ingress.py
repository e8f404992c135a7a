"""Serves the callers of a machine: one task for each connection.

The way of a request: its head is read, its route and its caller are found, its body is read,
the dispatcher has it run, and its answer is written. Owns the open connections and the count
of requests under way; each step stands in a module of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from result import Err

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import RequestHead
from cranklane.outcome import Outcome, Reason
from cranklane.routes.splitter import Splitter
from cranklane.routes.table import RouteTable
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.ingress.answer_writer import AnswerWriter
from cranklane.sidecar.ingress.authentication import Authentication
from cranklane.sidecar.ingress.call_builder import CallBuilder, find_route
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.ingress.caller_request import (
    CallerRequest,
    UnreadableRequestError,
    read_body,
    read_head,
)
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.ingress.request_decision import decision_of, decision_of_refused
from cranklane.sidecar.request.attempt import AT_CAPACITY, Reply, refusal
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.call_tree import CallFailure, CallTree, Run
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.routing.dispatcher import Dispatcher

_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR.value

_LEFT_STATUS = 0
"""Status in logs and counters of a request whose caller left before its answer."""


class IngressParts(NamedTuple):
    """What an ingress hands requests to.

    :ivar table: returns the route table in force.
    :ivar disconnects: watches callers that wait for an answer.
    :ivar call_tree: knows the runs of this machine's worker.
    :ivar on_decision: called with what became of each request whose head could be read.
    """

    table: Callable[[], RouteTable]
    authentication: Authentication
    dispatcher: Dispatcher
    disconnects: DisconnectWatch
    call_tree: CallTree
    on_decision: Callable[[Decision], None]


class Ingress:
    """Takes requests from callers and writes their answers.

    :param caller_service: service of this machine, stated on every request.
    :ivar stopping: whether answers end their connections.
    :ivar refuses_clients: whether only calls of runs under way at this machine's worker are
        taken: the process ends soon, and a client's request may not be finished by then.
    :ivar in_flight: requests whose head was read and whose answer is not written yet.
    """

    def __init__(
        self, runtime: Runtime, names: HeaderNames, caller_service: str, parts: IngressParts
    ) -> None:
        self._runtime = runtime
        self._table = parts.table
        self._authentication = parts.authentication
        self._dispatcher = parts.dispatcher
        self._disconnects = parts.disconnects
        self._call_tree = parts.call_tree
        self._on_decision = parts.on_decision
        self._request_name = names.request.lower()
        self._calls = CallBuilder(names, caller_service, Splitter(runtime.random.random()))
        self._writer = AnswerWriter(runtime, names)
        self._idle: set[CallerConnection] = set()
        self.stopping = False
        self.refuses_clients = False
        self.in_flight = 0

    def accept(self, stream: Any, _address: Address) -> None:
        """Serve a caller's connection until it ends."""
        connection = CallerConnection(self._runtime, stream, self._table())
        try:
            while self._serve_next(connection):
                pass
        except OSError:
            # The caller has left or takes no bytes; it opens another connection if it wants one.
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
        """Serve the next request; return whether the connection can serve another."""
        self._idle.add(connection)
        try:
            head = read_head(connection, self._table().limits)
        except UnreadableRequestError as error:
            return self._reject(connection, error.status)
        finally:
            self._idle.discard(connection)
        if head is None:
            return False
        self.in_flight += 1
        try:
            return self._serve(connection, self._request(head))
        finally:
            self.in_flight -= 1

    def _reject(self, connection: CallerConnection, status: HTTPStatus | None) -> bool:
        """End a connection whose request cannot be read."""
        if status is not None:
            self._writer.write_unreadable(connection, status)
            connection.discard()
        return False

    def _request(self, head: RequestHead) -> CallerRequest:
        request_id = head.value(self._request_name) or b""
        started_at = self._runtime.monotonic()
        return CallerRequest(
            head, request_id, request_id.decode("latin-1"), self._table(), started_at
        )

    def _serve(self, connection: CallerConnection, request: CallerRequest) -> bool:
        routed = find_route(request)
        if isinstance(routed, Reply):
            return self._refuse(connection, request, routed)
        run = self._call_tree.run_of(request.id)
        if self.refuses_clients and run is None:
            refused = refusal(Reason.STOPPING, retry_after_ms=retry_after.DEFAULT_MS)
            return self._refuse(connection, request, refused)
        identified = self._authentication.identify(
            request.head, request.id, request.table, routed, run
        )
        if isinstance(identified, Err):
            return self._refuse(connection, request, identified.err_value)
        caller = identified.ok_value
        try:
            read_body(connection, request.head, request.table.limits)
        except UnreadableRequestError as error:
            self._authentication.not_run(caller)
            return self._reject(connection, error.status)
        call = self._calls.build(connection, request, routed, caller, run)
        progress = CallProgress(call)
        reply = self._dispatch(connection, progress, run)
        if reply.outcome is Outcome.NOT_RUN:
            self._authentication.not_run(caller)
        return self._finish(connection, request, progress, reply)

    def _dispatch(
        self, connection: CallerConnection, progress: CallProgress, run: Run | None
    ) -> Reply:
        """Have a call run, unless its caller leaves before it has ended."""
        self._disconnects.add(connection.stream, progress.cancel)
        if run is not None:
            run.calls_in_flight += 1
        try:
            reply = self._dispatcher.run(progress)
        finally:
            self._disconnects.remove(connection.stream)
        if run is not None:
            starved = reply.downstream_starved or reply.reason in AT_CAPACITY
            run.record_call_end(_failure_of(progress.call, reply), starved, progress.work)
        return reply

    # Answers.

    def _refuse(self, connection: CallerConnection, request: CallerRequest, reply: Reply) -> bool:
        """Answer a request that is sent nowhere; return whether the connection stays."""
        keep = request.head.keep_alive and not self.stopping and connection.skip_body()
        status = self._writer.write_unanswered(connection, request, reply, keep)
        seconds = self._seconds_of(request)
        self._on_decision(decision_of_refused(request, reply, status, seconds))
        return self._end_request(connection, keep)

    def _finish(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        progress: CallProgress,
        reply: Reply,
    ) -> bool:
        """Answer a request that was sent on; return whether the connection stays."""
        if progress.cancelled:
            if reply.rest is not None:
                reply.rest.close()  # type: ignore[attr-defined]
            self._decided(request, progress, reply, _LEFT_STATUS)
            return False
        call = progress.call
        # The rest of a large body may not have been read: nothing can follow it.
        keep = request.head.keep_alive and not self.stopping and call.rest is None
        if reply.outcome is Outcome.ANSWERED:
            status = reply.status
            keep = self._writer.write_answered(connection, reply, keep, call.deadline)
        else:
            status = self._writer.write_unanswered(connection, request, reply, keep)
        self._decided(request, progress, reply, status)
        return self._end_request(connection, keep)

    def _decided(
        self, request: CallerRequest, progress: CallProgress, reply: Reply, status: int
    ) -> None:
        seconds = self._seconds_of(request)
        self._on_decision(decision_of(request, progress, reply, status, seconds))

    def _seconds_of(self, request: CallerRequest) -> float:
        return self._runtime.monotonic() - request.started_at

    @staticmethod
    def _end_request(connection: CallerConnection, keep: bool) -> bool:
        if keep:
            connection.end_request()
        else:
            connection.discard()
        return keep


def _failure_of(call: Call, reply: Reply) -> CallFailure | None:
    """Return what failed when a call of the worker did, as deep as it is known."""
    if reply.outcome is Outcome.ANSWERED and reply.status < _FIRST_SERVER_ERROR:
        return None
    return reply.failure or CallFailure(call.service, reply.reason)
