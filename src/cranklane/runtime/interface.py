"""Interfaces between a process and the operating system."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, BinaryIO, Protocol

from gevent import Greenlet

from cranklane.runtime.restarting import run_restarting

Address = tuple[str, int]
"""IP address and port."""


class Connection(Protocol):
    """A stream connection with the socket methods that the processes use."""

    def recv(self, size: int, /) -> bytes:
        """Return up to ``size`` bytes; empty at the end of the stream."""

    def sendall(self, data: bytes, /) -> None:
        """Send all bytes, blocking while the send buffer is full."""

    def settimeout(self, seconds: float | None, /) -> None:
        """Set the timeout after which a blocking call raises TimeoutError; None disables it."""

    def makefile(self, mode: str = "rb", buffering: int = -1) -> BinaryIO:
        """Return a file object that reads from the connection."""

    def close(self) -> None:
        """Close the connection; a blocking call of another task on it raises an error."""


ConnectionHandler = Callable[[Any, Address], None]
"""Called in a new task for each accepted connection."""


class Listener(Protocol):
    """An open listening socket."""

    address: Address

    def close(self) -> None:
        """Stop accepting; accepted connections stay open."""


class Storage(ABC):
    """Files of one data folder; a write is durable only once it is synced."""

    @abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if the file does not exist."""

    @abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: write a new one, sync, rename, sync the folder."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if missing; durable only after :meth:`sync`."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the appended data of a file durable; other tasks run meanwhile."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Delete a file if it exists."""

    @abstractmethod
    def names(self) -> list[str]:
        """Return the sorted names of the files in the folder."""


class Runtime(ABC):
    """Clocks, connections, files, random numbers and tasks of one process."""

    random: Random
    """Seeded in simulation; from the operating system in production."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return a monotonic clock in seconds.

        The clock includes time in which the machine was suspended; timers of tasks do not. A
        wait may therefore end late, and its condition must be checked again.
        """

    @abstractmethod
    def wall(self) -> float:
        """Return the wall clock in seconds since 1970; it may be wrong or step."""

    @abstractmethod
    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Greenlet:
        """Start a greenlet; it does not outlive the process."""

    def spawn_restarting(self, function: Callable[..., Any], *arguments: Any) -> Greenlet:
        """Start a task that others rely on until it returns.

        After an unexpected exception it is logged, counted and started again, see
        :mod:`cranklane.runtime.restarting`.
        """
        return self.spawn(run_restarting, function, *arguments)

    @abstractmethod
    def connect(self, address: Address, timeout: float) -> Any:
        """Open a connection.

        :raises OSError: if the connection fails or takes longer than ``timeout`` seconds.
        """

    @abstractmethod
    def listen(self, address: Address, handler: ConnectionHandler, shared: bool = True) -> Listener:
        """Accept connections on an address; port 0 chooses a free port.

        :param shared: whether another process may listen on the address at the same time, as
            a replacement does while this process drains.
        :raises OSError: if the address is in use.
        """

    @abstractmethod
    def closed_by_peer(self, connections: Iterable[Any]) -> list[Any]:
        """Return the connections that were closed by the peer or have failed."""

    @abstractmethod
    def has_input(self, connection: Any) -> bool:
        """Return whether a connection has bytes to read, is closed or has failed."""

    @abstractmethod
    def enable_ack_timeout(self, connection: Any) -> None:
        """Make a connection fail if the peer stops acknowledging sent data.

        Without this timeout, the kernel would report a peer that has lost power or
        network only after many minutes.
        """

    @abstractmethod
    def storage(self, folder: str) -> Storage:
        """Return the storage of a data folder, creating the folder if missing."""


def parse_address(text: str) -> Address:
    """Return the (host, port) of ``host:port``.

    :raises ValueError: if the text is not of this form.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def format_address(address: Address) -> str:
    """Return ``host:port``."""
    return f"{address[0]}:{address[1]}"
