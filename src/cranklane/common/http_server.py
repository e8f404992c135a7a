"""HTTP/1.1 serving on the runtime's connections, by gevent's WSGI server."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer, format_date_time

from cranklane.common.request_headers import RequestHeaders
from cranklane.errors import AnswerCutError
from cranklane.runtime.interface import Address, Listener, Runtime

CONNECTION_KEY = "cranklane.connection"
"""Key of the WSGI environment under which the caller's connection stands."""

MAX_CONNECTIONS = 10_000
"""Connections of callers at once; further ones are closed. A choice: far above the callers of one
node, so that only a fault reaches it."""

IDLE_SECONDS = 60.0
"""Seconds for which a caller's connection may be silent, or take no bytes. A choice: longer than
clients keep idle connections."""


class _Handler(WSGIHandler):
    """Serves one connection; an answer cut short ends the connection."""

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
        try:
            super().handle_one_response()
        finally:
            # An answer whose head promised to keep the connection keeps it, also
            # when the server began to stop since: the client may be sending on it.
            if self.socket is not None:
                self.server.idle[id(self.socket)] = self.socket

    def finalize_headers(self) -> None:
        if self.provided_date is None:
            # The base class would ask the machine's clock, past the runtime.
            self.provided_date = format_date_time(self.server.runtime.wall())
            self.response_headers.append((b"Date", self.provided_date))
        if self.server.stopping:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        if isinstance(value, AnswerCutError | OSError):
            # Without the last chunk, or with fewer bytes than announced, the
            # caller's own library sees that the answer is not whole.
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)

    def log_request(self) -> None:
        pass


class _Server(WSGIServer):
    handler_class = _Handler
    stopping = False
    runtime: Runtime
    idle: dict[int, Any]


class HttpServer:
    """A listening HTTP server with one task for each connection.

    :param shared: whether a replacement may listen on the port at the same time.
    :ivar address: where it listens.
    :ivar connections: open now.
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
        self._server.set_environ()
        self._server.environ["SERVER_NAME"] = address[0]
        self._server.environ["SERVER_PORT"] = str(address[1])
        self.connections = 0
        self._listener: Listener = runtime.listen(address, self._serve, shared)
        self.address = self._listener.address

    def _serve(self, connection: Any, address: Address) -> None:
        if self.connections >= MAX_CONNECTIONS:
            connection.close()
            return
        self.connections += 1
        connection.settimeout(IDLE_SECONDS)
        try:
            self._server.handle(connection, address)
        finally:
            self.connections -= 1
            self._server.idle.pop(id(connection), None)
            connection.close()

    def stop_accepting(self) -> None:
        """Close the port; each open connection ends with its next answer."""
        self._server.stopping = True
        self._listener.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in flight."""
        for connection in list(self._server.idle.values()):
            connection.close()
