"""Reads HTTP/1.1 messages from a connection, piece by piece, with ``httptools``.

The parser is the library's; this module turns its callbacks into a head that
is returned once and a body that is pulled in pieces, so that a slow reader on
one side slows the sender on the other and no large body is kept in memory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

from cranklane.common.http1.message import (
    AnswerHead,
    Framing,
    Header,
    HeadTooLargeError,
    MalformedMessageError,
    MessageCutError,
    RequestHead,
    framing_of,
)

RECEIVE_BYTES = 64 * 1024
"""Bytes asked of the kernel at once. A choice: most requests and answers come in one piece."""

_NO_BODY_STATUS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
_FIRST_FINAL_STATUS = int(HTTPStatus.OK)
"""Answers below it are interim (1xx) and skipped."""


@dataclass(slots=True)
class _Message:
    """One message as far as it has been parsed."""

    url: bytes = b""
    headers: list[Header] = field(default_factory=list)
    head_done: bool = False
    done: bool = False
    pieces: deque[bytes] = field(default_factory=deque)
    method: bytes = b""
    status: int = 0
    keep_alive: bool = True


class _MessageReader:
    """Reads messages from one connection; the base of both directions."""

    def __init__(self, connection: Any, max_head_bytes: int) -> None:
        self._connection = connection
        self._max_head_bytes = max_head_bytes
        self._messages: deque[_Message] = deque()
        self._parsing = _Message()
        self._error: str = ""
        self._head_bytes = 0
        self._ended = False
        self._parser = self._new_parser()

    def _new_parser(self) -> Any:
        raise NotImplementedError

    def _head_parsed(self, message: _Message) -> None:
        raise NotImplementedError

    # Callbacks of the library.

    def on_message_begin(self) -> None:
        """Start a message."""
        self._parsing = _Message()
        self._messages.append(self._parsing)

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request target."""
        self._parsing.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those after the body are dropped."""
        message = self._parsing
        if not message.head_done:
            message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take that the head is whole."""
        message = self._parsing
        self._head_parsed(message)
        message.head_done = True
        self._head_bytes = 0

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if data:
            self._parsing.pieces.append(data)

    def on_message_complete(self) -> None:
        """Take that the message is whole."""
        self._parsing.done = True

    # Reading.

    @property
    def started(self) -> bool:
        """Whether bytes of a message not yet returned have come."""
        return self._head_bytes > 0 or bool(self._messages)

    def _receive(self) -> bool:
        """Parse the next bytes; return False at the end of the connection."""
        if self._ended:
            return False
        data = self._connection.recv(RECEIVE_BYTES)
        if not data:
            # Asked again, the kernel would have to be waited for once more.
            self._ended = True
            return False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = "an upgrade of the protocol is not spoken"
        except httptools.HttpParserError as error:
            self._error = str(error) or type(error).__name__
        if not self._parsing.head_done:
            self._head_bytes += len(data)
        return True

    def _next_head(self) -> _Message | None:
        """Return the next message once its head is whole; None at a clean end."""
        while not (self._messages and self._messages[0].head_done):
            if self._error:
                raise MalformedMessageError(self._error)
            if self._head_bytes > self._max_head_bytes:
                raise HeadTooLargeError
            if not self._receive():
                if self.started:
                    raise MessageCutError
                return None
        message = self._messages[0]
        if (
            sum(len(name) + len(value) + 4 for name, value in message.headers) + len(message.url)
            > self._max_head_bytes
        ):
            raise HeadTooLargeError
        return message

    def _next_piece(self) -> bytes:
        """Return the next piece of the current body, nothing at its end."""
        message = self._messages[0]
        while not message.pieces:
            if message.done:
                return b""
            if self._error:
                raise MalformedMessageError(self._error)
            if not self._receive():
                raise MessageCutError
        return message.pieces.popleft()

    def body_so_far(self) -> tuple[bytes, bool]:
        """Return what of the body is parsed already, and whether that is its end."""
        message = self._messages[0]
        data = b"".join(message.pieces)
        message.pieces.clear()
        return data, message.done

    def finish(self) -> None:
        """Forget the current message, whose body has been read."""
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
        """Return the next request's head; None when the caller has closed.

        :param idle_seconds: how long the caller may rest before its first byte.
        :param head_seconds: how long it may then take for the whole head.
        :raises TimeoutError: when it takes longer.
        :raises MalformedMessageError: when the bytes are no request.
        :raises HeadTooLargeError: when the head is over the limit.
        :raises MessageCutError: when the connection ends within a head.
        :raises OSError: when the connection breaks, or stays silent too long.
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
        """Receive until a head is there, or an error, or the end."""
        ends_at = clock() + head_seconds
        resting = not self.started
        while not self._error and not (self._messages and self._messages[0].head_done):
            if resting:
                self._connection.settimeout(idle_seconds)
            else:
                left = ends_at - clock()
                if left <= 0:
                    raise TimeoutError
                self._connection.settimeout(left)
            if self._head_bytes > self._max_head_bytes or not self._receive():
                return
            if resting:
                resting = False
                ends_at = clock() + head_seconds

    def next_piece(self) -> bytes:
        """Return the next piece of the body, nothing at its end.

        :raises MalformedMessageError: when its framing is broken.
        :raises MessageCutError: when the connection ends before the body does.
        """
        return self._next_piece()


class AnswerReader(_MessageReader):
    """Reads answers from a server's connection."""

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
        """Return the next final answer's head.

        :param bodiless: whether the request was one whose answer has no body (HEAD).
        :raises MalformedMessageError: when the bytes are no answer.
        :raises MessageCutError: when the connection ends first.
        """
        while True:
            message = self._next_head()
            if message is None:
                raise MessageCutError
            if message.status >= _FIRST_FINAL_STATUS:
                break
            self._messages.popleft()
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

    def next_piece(self) -> bytes:
        """Return the next piece of the body, nothing at its end.

        A body that ends with its connection is whole only after a clean close;
        a reset raises OSError.

        :raises MessageCutError: when the connection ends before the body does.
        """
        try:
            return self._next_piece()
        except MessageCutError:
            if not self._until_close:
                raise
            self._messages[0].done = True
            return b""

    @property
    def surplus(self) -> bool:
        """Whether bytes came after the current answer, which is whole."""
        return bool(self._error) or len(self._messages) > 1
