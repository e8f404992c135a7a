"""The runtime of a production process: the kernel's sockets, files and clocks."""

from __future__ import annotations

import os
import select
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent import Greenlet, socket

from cranklane.runtime.interface import (
    Address,
    ConnectionHandler,
    Listener,
    Runtime,
    Storage,
)
from cranklane.runtime.stream import StreamListener, connect, without_delay

_LISTEN_BACKLOG = 1024
"""Connections that wait to be accepted. A choice: after a restart of the fleet all peers of a
process connect within a second."""

_UNACKNOWLEDGED_MS = 1500
"""Milliseconds for which sent bytes may stay unacknowledged before the kernel breaks the
connection. A choice: several retransmissions on a link that loses packets, and a machine
without power is noticed within the time for which a follower waits for its controller."""

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class RealListener:
    """A listening socket; several processes may hold the same port at once."""

    def __init__(self, address: Address, handler: ConnectionHandler, shared: bool) -> None:
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # Connections that are accepted have it from here, without a call for each.
        without_delay(listening)
        listening.bind(address)
        listening.listen(_LISTEN_BACKLOG)
        self.address: Address = listening.getsockname()[:2]
        self._handler = handler
        self._server = StreamListener(listening, self._accepted)
        self._server.start()

    def _accepted(self, connection: socket.socket, address: Address) -> None:
        self._handler(connection, address)

    def close(self) -> None:
        """Stop accepting; connections already accepted go on."""
        # StreamServer.stop would end the handlers too.
        self._server.stop_accepting()
        self._server.socket.close()


class FileStorage(Storage):
    """Files of a folder on a local disk."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open_files: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None when there is no such file."""
        path = self._folder / name
        return path.read_bytes() if path.exists() else None

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place whole: write new, sync, rename, sync the folder."""
        gevent.get_hub().threadpool.apply(self._replace, (name, data))

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}.new"
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self._close(name)
        temporary.replace(self._folder / name)
        self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end, creating it; not yet durable."""
        if name not in self._open_files:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._open_files[name] = os.open(self._folder / name, flags, 0o600)
            self._sync_folder()
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._open_files[name], remaining)
            remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """Make all that was appended durable; runs in a thread, so others go on."""
        descriptor = self._open_files.get(name)
        if descriptor is not None:
            gevent.get_hub().threadpool.apply(os.fdatasync, (descriptor,))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""
        self._close(name)
        with (self._folder / name).open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def remove(self, name: str) -> None:
        """Delete a file if it is there."""
        self._close(name)
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def names(self) -> list[str]:
        """Return the names of the files there, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if path.is_file())

    def _close(self, name: str) -> None:
        descriptor = self._open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class RealRuntime(Runtime):
    """Kernel sockets through gevent, local files and the system's clocks."""

    def __init__(self) -> None:
        self.random = Random()

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back and counts a suspension.

        CLOCK_MONOTONIC stands still during a suspension: a lease that others consider expired
        would still hold here.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since 1970 on a clock that may be wrong."""
        return time.time()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Greenlet:
        """Start a task that ends with the process."""
        return gevent.spawn(function, *arguments)

    def connect(self, address: Address, timeout: float) -> socket.socket:
        """Open a TCP connection.

        :raises OSError: when nobody answers within ``timeout`` seconds.
        """
        return connect(address, timeout)

    def listen(self, address: Address, handler: ConnectionHandler, shared: bool = True) -> Listener:
        """Accept TCP connections on an address; port 0 takes a free one."""
        return RealListener(address, handler, shared)

    def hung_up(self, connections: Iterable[Any]) -> list[Any]:
        """Return those connections whose far end has closed or broken."""
        poll = select.poll()
        by_descriptor = {}
        for connection in connections:
            descriptor = connection.fileno()
            if descriptor >= 0:
                by_descriptor[descriptor] = connection
                poll.register(descriptor, _DISCONNECTED)
        return [by_descriptor[ready] for ready, _ in poll.poll(0)]

    def has_input(self, connection: Any) -> bool:
        """Return whether a connection has bytes to read, has ended or is broken."""
        descriptor = connection.fileno()
        if descriptor < 0:
            # Closed here, by another task.
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN | _DISCONNECTED)
        return bool(poll.poll(0))

    def end_when_unheard(self, connection: Any) -> None:
        """Break a connection whose far end acknowledges nothing that was sent for a while."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)

    def storage(self, folder: str) -> Storage:
        """Return the files of a data folder, creating it."""
        return FileStorage(Path(folder))
