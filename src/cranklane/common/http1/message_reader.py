"""Base of the readers: receives bytes and parses one message at a time with ``httptools``.

Received bytes are kept as they are until they are needed: the parser gets a head once it is
complete, and nothing beyond the end of the current message. So neither an unfinished head nor what
follows a message costs more memory than its bytes. Bodies are pulled in pieces: a slow consumer
applies backpressure to the sender, and large bodies are not kept in memory.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

import httptools

from cranklane.common.http1.header_block import EMPTY_BLOCK, HeaderBlock
from cranklane.common.http1.message import (
    Framing,
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
    framing_of,
)
from cranklane.common.http1.parsing_turns import PARSE_AT_ONCE, ParsingTurns

RECEIVE_BYTES = 64 * 1024
"""Buffer size of one receive call for a body."""

RECEIVE_CHUNKED_BYTES = 16 * 1024
"""The same for a chunked body, whose parsing takes longer: bounds the time between two tasks."""

MAX_START_LINE_BYTES = 64
"""Bytes of a start line beside the request target: method, spaces, version and line end."""

_LINE_END = b"\r\n"
_EMPTY_LINE = b"\r\n\r\n"
"""Ends each head, and each chunked body with its trailers."""

_NOT_SERVED_WITH_UPGRADE = (b"CONNECT", b"")
"""Methods whose message is another protocol's from its end on; a response has none."""

_EMPTY_LINE_PARTS = (b"\r\n\r", b"\r\n", b"\r", b"")
"""Beginnings of an empty line of which the rest may arrive later."""


@dataclass(slots=True)
class Message:
    """A message, possibly only partly parsed.

    :ivar begun: whether its first byte has been parsed.
    :ivar body_bytes_left: part of a body of known length that has not been parsed.
    """

    url: bytes = b""
    headers: HeaderBlock = EMPTY_BLOCK
    begun: bool = False
    head_done: bool = False
    done: bool = False
    pieces: list[bytes] = field(default_factory=list)
    method: bytes = b""
    status: int = 0
    keep_alive: bool = True
    framing: Framing = Framing.NONE
    length: int = 0
    body_bytes_left: int = 0


