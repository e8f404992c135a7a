"""TCP proxy that can delay, stall or reset connections."""

from __future__ import annotations

import socket as kernel_socket
import struct
from enum import Enum
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

CHUNK_BYTES = 64 * 1024
POLL_SECONDS = 0.02
CONNECT_TIMEOUT_SECONDS = 1.0


class ProxyMode(Enum):
    """Treatment of the proxied connections."""

    PASS = "pass"
    DELAY = "delay"
    """Delays each chunk by :attr:`Proxy.delay_seconds`."""
    SILENT = "silent"
    """Stalls both directions without closing connections."""
    ANSWERS_HELD = "answers_held"
    """Stalls only the data from the target."""
    REFUSE = "refuse"
    """Resets open and new connections."""


class Proxy:
    """Forwards connections from a listening address to a target address."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._mode = ProxyMode.PASS
        self._connections: set[Any] = set()
        self.delay_seconds = 0.05
        self._server = StreamServer(address, self._serve)
        self._server.start()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode, for open connections too."""
        self._mode = mode
        if mode is ProxyMode.REFUSE:
            for stream in list(self._connections):
                _reset(stream)

    def _serve(self, downstream: Any, _address: Any) -> None:
        if self._mode is ProxyMode.REFUSE:
            _reset(downstream)
            return
        try:
            upstream = socket.create_connection(self._target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            _reset(downstream)
            return
        upstream.settimeout(None)
        for stream in (downstream, upstream):
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections |= {downstream, upstream}
        try:
            tasks = [
                gevent.spawn(self._pump, downstream, upstream, False),
                gevent.spawn(self._pump, upstream, downstream, True),
            ]
            gevent.joinall(tasks)
        finally:
            for stream in (downstream, upstream):
                self._connections.discard(stream)
                stream.close()

    def _is_held(self, from_target: bool) -> bool:
        if self._mode is ProxyMode.ANSWERS_HELD:
            return from_target
        return self._mode is ProxyMode.SILENT

    def _pump(self, source: Any, target: Any, from_target: bool) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                while self._is_held(from_target):
                    gevent.sleep(POLL_SECONDS)
                if self._mode is ProxyMode.DELAY:
                    gevent.sleep(self.delay_seconds)
                target.sendall(data)
            while self._is_held(from_target):
                gevent.sleep(POLL_SECONDS)
            target.shutdown(kernel_socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(target)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop()
        for stream in list(self._connections):
            _reset(stream)


def _reset(stream: Any) -> None:
    """Close a connection with a TCP reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # The peer has already closed the connection.
        pass
    stream.close()
