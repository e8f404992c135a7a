"""A plain HTTP/1.1 reader and client for the stand-ins, and the record of a case."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class Reader:
    """Reads messages from a socket."""

    def __init__(self, stream: socket.socket) -> None:
        self.stream = stream
        self._buffer = b""

    def receive(self, size: int = 65536) -> bytes:
        """Return buffered bytes, or the next ones; empty at the end."""
        if self._buffer:
            data, self._buffer = self._buffer[:size], self._buffer[size:]
            return data
        return self.stream.recv(size)

    def head(self) -> tuple[str, dict[str, str]] | None:
        """Return the start line and the headers in lower case, or None at the end."""
        while b"\r\n\r\n" not in self._buffer:
            data = self.stream.recv(65536)
            if not data:
                return None
            self._buffer += data
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, size: int) -> bytes | None:
        """Return that many bytes, or None if the connection ends before."""
        parts = []
        while size > 0:
            data = self.receive(min(size, 65536))
            if not data:
                return None
            parts.append(data)
            size -= len(data)
        return b"".join(parts)

    def body(self, headers: dict[str, str]) -> bytes | None:
        """Return a whole body, or None if it is cut."""
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return self.exactly(int(headers.get("content-length", "0")))
        parts = []
        while True:
            line = b""
            while not line.endswith(b"\r\n"):
                data = self.exactly(1)
                if data is None:
                    return None
                line += data
            size = int(line.strip(), 16)
            data = self.exactly(size + 2)
            if data is None:
                return None
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])


def request(
    address: tuple[str, int],
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes | None]:
    """Send one request on a new connection.

    :returns: status (0 without an answer), headers and body (None if it is cut).
    """
    lines = {
        "Host": "shop.example",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    if body or method == "POST":
        lines["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    try:
        with socket.create_connection(address, timeout=1.0) as stream:
            stream.settimeout(deadline_ms / 1000)
            stream.sendall(head.encode() + b"\r\n" + body)
            reader = Reader(stream)
            answer = reader.head()
            if answer is None:
                return 0, {}, None
            status = int(answer[0].split()[1])
            return status, answer[1], reader.body(answer[1])
    except OSError:
        return 0, {}, None


def post(address: tuple[str, int], path: str, body: bytes, timeout: float = 1.0) -> Any:
    """Send a JSON body, as a worker does; return the status, 0 without an answer."""
    try:
        with socket.create_connection(address, timeout=timeout) as stream:
            stream.settimeout(timeout)
            head = (
                f"POST {path} HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            stream.sendall(head.encode() + body)
            answer = Reader(stream).head()
            return int(answer[0].split()[1]) if answer else 0
    except OSError:
        return 0
