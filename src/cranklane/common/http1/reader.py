"""Reads HTTP/1.1 messages from a connection with the ``httptools`` parser.

Bodies are pulled in pieces: a slow consumer applies backpressure to the sender, and
large bodies are not kept in memory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf
from typing import Any

import httptools

from cranklane.common.http1.message import (
    AnswerHead,
    Framing,
    Header,
    HeadTooLargeError,
    MalformedMessageError,
    RequestHead,
    TruncatedMessageError,
    framing_of,
    is_final_status,
    is_interim_status,
)

RECEIVE_BYTES = 64 * 1024
"""Buffer size of one receive call."""

_NO_BODY_STATUS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


@dataclass(slots=True)
class _Message:
    """A message, possibly only partly parsed."""

    url: bytes = b""
    headers: list[Header] = field(default_factory=list)
    head_done: bool = False
    done: bool = False
    pieces: deque[bytes] = field(default_factory=deque)
    method: bytes = b""
    status: int = 0
    keep_alive: bool = True


class _MessageReader:
    """Base of the request and response readers."""

    def __init__(self, connection: Any, max_head_bytes: int) -> None:
        self._connection = connection
        self._max_head_bytes = max_head_bytes
        self._messages: deque[_Message] = deque()
        self._parsing = _Message()
        self._error: str = ""
        self._head_bytes = 0
        self._ended = False
        self._deadline = inf
        self._clock: Callable[[], float] | None = None
        self._parser = self._new_parser()

    def _new_parser(self) -> Any:
        raise NotImplementedError

    def _head_parsed(self, message: _Message) -> None:
        raise NotImplementedError

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Add an empty message to the queue."""
        self._parsing = _Message()
        self._messages.append(self._parsing)

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._parsing.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are dropped."""
        message = self._parsing
        if not message.head_done:
            message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        message = self._parsing
        self._head_parsed(message)
        message.head_done = True
        self._head_bytes = 0

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        if data:
            self._parsing.pieces.append(data)

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self._parsing.done = True

    @property
    def started(self) -> bool:
        """Whether any part of an unread message has been received."""
        return self._head_bytes > 0 or bool(self._messages)

    def _receive(self) -> bool:
        """Receive and parse the next bytes; return False at the end of the connection."""
        if self._ended:
            return False
        if self._clock is not None:
            self._limit_receive_time(self._deadline - self._clock())
        data = self._connection.recv(RECEIVE_BYTES)
        if not data:
            # Avoids another blocking receive on the ended connection.
            self._ended = True
            return False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = "protocol upgrades are not supported"
        except httptools.HttpParserError as error:
            self._error = str(error) or type(error).__name__
        if not self._parsing.head_done:
            self._head_bytes += len(data)
        return True

    def _limit_receive_time(self, remaining: float) -> None:
        if remaining <= 0:
            raise TimeoutError
        self._connection.settimeout(remaining)

    def _next_head(self) -> _Message | None:
        """Return the next message once its head is complete; None at a clean end."""
        while not (self._messages and self._messages[0].head_done):
            if self._error:
                raise MalformedMessageError(self._error)
            if self._head_bytes > self._max_head_bytes:
                raise HeadTooLargeError
            if not self._receive():
                if self.started:
                    raise TruncatedMessageError
                return None
        message = self._messages[0]
        if (
            sum(len(name) + len(value) + 4 for name, value in message.headers) + len(message.url)
            > self._max_head_bytes
        ):
            raise HeadTooLargeError
        return message

    def _next_piece(self) -> bytes:
        """Return the next piece of the current body, empty at its end."""
        message = self._messages[0]
        while not message.pieces:
            if message.done:
                return b""
            if self._error:
                raise MalformedMessageError(self._error)
            if not self._receive():
                raise TruncatedMessageError
        return message.pieces.popleft()

    def take_buffered_body(self) -> tuple[bytes, bool]:
        """Remove and return the buffered part of the body, and whether it is the last part."""
        message = self._messages[0]
        data = b"".join(message.pieces)
        message.pieces.clear()
        return data, message.done

    def finish(self) -> None:
        """Remove the current message after its body has been read."""
        self._messages.popleft()


class RequestReader(_MessageReader):
    """Reads requests from a caller's connection."""

    def _new_parser(self) -> Any:
        return httptools.HttpRequestParser(self)

    def _head_parsed(self, message: _Message) -> None:
        message.method = self._parser.get_method()
        message.keep_alive = self._parser.should_keep_alive()

    def next_head(
        self, idle_seconds: float, head_seconds: float, clock: Callable[[], float]
    ) -> RequestHead | None:
        """Return the next request's head; None if the caller has closed the connection.

        :param idle_seconds: maximum wait for the first byte of the request.
        :param head_seconds: maximum time from the first byte to the end of the head.
        :raises TimeoutError: if one of these limits is exceeded.
        :raises MalformedMessageError: if the bytes are not a valid request.
        :raises HeadTooLargeError: if the head exceeds the limit.
        :raises TruncatedMessageError: if the connection ends within a head.
        :raises OSError: if the connection fails.
        """
        self._wait_for_head(idle_seconds, head_seconds, clock)
        message = self._next_head()
        if message is None:
            return None
        framing, length = framing_of(message.headers)
        return RequestHead(
            message.method, message.url, message.headers, framing, length, message.keep_alive
        )

    def _wait_for_head(
        self, idle_seconds: float, head_seconds: float, clock: Callable[[], float]
    ) -> None:
        """Receive until a complete head, a parse error or the end of the connection."""
        deadline = clock() + head_seconds
        idle = not self.started
        while not self._error and not (self._messages and self._messages[0].head_done):
            if idle:
                self._connection.settimeout(idle_seconds)
            else:
                remaining = deadline - clock()
                if remaining <= 0:
                    raise TimeoutError
                self._connection.settimeout(remaining)
            if self._head_bytes > self._max_head_bytes or not self._receive():
                return
            if idle:
                idle = False
                deadline = clock() + head_seconds

    def next_piece(self) -> bytes:
        """Return the next piece of the body, empty at its end.

        :raises MalformedMessageError: if the body's framing is invalid.
        :raises TruncatedMessageError: if the connection ends before the body does.
        """
        return self._next_piece()


