"""HTTP/1.1 client with a connection pool that never sends a request twice.

Uses the pool and the parser of geventhttpclient, but not its ``request``, which may
resend a request on a new connection.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPSocketPoolResponse,
)

from cranklane.common.http1.message import is_final_status, is_interim_status
from cranklane.errors import TruncatedAnswerError
from cranklane.runtime.interface import Address, Runtime, format_address

CONNECT_TIMEOUT_SECONDS = 1.0
"""Connection timeout."""

DEFAULT_CONCURRENCY = 64
"""Maximum number of concurrent requests to one server."""

DEFAULT_TIMEOUT_SECONDS = 10.0
"""Seconds without a received byte after which a request without a deadline fails."""

RECEIVE_BYTES = 64 * 1024
"""Buffer size of one receive call."""

_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE"})
_PARSER_ERRORS = (HTTPParseError, OSError, ValueError)


class HttpRequestError(Exception):
    """A request failed before the head of its response was received.

    :ivar sent: whether any byte of the request may have reached the server.
    :ivar timed_out: whether the request timed out.
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
        # Bytes that arrive without a request belong to no response.
        return not self._runtime.has_input(sock)


class _Response(HTTPSocketPoolResponse):
    """A response that ends with its last byte and keeps its connection until it is released.

    The base class returns the connection to the pool once the response is complete, while its
    user may still close it, and takes bytes after the response for a part of it.
    """

    _ended = False
    _has_surplus = False

    def _on_headers_complete(self) -> int | bool | None:
        status = self.get_code()
        if not is_final_status(status) and not is_interim_status(status):
            raise HTTPProtocolViolationError(f"{status:03} is no status of a response")
        return super()._on_headers_complete()

    def _on_message_begin(self) -> None:
        if self._ended:
            raise HTTPProtocolViolationError("bytes follow the end of the response")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        self.message_complete = True
        # An interim response is followed by the final one.
        self._ended = is_final_status(self.get_code())

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes; those after the end of the response are dropped."""
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._ended:
                raise
            self._has_surplus = True

    def should_close(self) -> bool:
        """Return whether the connection cannot be reused."""
        return self._has_surplus or super().should_close()

    def release(self) -> None:
        """Close the connection of an incomplete response; keep that of a complete one."""
        if not self._ended:
            super().release()

    def close(self) -> None:
        """Return the connection to the pool, or close it if it cannot be reused."""
        super().release()

    def read_available(self) -> bytes:
        """Wait for and return the next body bytes; empty at the end of the body."""
        try:
            while not self._body_buffer and not self.message_complete:
                if self._sock is None:
                    raise TruncatedAnswerError("the connection is closed")
                data = self._sock.recv(RECEIVE_BYTES)
                if not data:
                    raise TruncatedAnswerError(
                        "the connection ended before the end of the response"
                    )
                self.feed(data)
        except _PARSER_ERRORS as error:
            self.release()
            raise TruncatedAnswerError(str(error)) from error
        except TruncatedAnswerError:
            self.release()
            raise
        body = bytes(self._body_buffer)
        del self._body_buffer[:]
        return body


class HttpResponse:
    """A response with its head received and its body read on demand.

    :ivar status: HTTP status.
    :ivar headers: (name, value) in the order received.
    """

    def __init__(self, response: _Response) -> None:
        self._response = response
        self.status: int = response.status_code
        self.headers: list[tuple[str, str]] = [
            (name, str(value)) for name, value in response.items()
        ]

    @property
    def is_complete(self) -> bool:
        """Whether the last byte of the response has been received."""
        return bool(self._response.message_complete)

    def body(self) -> Iterator[bytes]:
        """Yield the body as it is received.

        :raises TruncatedAnswerError: if the connection ends before the body does.
        """
        while data := self._response.read_available():
            yield data

    def read(self) -> bytes:
        """Return the complete body and close the response.

        :raises TruncatedAnswerError: if the connection ends before the body does.
        """
        try:
            return b"".join(self.body())
        finally:
            self.close()

    def close(self) -> None:
        """Return the connection to the pool, or close it if the response was not read fully."""
        self._response.close()


class HttpClient:
    """Sends requests to one server on pooled connections.

    :param concurrency: maximum number of connections; further requests wait for one.
    """

    def __init__(
        self, runtime: Runtime, address: Address, concurrency: int = DEFAULT_CONCURRENCY
    ) -> None:
        self._pool = _Pool(runtime, address, concurrency, CONNECT_TIMEOUT_SECONDS)
        self._host = format_address(address)

    def connect(self) -> Any:
        """Get a connection from the pool, opening one if none is idle.

        :raises HttpRequestError: if the connection cannot be opened.
        """
        try:
            return self._pool.get_socket()
        except OSError as error:
            raise HttpRequestError(str(error), sent=False) from error

    def give_back(self, connection: Any) -> None:
        """Return an unused connection to the pool."""
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
        """Send a request once, without retries, and wait for the head of the response.

        :param timeout: maximum seconds without a byte from the server.
        :param connection: connection from :meth:`connect`; None uses one from the pool.
        :raises HttpRequestError: if no head was received.
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
            response = _Response(connection, self._pool, block_size=RECEIVE_BYTES, method=method)
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
            raise HttpRequestError("the request line or a header contains a line break", sent=False)
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