class MessageReader:
    """Base of the request and response readers.

    :ivar turns: bounds the share of the time that is spent on parsing long heads.
    """

    def __init__(self, connection: Any, max_head_bytes: int) -> None:
        self._connection = connection
        self._max_head_bytes = max_head_bytes
        self._received = b""
        self._message = Message()
        self._error: str = ""
        self._head_bytes = 0
        self._framing_bytes = 0
        self._upgrade_requested = False
        self._ended = False
        self._deadline = inf
        self._clock: Callable[[], float] | None = None
        self._parser = self._new_parser()
        self.turns: ParsingTurns = PARSE_AT_ONCE

    def _new_parser(self) -> Any:
        raise NotImplementedError

    def _head_parsed(self, message: Message) -> None:
        raise NotImplementedError

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Note the begin of the message; nothing of a second one is parsed meanwhile."""
        if self._message.begun:
            self._error = "bytes of another message follow within this one"
        self._message.begun = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._message.url += url

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self._head_parsed(self._message)
        self._message.head_done = True

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        if data:
            self._message.pieces.append(data)

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self._message.done = True

    # Receiving and parsing.

    @property
    def started(self) -> bool:
        """Whether any part of an unread message has been received."""
        return self._message.begun or bool(self._received)

    def _receive(self, size: int) -> bool:
        """Receive up to ``size`` bytes; return False at the end of the connection."""
        if self._ended:
            return False
        if self._clock is not None:
            self._limit_receive_time(self._deadline - self._clock())
        data = self._connection.recv(size)
        if not data:
            # Avoids another blocking receive on the ended connection.
            self._ended = True
            return False
        self._received = self._received + data if self._received else data
        return True

    def _limit_receive_time(self, remaining: float) -> None:
        if remaining <= 0:
            raise TimeoutError
        self._connection.settimeout(remaining)

    def _feed(self, data: bytes) -> None:
        """Parse bytes; an error is kept until the part before it has been read."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._upgrade_requested = True
        except httptools.HttpParserError as error:
            self._error = str(error) or type(error).__name__

    def _take(self, size: int) -> bytes:
        """Remove and return the first received bytes."""
        data = self._received
        if size >= len(data):
            self._received = b""
            return data
        self._received = data[size:]
        return data[:size]

    # Heads.

    def _parse_head(self) -> None:
        """Parse the head if it has been received whole, else the start line alone.

        The start line is parsed as it arrives, since it shows whether the bytes are HTTP.
        """
        while not (self._message.head_done or self._error):
            if not self._message.begun:
                self._skip_empty_lines()
            end = self._received.find(_EMPTY_LINE)
            if end < 0:
                self._parse_start_line()
                return
            head = self._take(end + len(_EMPTY_LINE))
            self._head_bytes += len(head)
            if self._head_bytes > self._max_head_bytes + MAX_START_LINE_BYTES:
                # Too large, as _head_room tells.
                return
            self.turns.take(head, self._feed)
            self._head_fed(head)

    def _skip_empty_lines(self) -> None:
        """Drop empty lines before a message; they are no part of it and do not begin one."""
        message = self._received.lstrip(_LINE_END)
        self._head_bytes += len(self._received) - len(message)
        self._received = message

    def _parse_start_line(self) -> None:
        if self._message.begun:
            return
        end = self._received.find(_LINE_END)
        # The line end is left, so that it is found whole.
        start_line = self._received.rstrip(b"\r") if end < 0 else self._received[:end]
        if start_line:
            self._head_bytes += len(start_line)
            self._received = self._received[len(start_line) :]
            self._feed(start_line)

    def _head_fed(self, head: bytes) -> None:
        """Keep the header lines of a head that the parser has accepted.

        :param head: the rest of the start line, the header lines and the empty line.
        """
        message = self._message
        if not message.head_done or self._error:
            return
        message.headers = HeaderBlock(head.partition(_LINE_END)[2][: -len(_LINE_END)])
        message.framing, message.length = framing_of(message.headers)
        if message.framing is Framing.LENGTH:
            message.body_bytes_left = message.length
        if self._upgrade_requested:
            self._ignore_upgrade()
        if message.pieces:
            # The parser saw the end of the head before its empty line.
            self._error = "the head does not end with an empty line"

    def _ignore_upgrade(self) -> None:
        """Serve a request that offers another protocol as if it did not (RFC 9110, 7.8).

        The parser does not go on after it, so it must have no body, and the connection closes.
        """
        message = self._message
        if message.framing is not Framing.NONE or message.method in _NOT_SERVED_WITH_UPGRADE:
            self._error = "protocol upgrades are not supported"
        message.done = True
        message.keep_alive = False

    def _head_room(self) -> int:
        """Return how many bytes the head may still get; negative if it is too large.

        The limit applies to the header lines and the request target. Of an incomplete head it is
        not known which bytes these are.
        """
        message = self._message
        if message.head_done:
            return self._max_head_bytes - len(message.headers.lines) - len(message.url)
        allowed = self._max_head_bytes + MAX_START_LINE_BYTES
        return allowed - self._head_bytes - len(self._received)

    def _next_head(self) -> Message | None:
        """Return the next message once its head is complete; None at a clean end.

        :raises MalformedMessageError: if the bytes are not a valid head.
        :raises HeadTooLargeError: if the head exceeds the limit.
        :raises TruncatedMessageError: if the connection ends within the head.
        """
        while True:
            self._parse_head()
            if self._error:
                raise MalformedMessageError(self._error)
            room = self._head_room()
            if room < 0:
                raise HeadTooLargeError
            if self._message.head_done:
                return self._message
            if not self._receive(room + 1):
                if self.started:
                    raise TruncatedMessageError
                return None

    # Bodies.

    def _parse_body(self) -> None:
        """Parse what has been received of the body, and nothing after its end."""
        message = self._message
        if message.framing is Framing.LENGTH:
            data = self._take(message.body_bytes_left)
            message.body_bytes_left -= len(data)
            self._feed(data)
        elif message.framing is Framing.CHUNKED:
            self._parse_chunks()
        elif not message.done:
            self._feed(self._take(len(self._received)))

    def _parse_chunks(self) -> None:
        """Parse a chunked body up to each empty line in turn, as it ends with one of them.

        An empty line may also be part of the data, and may arrive in two parts.
        """
        message = self._message
        while self._received and not (message.done or self._error):
            end = self._received.find(_EMPTY_LINE)
            if end < 0:
                begun = next(part for part in _EMPTY_LINE_PARTS if self._received.endswith(part))
                self._feed(self._take(len(self._received) - len(begun)))
                return
            self._feed(self._take(end + len(_EMPTY_LINE)))

    def _receive_body(self) -> bool:
        """Receive and parse the next bytes of the body; return False at the connection's end.

        :raises MalformedMessageError: if chunk headers and trailers exceed the size of a head.
        """
        chunked = self._message.framing is Framing.CHUNKED
        if not self._receive(RECEIVE_CHUNKED_BYTES if chunked else RECEIVE_BYTES):
            if not self._received:
                return False
            # The beginning of an empty line that does not come.
            self._feed(self._take(len(self._received)))
            return True
        received = len(self._received)
        self._parse_body()
        if self._message.pieces:
            self._framing_bytes = 0
        elif chunked:
            self._framing_bytes += received
            if self._framing_bytes > self._max_head_bytes + RECEIVE_CHUNKED_BYTES:
                raise MalformedMessageError("trailers or chunk extensions are too large")
        return True

    def _next_piece(self) -> bytes:
        """Return the next piece of the current body, empty at its end."""
        message = self._message
        if self._received and not (message.pieces or message.done):
            self._parse_body()
        while not message.pieces:
            if message.done:
                return b""
            if self._error:
                raise MalformedMessageError(self._error)
            if not self._receive_body():
                raise TruncatedMessageError
        return self._take_pieces()

    def _take_pieces(self) -> bytes:
        pieces = self._message.pieces
        if len(pieces) == 1:
            return pieces.pop()
        data = b"".join(pieces)
        pieces.clear()
        return data

    def take_buffered_body(self) -> tuple[bytes, bool]:
        """Remove and return the buffered part of the body, and whether it is the last part."""
        if self._received and not self._message.done:
            self._parse_body()
        return self._take_pieces(), self._message.done

    def finish(self) -> None:
        """Remove the current message after its body has been read."""
        self._message = Message()
        self._head_bytes = 0
        self._framing_bytes = 0
