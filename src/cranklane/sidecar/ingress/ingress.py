"""Serves the callers of a machine, with one task for each connection.

For each request: read the head, find the route, authenticate the caller, read the body,
dispatch the call, write the response.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from random import Random
from typing import Any, NamedTuple

from result import Err

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.header_block import EMPTY_BLOCK
from cranklane.common.http1.message import RequestHead
from cranklane.common.http1.parsing_turns import ParsingTurns
from cranklane.errors import OverloadedError
from cranklane.outcome import Outcome, Reason
from cranklane.routes.splitter import Splitter
from cranklane.routes.table import RouteTable
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.ingress.answer_writer import AnswerWriter
from cranklane.sidecar.ingress.authentication import Authentication, Caller
from cranklane.sidecar.ingress.call_builder import CallBuilder, find_route
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.ingress.caller_connections import STREAMED_BYTES, CallerConnections
from cranklane.sidecar.ingress.caller_request import (
    CallerRequest,
    UnreadableRequestError,
    expected_body_bytes,
    read_body,
    read_head,
)
from cranklane.sidecar.ingress.disconnect import DisconnectWatch
from cranklane.sidecar.ingress.request_decision import decision_of, decision_of_refused
from cranklane.sidecar.request.attempt import WITHOUT_CAPACITY, Reply, refusal
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.call_tree import CallFailure, CallTree, Run
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.routing.dispatcher import Dispatcher
from cranklane.sidecar.tree_admission.root_admission import RootAdmission
from cranklane.sidecar.tree_admission.ticket import TicketIssuer

_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR.value

COPIES_OF_HEAD = 2
"""Copies of a request's header lines: those read or to be forwarded, and those being sent."""

_DISCONNECTED_STATUS = 0
"""Status in logs and counters of a request whose caller disconnected before the response."""


class IngressDependencies(NamedTuple):
    """Dependencies of an ingress.

    :ivar table: returns the route table in force.
    :ivar disconnects: detects callers that disconnect before their response.
    :ivar call_tree: runs in flight at the local worker.
    :ivar tickets: draws and counts the tickets of root requests.
    :ivar root_admission: refuses root requests above the admission level of their route.
    :ivar on_decision: called with the decision on each request that could be read.
    :ivar connections: admits connections and charges what they hold.
    """

    table: Callable[[], RouteTable]
    authentication: Authentication
    dispatcher: Dispatcher
    disconnects: DisconnectWatch
    call_tree: CallTree
    tickets: TicketIssuer
    root_admission: RootAdmission
    on_decision: Callable[[Decision], None]
    connections: CallerConnections


