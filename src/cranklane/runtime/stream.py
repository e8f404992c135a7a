"""TCP sockets with fewer system calls than gevent's.

System calls take much of the processor time of a process that serves many small requests.
gevent's ``recv`` tries to read before data has arrived; its ``sendall`` queries the buffer
size on each call and measures the timeout on the wall clock, which may step; its waits
create an exception object for each timeout.
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

    :ivar wait_before_recv: whether ``recv`` waits for input before it reads; false only for
        the first read of an accepted connection.
    """

    wait_before_recv = False

    def recv(self, *arguments: Any) -> bytes:
        """Return the next bytes; empty at the end of the stream."""
        if self.wait_before_recv and self.timeout != 0.0:
            self._wait_for_input()
        self.wait_before_recv = True
        return super().recv(*arguments)

    def _wait_for_input(self) -> None:
        """Wait until the connection is readable.

        :raises TimeoutError: after the connection's timeout.
        :raises OSError: if the connection is closed.
        :raises InvariantError: if another task is waiting to read from the connection.
        """
        # Closing the connection in another task clears the watcher.
        watcher = self._read_event
        if watcher is None:
            raise OSError(errno.EBADF, "the connection is closed")
        if watcher.callback is not None:
            raise InvariantError("another task is already reading from the connection")
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
        """Send all bytes.

        :raises TimeoutError: if no byte can be sent within the connection's timeout.
        """
        sent = self.send(data, flags)
        if sent == len(data):
            return
        remaining = memoryview(data)[sent:]
        while remaining:
            sent = self.send(remaining, flags)
            remaining = remaining[sent:]


def connect(address: tuple[str, int], timeout: float) -> Stream:
    """Open a connection with Nagle's algorithm disabled.

    :raises OSError: if the connection fails or takes longer than ``timeout`` seconds.
    """
    stream = Stream(socket.AF_INET, socket.SOCK_STREAM)
    try:
        disable_nagle(stream)
        stream.settimeout(timeout)
        stream.connect(address)
    except BaseException:
        stream.close()
        raise
    stream.wait_before_recv = True
    return stream


def disable_nagle(stream: Any) -> Any:
    """Disable Nagle's algorithm on a socket and return the socket.

    The head and the body of an HTTP message may be two writes; with Nagle's algorithm the
    second would wait for the peer's delayed ACK.
    """
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


class StreamListener(StreamServer):
    """A server whose accepted connections are :class:`Stream` objects."""

    max_accept = 16
    """Connections accepted before other tasks run. Handlers limit their number, and begin only
    after that."""

    def do_read(self) -> Any:
        """Accept a connection; return None if there is none."""
        listening = self.socket
        try:
            descriptor, address = listening._accept()
        except BlockingIOError:
            return None
        stream = Stream(listening.family, listening.type, listening.proto, fileno=descriptor)
        return stream, address
