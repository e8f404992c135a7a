"""HTTP/1.1 server based on gevent's WSGI server and the runtime's connections."""

from __future__ import annotations

import socket
import sys
from collections.abc import Iterator
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer, format_date_time

from cranklane.common.descriptor_limits import DescriptorLimits
from cranklane.common.planned_stop import PlannedStop
from cranklane.common.request_headers import RequestHeaders
from cranklane.errors import TruncatedAnswerError
from cranklane.runtime.interface import Address, Listener, Runtime

CONNECTION_KEY = "cranklane.connection"
"""Key of the caller's connection in the WSGI environment."""

MAX_CONNECTIONS = 10_000
"""Maximum number of open connections; fewer where there are not so many descriptors. Beyond it the
one that has waited longest for a request is closed, or the new one if none waits."""

IDLE_TIMEOUT_SECONDS = 60.0
"""Timeout for reads and writes on a connection; longer than clients keep idle ones."""


class _Handler(WSGIHandler):
    """Serves one connection and closes it after a truncated response."""

    provided_date: bytes | None
    headers: RequestHeaders

    def MessageClass(self, file: Any, *_: Any) -> RequestHeaders:  # noqa: N802
        return RequestHeaders.read(file)

    def _headers(self) -> Iterator[tuple[str, str]]:
        return self.headers.environment()

    def get_environ(self) -> dict[str, Any]:
        environment = super().get_environ()
        environment[CONNECTION_KEY] = self.socket
        return environment

    def handle_one_response(self) -> None:
        self.server.idle.pop(id(self.socket), None)
        self.server.unserved.pop(id(self.socket), None)
        self.server.requests_in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.server.requests_in_flight -= 1
            # Keeps a connection open if its response said so, even if the server
            # began to stop meanwhile: the client may be sending the next request.
            if self.socket is not None:
                self.server.idle[id(self.socket)] = self.socket

    def finalize_headers(self) -> None:
        if self.provided_date is None:
            # The base class would read the system clock instead of the runtime's.
            self.provided_date = format_date_time(self.server.runtime.wall())
            self.response_headers.append((b"Date", self.provided_date))
        if self.server.stopping:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        if isinstance(value, TruncatedAnswerError | OSError):
            # The missing last chunk, or a body shorter than its Content-Length, shows
            # the caller that the response is truncated.
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)

    def log_request(self) -> None:
        pass


class _Server(WSGIServer):
    handler_class = _Handler
    stopping = False
    requests_in_flight = 0
    runtime: Runtime
    idle: dict[int, Any]
    unserved: dict[int, Any]


class HttpServer:
    """An HTTP server with one task per connection.

    :param shared: whether a replacement process may listen on the port at the same time.
    :ivar address: listening address.
    :ivar connections: number of open connections.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        application: Any,
        shared: bool = True,
    ) -> None:
        self._server = _Server(address, application, log=None, error_log=sys.stderr)
        self._server.runtime = runtime
        self._server.idle = {}
        self._server.unserved = {}
        self._server.set_environ()
        self._server.environ["SERVER_NAME"] = address[0]
        self._server.environ["SERVER_PORT"] = str(address[1])
        self.connections = 0
        self._max_connections = min(MAX_CONNECTIONS, DescriptorLimits.of_process(0).callers)
        self._listener: Listener = runtime.listen(address, self._serve, shared)
        self.address = self._listener.address

    def _serve(self, connection: Any, address: Address) -> None:
        if self.connections >= self._max_connections and not self._close_longest_waiting():
            connection.close()
            return
        self.connections += 1
        self._server.unserved[id(connection)] = connection
        connection.settimeout(IDLE_TIMEOUT_SECONDS)
        try:
            self._server.handle(connection, address)
        finally:
            self.connections -= 1
            self._server.idle.pop(id(connection), None)
            self._server.unserved.pop(id(connection), None)
            connection.close()

    def _close_longest_waiting(self) -> bool:
        """Close a connection without a request in flight; return False without one.

        First those on which no request has ever arrived, then idle ones, the oldest first.
        """
        waiting = self._server.unserved or self._server.idle
        if not waiting:
            return False
        connection = waiting.pop(next(iter(waiting)))
        try:
            # Ends the read of its task, which a close alone does not do.
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The client has closed it already.
            pass
        return True

    def stop_accepting(self) -> None:
        """Close the port; each open connection closes after its next response."""
        self._server.stopping = True
        self._listener.close()

    def finish(self, stop: PlannedStop) -> bool:
        """Close the port and wait for the requests in flight, until the stop's end at most.

        :returns: whether all of them have been answered.
        """
        self.stop_accepting()
        return stop.wait_until_idle(lambda: self._server.requests_in_flight > 0)

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for connection in list(self._server.idle.values()):
            connection.close()
