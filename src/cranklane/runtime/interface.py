"""What a process may ask of its machine."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, BinaryIO, Protocol

from gevent import Greenlet

Address = tuple[str, int]
"""IP number and port."""


class Connection(Protocol):
    """A stream connection: the methods of a socket that the product uses."""

    def recv(self, size: int, /) -> bytes:
        """Return the next bytes, at most ``size``; nothing at the end."""

    def sendall(self, data: bytes, /) -> None:
        """Send all bytes, waiting while the far end takes none."""

    def settimeout(self, seconds: float | None, /) -> None:
        """Bound each later wait; it then raises TimeoutError."""

    def makefile(self, mode: str = "rb", buffering: int = -1) -> BinaryIO:
        """Return a file that reads from the connection."""

    def close(self) -> None:
        """Close it; a wait of another task on it ends with an error."""


ConnectionHandler = Callable[[Any, Address], None]
"""Called in a task of its own for each accepted connection."""


class Listener(Protocol):
    """An open listening address."""

    address: Address

    def close(self) -> None:
        """Stop accepting; connections already accepted go on."""


class Storage(ABC):
    """Files of one data folder. A write lasts only once it is synced."""

    @abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None when there is no such file."""

    @abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place whole: write new, sync, rename, sync the folder."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end, creating it; not yet durable."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make all that was appended to a file durable; other tasks run meanwhile."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Delete a file if it is there."""

    @abstractmethod
    def names(self) -> list[str]:
        """Return the names of the files there, sorted."""


class Runtime(ABC):
    """One process's clocks, connections, files, randomness and tasks."""

    random: Random
    """Seeded in simulation; from the operating system in production."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back.

        It counts the time for which the machine was suspended; the timers of tasks don't. So a
        wait may end late by this clock, and its condition must be checked again.
        """

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970 on a clock that may be wrong."""

    @abstractmethod
    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Greenlet:
        """Start a task that ends with the process."""

    @abstractmethod
    def connect(self, address: Address, timeout: float) -> Any:
        """Open a connection.

        :raises OSError: when nobody answers within ``timeout`` seconds.
        """

    @abstractmethod
    def listen(self, address: Address, handler: ConnectionHandler, shared: bool = True) -> Listener:
        """Accept connections on an address; port 0 takes a free one.

        :param shared: whether another process may listen there at the same time,
            so that a replacement takes the port while this one finishes.
        :raises OSError: when the address is taken.
        """

    @abstractmethod
    def hung_up(self, connections: Iterable[Any]) -> list[Any]:
        """Return those connections whose far end has closed or broken."""

    @abstractmethod
    def has_input(self, connection: Any) -> bool:
        """Return whether a connection has bytes to read, has ended or is broken."""

    @abstractmethod
    def end_when_unheard(self, connection: Any) -> None:
        """Break a connection whose far end acknowledges nothing that was sent for a while.

        Without it, a connection to a machine that has lost power, or is cut off,
        would seem to work until the kernel gives up after many minutes.
        """

    @abstractmethod
    def storage(self, folder: str) -> Storage:
        """Return the files of a data folder, creating it."""


def parse_address(text: str) -> Address:
    """Return the (host, port) of ``host:port``.

    :raises ValueError: when the text is no such address.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def format_address(address: Address) -> str:
    """Return ``host:port``."""
    return f"{address[0]}:{address[1]}"
