"""Runtime of a production process: kernel sockets, files and clocks."""

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
from cranklane.runtime.stream import StreamListener, connect, disable_nagle

_LISTEN_BACKLOG = 1024
"""Backlog of unaccepted connections; all peers may connect at once after a fleet restart."""

_ACK_TIMEOUT_MS = 1500
"""Time for which sent data may stay unacknowledged before the connection fails.

Allows several retransmissions, but is shorter than a sidecar's idle timeout for its controller.
"""

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class RealListener:
    """A listening socket, optionally shared with other processes through SO_REUSEPORT."""

    def __init__(self, address: Address, handler: ConnectionHandler, shared: bool) -> None:
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # Accepted connections inherit the option, which saves a system call for each.
        disable_nagle(listening)
        listening.bind(address)
        listening.listen(_LISTEN_BACKLOG)
        self.address: Address = listening.getsockname()[:2]
        self._handler = handler
        self._server = StreamListener(listening, self._accepted)
        self._server.start()

    def _accepted(self, connection: socket.socket, address: Address) -> None:
        self._handler(connection, address)

    def close(self) -> None:
        """Stop accepting; accepted connections stay open."""
        # StreamServer.stop would also stop the handlers of open connections.
        self._server.stop_accepting()
        self._server.socket.close()


class FileStorage(Storage):
    """Files of a folder on a local disk."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open_files: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if the file does not exist."""
        path = self._folder / name
        return path.read_bytes() if path.exists() else None

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: write a new one, sync, rename, sync the folder."""
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
        """Append to a file, creating it if missing; durable only after :meth:`sync`."""
        descriptor = self._opened(name)
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """Make the data of a file durable if it exists, in a thread so that other tasks run.

        That includes data, and a rename, of an earlier process that ended before its sync.
        """
        if name in self._open_files or (self._folder / name).exists():
            gevent.get_hub().threadpool.apply(os.fdatasync, (self._opened(name),))

    def _opened(self, name: str) -> int:
        """Return the descriptor of a file for appending, creating the file if missing."""
        if name not in self._open_files:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._open_files[name] = os.open(self._folder / name, flags, 0o600)
            self._sync_folder()
        return self._open_files[name]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        self._close(name)
        with (self._folder / name).open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def remove(self, name: str) -> None:
        """Delete a file if it exists."""
        self._close(name)
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def names(self) -> list[str]:
        """Return the sorted names of the files in the folder."""
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
    """Runtime with gevent sockets, local files and the system clocks."""

    def __init__(self) -> None:
        self.random = Random()

    def monotonic(self) -> float:
        """Return a monotonic clock in seconds that includes suspended time.

        CLOCK_MONOTONIC stops while the machine is suspended: a lease that has expired for
        other processes would still be valid here.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970; it may be wrong or step."""
        return time.time()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Greenlet:
        """Start a greenlet; it does not outlive the process."""
        return gevent.spawn(function, *arguments)

    def connect(self, address: Address, timeout: float) -> socket.socket:
        """Open a TCP connection.

        :raises OSError: if the connection fails or takes longer than ``timeout`` seconds.
        """
        return connect(address, timeout)

    def listen(self, address: Address, handler: ConnectionHandler, shared: bool = True) -> Listener:
        """Accept TCP connections on an address; port 0 chooses a free port."""
        return RealListener(address, handler, shared)

    def closed_by_peer(self, connections: Iterable[Any]) -> list[Any]:
        """Return the connections that were closed by the peer or have failed."""
        poll = select.poll()
        by_descriptor = {}
        for connection in connections:
            descriptor = connection.fileno()
            if descriptor >= 0:
                by_descriptor[descriptor] = connection
                poll.register(descriptor, _DISCONNECTED)
        return [by_descriptor[ready] for ready, _ in poll.poll(0)]

    def has_input(self, connection: Any) -> bool:
        """Return whether a connection has bytes to read, is closed or has failed."""
        descriptor = connection.fileno()
        if descriptor < 0:
            # Another task of this process has closed the connection.
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN | _DISCONNECTED)
        return bool(poll.poll(0))

    def enable_ack_timeout(self, connection: Any) -> None:
        """Make a connection fail if the peer stops acknowledging sent data."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _ACK_TIMEOUT_MS)

    def storage(self, folder: str) -> Storage:
        """Return the storage of a data folder, creating the folder if missing."""
        return FileStorage(Path(folder))
