"""A low-level HTTP client that exposes the framing of responses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cranklane.common.http1.message import (
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
)
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class RawAnswer:
    """A received response.

    :ivar headers: values by lower-case name.
    :ivar whole: whether it is complete by its framing.
    :ivar closes: whether the server closes the connection after it.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True
    closes: bool = False


class RawConnection:
    """A connection that sends raw request bytes and reads responses."""

    def __init__(self, runtime: Runtime, address: Address, timeout: float = 10.0) -> None:
        self.stream: Any = runtime.connect(address, 1.0)
        self.stream.settimeout(timeout)
        self._reader = AnswerReader(self.stream, MAX_HEAD_BYTES)

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.stream.sendall(data)

    def answer(self, bodiless: bool = False) -> RawAnswer | None:
        """Return the next response; None if the connection ends without one.

        :param bodiless: whether the response has no body, as one to HEAD.
        """
        try:
            head = self._reader.next_head(bodiless)
        except (OSError, HeadTooLargeError, TruncatedMessageError, MalformedMessageError):
            return None
        answer = RawAnswer(
            head.status,
            {name.decode().lower(): value.decode() for name, value in head.headers},
            closes=not head.keep_alive,
        )
        try:
            while chunk := self._reader.next_piece():
                answer.body += chunk
        except (OSError, TruncatedMessageError, MalformedMessageError):
            answer.whole = False
            return answer
        self._reader.finish()
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded request, with Content-Length if it has a body."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def exchange(
    runtime: Runtime,
    address: Address,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 10.0,
) -> RawAnswer | None:
    """Send one request on a new connection; return None without a response."""
    try:
        connection = RawConnection(runtime, address, timeout)
    except OSError:
        return None
    try:
        connection.send(request_bytes(method, path, headers, body))
        return connection.answer()
    except OSError:
        return None
    finally:
        connection.close()