class Ingress:
    """Serves requests of callers.

    :param caller_service: service of this machine, sent as a header with every request.
    :ivar stopping: whether connections are closed after their current response.
    :ivar refuses_clients: whether clients' requests are refused because the process may exit
        before they finish; calls of runs at the local worker are still accepted.
    :ivar in_flight: requests whose head has been read and whose response is not yet written.
    :ivar last_response_at: monotonic second of the last response of a stop; None without one.
    """

    def __init__(
        self,
        runtime: Runtime,
        names: HeaderNames,
        caller_service: str,
        dependencies: IngressDependencies,
    ) -> None:
        self._runtime = runtime
        self._table = dependencies.table
        self._authentication = dependencies.authentication
        self._dispatcher = dependencies.dispatcher
        self._disconnects = dependencies.disconnects
        self._call_tree = dependencies.call_tree
        self._on_decision = dependencies.on_decision
        self._request_name = names.request.lower()
        self._tickets = dependencies.tickets
        self._root_admission = dependencies.root_admission
        self._call_builder = CallBuilder(
            names, caller_service, Splitter(Random(runtime.random.random())), self._tickets
        )
        self._connections = dependencies.connections
        self._turns = ParsingTurns(runtime.monotonic)
        self._writer = AnswerWriter(runtime, names, self._connections)
        self.stopping = False
        self.refuses_clients = False
        self.in_flight = 0
        self.last_response_at: float | None = None

    def accept(self, stream: Any, _address: Address) -> None:
        """Serve a caller's connection until it is closed."""
        connection = CallerConnection(self._runtime, stream, self._table(), self._turns)
        connection.reader.on_hold = partial(self._hold, connection)
        if not self._connections.admit(connection):
            connection.close()
            return
        try:
            while self._serve_next(connection):
                pass
        except OSError:
            # The caller has disconnected or does not read: only its connection is affected.
            pass
        finally:
            self._connections.remove(connection)
            connection.close()

    def _hold(self, connection: CallerConnection, size: int) -> None:
        """Charge a connection for what is held of a request that is not complete.

        :raises OverloadedError: if there is no room for it.
        """
        if not self._connections.charge(connection, size):
            raise OverloadedError("no memory for the request")

    def close_idle(self) -> None:
        """Close the connections on which no request has begun to arrive."""
        for connection in self._connections.waiting():
            if not connection.reader.started and not self._runtime.has_input(connection.stream):
                connection.close()

    def _serve_next(self, connection: CallerConnection) -> bool:
        """Serve the next request; return whether the connection can be reused."""
        self._connections.wait_for_request(connection)
        try:
            head = read_head(connection, self._table().limits)
        except UnreadableRequestError as error:
            return self._reject(connection, error.status)
        if head is None:
            return False
        self.in_flight += 1
        try:
            return self._serve(connection, self._request(head))
        finally:
            self.in_flight -= 1
            if self.stopping:
                self.last_response_at = self._runtime.monotonic()

    def _reject(self, connection: CallerConnection, status: HTTPStatus | None) -> bool:
        """Answer a request that could not be read, and end its connection."""
        if status is not None:
            self._writer.write_read_error(connection, status)
            connection.linger()
        return False

    def _request(self, head: RequestHead) -> CallerRequest:
        request_id = head.value(self._request_name) or b""
        started_at = self._runtime.monotonic()
        return CallerRequest(
            head, request_id, request_id.decode("latin-1"), self._table(), started_at
        )

    def _serve(self, connection: CallerConnection, request: CallerRequest) -> bool:
        route = find_route(request)
        if isinstance(route, Reply):
            return self._refuse(connection, request, route)
        run = self._call_tree.run_of(request.id)
        if self.refuses_clients and run is None:
            refused = refusal(Reason.STOPPING, retry_after_ms=retry_after.DEFAULT_MS)
            return self._refuse(connection, request, refused)
        authenticated = self._authentication.identify(
            request.head, request.id, request.table, route, run
        )
        if isinstance(authenticated, Err):
            return self._refuse(connection, request, authenticated.err_value)
        caller = authenticated.ok_value
        try:
            self._read_body(connection, request)
        except UnreadableRequestError as error:
            self._authentication.refund(caller)
            return self._reject(connection, error.status)
        except OverloadedError:
            self._authentication.refund(caller)
            full = refusal(Reason.MEMORY_FULL, retry_after_ms=retry_after.DEFAULT_MS)
            return self._refuse(connection, request, full)
        call = self._call_builder.build(connection, request, route, caller, run)
        # The call has its own copy of the lines to forward.
        request.head.headers = EMPTY_BLOCK
        progress = CallProgress(call)
        if run is None:
            reply = self._dispatch_root(connection, progress, caller)
        else:
            reply = self._dispatch(connection, progress, run)
        if reply.outcome is Outcome.NOT_RUN:
            self._authentication.refund(caller)
        return self._finish(connection, request, progress, reply)

    def _read_body(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Read the body, or its first part, and charge the connection for the whole request.

        :raises UnreadableRequestError: if it cannot be read.
        :raises OverloadedError: if there is no room for it.
        """
        head_bytes = COPIES_OF_HEAD * len(request.head.headers.lines)
        self._hold(connection, head_bytes + expected_body_bytes(request.head))
        read_body(connection, request.head, request.table.limits)
        body_bytes = len(connection.body)
        if not connection.body_whole:
            body_bytes += STREAMED_BYTES
        self._hold(connection, head_bytes + body_bytes)
        self._connections.request_read(connection)

    def _dispatch_root(
        self, connection: CallerConnection, progress: CallProgress, caller: Caller
    ) -> Reply:
        """Dispatch a root request, unless it is ranked above the admission level of its route."""
        call = progress.call
        if self._root_admission.admits(call.route.name, call.root.rank):
            reply = self._dispatch(connection, progress, None)
        else:
            reply = refusal(Reason.ABOVE_ADMISSION_LEVEL, retry_after_ms=retry_after.ABOVE_LEVEL_MS)
        if not progress.cancelled:
            served = _failure_of(call, reply) is None
            self._tickets.record(caller.priority, call.root.ticket, served)
        return reply

    def _dispatch(
        self, connection: CallerConnection, progress: CallProgress, run: Run | None
    ) -> Reply:
        """Dispatch a call; cancel it if its caller disconnects."""
        self._disconnects.add(connection.stream, progress.cancel)
        if run is not None:
            run.calls_in_flight += 1
        try:
            reply = self._dispatcher.run(progress)
        finally:
            self._disconnects.remove(connection.stream)
        if run is not None:
            starved = reply.downstream_starved or reply.reason in WITHOUT_CAPACITY
            failure = _failure_of(progress.call, reply)
            run.record_call_end(failure, starved, progress.work)
            if failure is None:
                run.record_completed_call(progress.call.service)
            route = progress.call.route.name
            run.record_admission_level(route, self._root_admission.level(route))
        return reply

    def _refuse(self, connection: CallerConnection, request: CallerRequest, reply: Reply) -> bool:
        """Answer a request that is not dispatched; return whether the connection can be reused."""
        reusable = request.head.keep_alive and not self.stopping and connection.discard_body()
        status = self._writer.write_error(connection, request, reply, reusable)
        seconds = self._seconds_since_start(request)
        self._on_decision(decision_of_refused(request, reply, status, seconds))
        return self._end_request(connection, reusable)

    def _finish(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        progress: CallProgress,
        reply: Reply,
    ) -> bool:
        """Answer a dispatched request; return whether the connection can be reused."""
        if progress.cancelled:
            if reply.rest is not None:
                reply.rest.close()
            self._report_decision(request, progress, reply, _DISCONNECTED_STATUS)
            return False
        call = progress.call
        # Unread bytes of a large body may precede the next request.
        reusable = request.head.keep_alive and not self.stopping and call.rest is None
        if reply.outcome is Outcome.ANSWERED:
            status = reply.status
            reusable = self._write_worker_answer(connection, progress, reply, reusable)
        else:
            status = self._writer.write_error(connection, request, reply, reusable)
        self._report_decision(request, progress, reply, status)
        return self._end_request(connection, reusable)

    def _write_worker_answer(
        self, connection: CallerConnection, progress: CallProgress, reply: Reply, reusable: bool
    ) -> bool:
        """Write a worker's response; return whether the connection can serve another request."""
        call = progress.call
        written = self._writer.write_worker_answer(connection, reply, reusable, call.deadline)
        if reply.rest is not None and reply.rest.is_complete:
            seconds = self._runtime.monotonic() - call.started_at
            self._dispatcher.run_times.record(call.run_key, seconds)
        return written

    def _report_decision(
        self, request: CallerRequest, progress: CallProgress, reply: Reply, status: int
    ) -> None:
        seconds = self._seconds_since_start(request)
        self._on_decision(decision_of(request, progress, reply, status, seconds))

    def _seconds_since_start(self, request: CallerRequest) -> float:
        return self._runtime.monotonic() - request.started_at

    @staticmethod
    def _end_request(connection: CallerConnection, reusable: bool) -> bool:
        if reusable:
            connection.end_request()
        else:
            connection.linger()
        return reusable


def _failure_of(call: Call, reply: Reply) -> CallFailure | None:
    """Return the deepest known failure behind a worker's failed call; None if it succeeded."""
    if reply.outcome is Outcome.ANSWERED and reply.status < _FIRST_SERVER_ERROR:
        return None
    return reply.failure or CallFailure(call.service, reply.reason)
