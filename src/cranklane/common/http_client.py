"""HTTP/1.1 requests on pooled connections of the runtime, sent exactly once.

The pool and the parser are geventhttpclient's. Its own ``request`` may send a
request a second time on a fresh connection, which this product must not do.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from cranklane.errors import AnswerCutError
from cranklane.runtime.interface import Address, Runtime, format_address

CONNECT_SECONDS = 1.0
"""Seconds a server has to take a connection. A choice: a server that takes longer is as good as
gone for a call."""

DEFAULT_CONCURRENCY = 64
"""Requests at once to one server. A choice: enough for an operator's tool."""

DEFAULT_TIMEOUT_SECONDS = 10.0
"""Seconds without a byte after which a request fails. A choice: for calls without a deadline."""

READ_SIZE = 64 * 1024
"""Bytes asked of the kernel at once when reading a body. A choice: most bodies come
in one piece."""

_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE"})
_PARSER_ERRORS = (HTTPParseError, OSError, ValueError)


class HttpRequestError(Exception):
    """No answer came.

    :ivar sent: whether any byte of the request may have reached the server.
    :ivar timed_out: whether the time for it was up.
    """

    def __init__(self, text: str, sent: bool, timed_out: bool = False) -> None:
        super().__init__(text)
        self.sent = sent
        self.timed_out = timed_out


class _Pool(ConnectionPool):
    def __init__(self, runtime: Runtime, address: Address, size: int, timeout: float) -> None:
        super().__init__(*address, *address, size=size, connection_timeout=timeout)
        self._runtime = runtime
        self._address = address

    def _create_socket(self) -> Any:
        return self._runtime.connect(self._address, self.connection_timeout)

    def _is_socket_alive(self, sock: Any) -> bool:
        return not self._runtime.hung_up([sock])


class _Response(HTTPSocketPoolResponse):
    """Adds reading what is there without waiting for a full block."""

    def read_some(self) -> bytes:
        """Return body bytes as they come, and nothing once the body is whole."""
        try:
            while not self._body_buffer and not self.message_complete:
                if self._sock is None:
                    raise AnswerCutError("the connection is closed")
                data = self._sock.recv(READ_SIZE)
                if not data:
                    raise AnswerCutError("the connection ended before the answer did")
                self.feed(data)
        except _PARSER_ERRORS as error:
            self.release()
            raise AnswerCutError(str(error)) from error
        except AnswerCutError:
            self.release()
            raise
        taken = bytes(self._body_buffer)
        del self._body_buffer[:]
        return taken


class HttpResponse:
    """An answer whose head has come; its body is read piece by piece.

    :ivar status: HTTP status.
    :ivar headers: (name, value) in the order they came.
    """

    def __init__(self, response: _Response) -> None:
        self._response = response
        self.status: int = response.status_code
        self.headers: list[tuple[str, str]] = [
            (name, str(value)) for name, value in response.items()
        ]

    @property
    def whole(self) -> bool:
        """Whether the last byte of the answer has come."""
        return bool(self._response.message_complete)

    def body(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        :raises AnswerCutError: when it ends before its last byte.
        """
        while data := self._response.read_some():
            yield data

    def read(self) -> bytes:
        """Return the whole body.

        :raises AnswerCutError: when it ends before its last byte.
        """
        return b"".join(self.body())

    def close(self) -> None:
        """Give the connection back, or end it when the answer is not read whole."""
        self._response.release()


class HttpClient:
    """Keeps connections to one server.

    :param concurrency: requests at once at most; more wait for a connection.
    """

    def __init__(
        self, runtime: Runtime, address: Address, concurrency: int = DEFAULT_CONCURRENCY
    ) -> None:
        self._pool = _Pool(runtime, address, concurrency, CONNECT_SECONDS)
        self._host = format_address(address)

    def connect(self) -> Any:
        """Take a connection from the pool, opening one when none is idle.

        :raises HttpRequestError: when the server takes no connection.
        """
        try:
            return self._pool.get_socket()
        except OSError as error:
            raise HttpRequestError(str(error), sent=False) from error

    def give_back(self, connection: Any) -> None:
        """Return a connection on which nothing was sent."""
        self._pool.return_socket(connection)

    def request(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        connection: Any = None,
    ) -> HttpResponse:
        """Send one request once and return when the answer's head is there.

        :param timeout: seconds without a byte from the server.
        :param connection: one taken by :meth:`connect`, or None to take one.
        :raises HttpRequestError: when no head came.
        """
        if connection is None:
            connection = self.connect()
        try:
            data = self._encode(method, path, headers, body)
        except HttpRequestError:
            self.give_back(connection)
            raise
        self._send(connection, data, timeout)
        return self._read_head(connection, method)

    def _send(self, connection: Any, data: bytes, timeout: float) -> None:
        try:
            connection.settimeout(timeout)
            connection.sendall(data)
        except OSError as error:
            self._pool.release_socket(connection)
            raise HttpRequestError(str(error), sent=True) from error

    def _read_head(self, connection: Any, method: str) -> HttpResponse:
        try:
            response = _Response(connection, self._pool, block_size=READ_SIZE, method=method)
        except _PARSER_ERRORS as error:
            timed_out = isinstance(error, TimeoutError)
            raise HttpRequestError(str(error), sent=True, timed_out=timed_out) from error
        return HttpResponse(response)

    def _encode(
        self, method: str, path: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in _NO_BODY_METHODS:
            lines.append(f"Content-Length: {len(body)}")
        if any("\r" in line or "\n" in line for line in lines):
            raise HttpRequestError("line end inside a header", sent=False)
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
