"""A loopback proxy that delays, holds back, cuts one way or resets connections."""

from __future__ import annotations

import socket as kernel_socket
import struct
from enum import Enum
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

PIECE_BYTES = 64 * 1024
LOOK_SECONDS = 0.02
CONNECT_SECONDS = 1.0


class ProxyMode(Enum):
    """What the proxy does to bytes."""

    PASS = "pass"
    DELAY = "delay"
    """Each piece waits for :attr:`Proxy.delay_seconds`."""
    SILENT = "silent"
    """Nothing passes either way, and nobody is told."""
    ANSWERS_HELD = "answers_held"
    """Only what the far end answers is held back."""
    REFUSE = "refuse"
    """Connections are reset, and new ones too."""


class Proxy:
    """Listens on one address and passes connections on to another."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._mode = ProxyMode.PASS
        self._open: set[Any] = set()
        self.delay_seconds = 0.05
        self._server = StreamServer(address, self._serve)
        self._server.start()

    def set(self, mode: ProxyMode) -> None:
        """Change what it does, to open connections too."""
        self._mode = mode
        if mode is ProxyMode.REFUSE:
            for stream in list(self._open):
                _reset(stream)

    def _serve(self, near: Any, _address: Any) -> None:
        if self._mode is ProxyMode.REFUSE:
            _reset(near)
            return
        try:
            far = socket.create_connection(self._target, CONNECT_SECONDS)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        for stream in (near, far):
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open |= {near, far}
        try:
            tasks = [
                gevent.spawn(self._pump, near, far, False),
                gevent.spawn(self._pump, far, near, True),
            ]
            gevent.joinall(tasks)
        finally:
            for stream in (near, far):
                self._open.discard(stream)
                stream.close()

    def _holds(self, answers: bool) -> bool:
        if self._mode is ProxyMode.ANSWERS_HELD:
            return answers
        return self._mode is ProxyMode.SILENT

    def _pump(self, source: Any, target: Any, answers: bool) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                while self._holds(answers):
                    gevent.sleep(LOOK_SECONDS)
                if self._mode is ProxyMode.DELAY:
                    gevent.sleep(self.delay_seconds)
                target.sendall(data)
            while self._holds(answers):
                gevent.sleep(LOOK_SECONDS)
            target.shutdown(kernel_socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(target)

    def close(self) -> None:
        """Stop, and end every connection."""
        self._server.stop()
        for stream in list(self._open):
            _reset(stream)


def _reset(stream: Any) -> None:
    """Close a connection so that its far end sees a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # The far end has closed it already.
        pass
    stream.close()
