"""TCP sockets that need fewer system calls than gevent's.

System calls are a large part of the processor time of a process that serves many small
requests. gevent's ``recv`` reads before it waits, which fails whenever the answer is not there
yet; its ``sendall`` asks for the buffer's size each time and measures its time-out on the wall
clock, which may step; its waits create an exception object for each time-out.
"""

from __future__ import annotations

import errno
from typing import Any

from gevent import get_hub, socket
from gevent.hub import Waiter
from gevent.server import StreamServer

from cranklane.errors import InvariantError


class Stream(socket.socket):
    """A TCP connection.

    :ivar waits_first: whether ``recv`` waits before it reads: true for a connection opened
        here, and after the first bytes.
    """

    waits_first = False

    def recv(self, *arguments: Any) -> bytes:
        """Return the next bytes; nothing at the end."""
        if self.waits_first and self.timeout != 0.0:
            self._wait_for_input()
        self.waits_first = True
        return super().recv(*arguments)

    def _wait_for_input(self) -> None:
        """Wait until there is something to read.

        :raises TimeoutError: after the connection's time-out.
        :raises OSError: when the connection is closed, by whichever task.
        """
        # A close by another task takes the watcher from the connection.
        watcher = self._read_event
        if watcher is None:
            raise OSError(errno.EBADF, "the connection is closed")
        if watcher.callback is not None:
            raise InvariantError("two tasks read from one connection")
        hub = get_hub()
        waiter = Waiter(hub)
        timer = None
        if self.timeout is not None:
            timer = hub.loop.timer(self.timeout)
            timer.start(waiter.throw, TimeoutError)
        watcher.start(waiter.switch, None)
        try:
            waiter.get()
        finally:
            watcher.stop()
            if timer is not None:
                timer.stop()
                timer.close()

    def sendall(self, data: bytes, flags: int = 0) -> None:  # type: ignore[override]
        """Send all bytes; a far end that takes none for the time-out raises it."""
        sent = self.send(data, flags)
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        while rest:
            sent = self.send(rest, flags)
            rest = rest[sent:]


def connect(address: tuple[str, int], timeout: float) -> Stream:
    """Open a connection without Nagle's delay.

    :raises OSError: when nobody answers within ``timeout`` seconds.
    """
    stream = Stream(socket.AF_INET, socket.SOCK_STREAM)
    try:
        without_delay(stream)
        stream.settimeout(timeout)
        stream.connect(address)
    except BaseException:
        stream.close()
        raise
    stream.waits_first = True
    return stream


def without_delay(stream: Any) -> Any:
    """Send small writes at once.

    Head and body of an HTTP message may leave in two writes; with Nagle's
    algorithm the second waits 40 ms for the far end's delayed ACK.
    """
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


class StreamListener(StreamServer):
    """Accepts connections as :class:`Stream`."""

    def do_read(self) -> Any:
        """Accept one connection, or return None when there is none."""
        listening = self.socket
        try:
            descriptor, address = listening._accept()
        except BlockingIOError:
            return None
        stream = Stream(listening.family, listening.type, listening.proto, fileno=descriptor)
        return stream, address
