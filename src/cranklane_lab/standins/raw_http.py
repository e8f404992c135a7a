"""A caller that sees every byte: what came, and whether it looked whole."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cranklane.common.http1.message import MalformedMessageError, TruncatedMessageError
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class RawAnswer:
    """One answer.

    :ivar whole: whether its framing says that it is complete.
    :ivar closes: whether the far end ends the connection with it.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True
    closes: bool = False


class RawConnection:
    """A connection that sends requests as given and reads answers."""

    def __init__(self, runtime: Runtime, address: Address, timeout: float = 10.0) -> None:
        self.stream: Any = runtime.connect(address, 1.0)
        self.stream.settimeout(timeout)
        self._reader = AnswerReader(self.stream, MAX_HEAD_BYTES)

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.stream.sendall(data)

    def answer(self, bodiless: bool = False) -> RawAnswer | None:
        """Return the next answer; None when the connection ends without one."""
        try:
            head = self._reader.next_head(bodiless)
        except (OSError, TruncatedMessageError, MalformedMessageError):
            return None
        answer = RawAnswer(
            head.status,
            {name.decode().lower(): value.decode() for name, value in head.headers},
            closes=not head.keep_alive,
        )
        try:
            while piece := self._reader.next_piece():
                answer.body += piece
        except (OSError, TruncatedMessageError, MalformedMessageError):
            answer.whole = False
            return answer
        self._reader.finish()
        return answer

    def close(self) -> None:
        """Close it."""
        self.stream.close()


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request; its length is stated when it has a body."""
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
    """Send one request on a connection of its own; None without an answer."""
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
