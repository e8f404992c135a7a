"""Reads requests and responses, see :mod:`cranklane.common.http1.message_reader`."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import httptools

from cranklane.common.http1.message import (
    AnswerHead,
    Framing,
    MalformedMessageError,
    RequestHead,
    TruncatedMessageError,
    is_final_status,
    is_interim_status,
)
from cranklane.common.http1.message_reader import Message, MessageReader

_NO_BODY_STATUS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


def _hold_any(_size: int) -> None:
    """Accept any number of held bytes."""


class RequestReader(MessageReader):
    """Reads requests from a caller's connection.

    :ivar on_hold: called with the number of bytes of an incomplete head before it waits for
        more; may raise OverloadedError.
    """

    def __init__(self, connection: Any, max_head_bytes: int) -> None:
        super().__init__(connection, max_head_bytes)
        self.on_hold: Callable[[int], None] = _hold_any

    def _new_parser(self) -> Any:
        return httptools.HttpRequestParser(self)

    def _head_parsed(self, message: Message) -> None:
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
        :raises OverloadedError: if the process has no room or time for the head.
        :raises TruncatedMessageError: if the connection ends within a head.
        :raises OSError: if the connection fails.
        """
        self._wait_for_head(idle_seconds, head_seconds, clock)
        message = self._next_head()
        if message is None:
            return None
        return RequestHead(
            message.method,
            message.url,
            message.headers,
            message.framing,
            message.length,
            message.keep_alive,
        )

    def _wait_for_head(
        self, idle_seconds: float, head_seconds: float, clock: Callable[[], float]
    ) -> None:
        """Receive until a complete head, an error or the end of the connection."""
        deadline = clock() + head_seconds
        self._parse_head()
        idle = not self.started
        while True:
            self._parse_head()
            room = self._head_room()
            if self._error or self._message.head_done or room < 0:
                return
            if idle:
                self._connection.settimeout(idle_seconds)
            else:
                remaining = deadline - clock()
                if remaining <= 0:
                    raise TimeoutError
                self._connection.settimeout(remaining)
                self.on_hold(len(self._received))
            if not self._receive(room + 1):
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


class AnswerReader(MessageReader):
    """Reads responses from a server's connection."""

    def __init__(self, connection: Any, max_head_bytes: int) -> None:
        super().__init__(connection, max_head_bytes)
        self._bodiless = False
        self._until_close = False

    def _new_parser(self) -> Any:
        return httptools.HttpResponseParser(self)

    def _head_parsed(self, message: Message) -> None:
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
            self.finish()
            message = self._next_response()
        framing, length = message.framing, message.length
        self._bodiless = bodiless
        keep_alive = message.keep_alive
        if bodiless or message.status in _NO_BODY_STATUS:
            framing, length = Framing.NONE, 0
            keep_alive = keep_alive and message.done
            message.done = True
        elif framing is Framing.NONE:
            framing = message.framing = Framing.UNTIL_CLOSE
            keep_alive = False
        self._until_close = framing is Framing.UNTIL_CLOSE
        return AnswerHead(message.status, message.headers, framing, length, keep_alive)

    def _next_response(self) -> Message:
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
            self._message.done = True
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
        return bool(self._error or self._received)