class AnswerReader(_MessageReader):
    """Reads responses from a server's connection."""

    def __init__(self, connection: Any, max_head_bytes: int) -> None:
        super().__init__(connection, max_head_bytes)
        self._bodiless = False
        self._until_close = False

    def _new_parser(self) -> Any:
        return httptools.HttpResponseParser(self)

    def _head_parsed(self, message: _Message) -> None:
        message.status = self._parser.get_status_code()
        message.keep_alive = self._parser.should_keep_alive()

    def next_head(self, bodiless: bool = False) -> AnswerHead:
        """Return the head of the next final response; interim ones are skipped.

        :param bodiless: whether the response has no body because the request was a HEAD.
        :raises MalformedMessageError: if the bytes are not a valid response, also by their status.
        :raises TruncatedMessageError: if the connection ends first.
        """
        message = self._next_response()
        while not is_final_status(message.status):
            if not is_interim_status(message.status):
                raise MalformedMessageError(f"{message.status:03} is no status of a response")
            self._messages.popleft()
            message = self._next_response()
        framing, length = framing_of(message.headers)
        self._bodiless = bodiless
        keep_alive = message.keep_alive
        if bodiless or message.status in _NO_BODY_STATUS:
            framing, length = Framing.NONE, 0
            keep_alive = keep_alive and message.done
            message.done = True
        elif framing is Framing.NONE:
            framing = Framing.UNTIL_CLOSE
            keep_alive = False
        self._until_close = framing is Framing.UNTIL_CLOSE
        return AnswerHead(message.status, message.headers, framing, length, keep_alive)

    def _next_response(self) -> _Message:
        message = self._next_head()
        if message is None:
            raise TruncatedMessageError
        return message

    def next_piece(self) -> bytes:
        """Return the next piece of the body, empty at its end.

        A body delimited by the end of the connection is complete only after a clean close.

        :raises MalformedMessageError: if the body's framing is invalid.
        :raises TruncatedMessageError: if the connection ends before the body does.
        :raises OSError: if the connection fails.
        """
        try:
            return self._next_piece()
        except TruncatedMessageError:
            if not self._until_close:
                raise
            self._messages[0].done = True
            return b""

    def receive_until(self, deadline: float, clock: Callable[[], float]) -> None:
        """Set the time after which reading raises TimeoutError, however fast bytes arrive.

        :param deadline: monotonic second.
        """
        self._deadline = deadline
        self._clock = clock

    def skip_body(self, max_bytes: int) -> bool:
        """Read and discard the body; return False once it is larger than ``max_bytes``."""
        size = 0
        while data := self.next_piece():
            size += len(data)
            if size > max_bytes:
                return False
        return True

    @property
    def surplus(self) -> bool:
        """Whether bytes were received after the end of the current response."""
        return bool(self._error) or len(self._messages) > 1
