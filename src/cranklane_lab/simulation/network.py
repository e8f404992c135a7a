"""Simulated stream connections between simulated processes.

Bytes of one direction arrive in order after the link's delay. A cut link holds
them back silently, each way on its own, until it heals; nothing tells either end.
"""

from __future__ import annotations

import errno
import io
import zlib
from collections.abc import Callable
from typing import Any, BinaryIO, Protocol

import gevent
from gevent.event import Event

from cranklane.runtime.interface import Address, ConnectionHandler
from cranklane_lab.simulation.loop import VirtualLoop

WINDOW_BYTES = 256 * 1024
"""Bytes a sender may have under way or unread at the far end."""

JITTER_PART = 0.2
"""Part of a link's delay that varies at random."""


class NetworkProcess(Protocol):
    """A simulated process, as far as the network is concerned.

    :ivar host: IP number of its machine.
    :ivar dead: whether it has ended.
    :ivar connections: its open ends, by their ``id``.
    """

    name: str
    zone: str
    host: str
    dead: bool
    connections: dict[int, SimulatedConnection]

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Start a task of this process."""


class SimulatedConnection:
    """One end of a connection, with the methods of a socket."""

    def __init__(self, network: Network, owner: NetworkProcess) -> None:
        self._network = network
        self.owner = owner
        self.peer: SimulatedConnection = self
        self.received = bytearray()
        self.unread = 0
        self.ended = False
        self.broken: OSError | None = None
        self.closed = False
        self.last_arrival = 0.0
        self._timeout: float | None = None
        self._readable = Event()
        self._writable = Event()

    def settimeout(self, seconds: float | None) -> None:
        """Bound each later wait; it then raises TimeoutError."""
        self._timeout = seconds

    def gettimeout(self) -> float | None:
        """Return the bound."""
        return self._timeout

    def _check(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "the connection is closed here")
        if self.broken is not None:
            raise self.broken

    def _wait(self, event: Event) -> None:
        event.clear()
        if not event.wait(self._timeout):
            raise TimeoutError("timed out")

    def recv(self, size: int) -> bytes:
        """Return the next bytes; nothing at the end."""
        while not self.received:
            self._check()
            if self.ended:
                return b""
            self._wait(self._readable)
        self._check()
        taken = bytes(self.received[:size])
        del self.received[:size]
        self._network.later(self, self.peer, self.peer.read_by_peer, len(taken))
        return taken

    def read_by_peer(self, size: int) -> None:
        """Take that the far end has read bytes: the window opens."""
        self.unread -= size
        self._writable.set()

    def sendall(self, data: bytes) -> None:
        """Send all bytes, waiting while the window is full."""
        view = memoryview(bytes(data))
        while view:
            self._check()
            room = WINDOW_BYTES - self.unread
            if room <= 0:
                self._wait(self._writable)
                continue
            piece, view = bytes(view[:room]), view[room:]
            self.unread += len(piece)
            self._network.later(self, self.peer, self.peer.arrive, piece)

    def arrive(self, data: bytes) -> None:
        """Take bytes from the far end."""
        if self.closed:
            self._network.later(self, self.peer, self.peer.reset)
            return
        self.received += data
        self._readable.set()

    def end(self) -> None:
        """Take that the far end sends no more."""
        self.ended = True
        self._readable.set()

    def reset(self) -> None:
        """Take that the far end knows nothing of this connection."""
        if self.broken is None:
            self.broken = ConnectionResetError(errno.ECONNRESET, "reset by the far end")
        self._readable.set()
        self._writable.set()

    def close(self) -> None:
        """Close this end; waits of other tasks on it end with an error."""
        if self.closed:
            return
        self.closed = True
        self.owner.connections.pop(id(self), None)
        self._readable.set()
        self._writable.set()
        if not self.owner.dead:
            self._network.later(self, self.peer, self.peer.end)

    def abandon(self) -> None:
        """Drop this end without a word, as a machine that loses power does."""
        self.closed = True

    def shutdown(self, _how: int) -> None:
        """End sending; the far end reads to the end."""
        self._network.later(self, self.peer, self.peer.end)

    @property
    def closed_by_peer(self) -> bool:
        """Whether the far end has closed or broken."""
        return self.closed or self.ended or self.broken is not None

    def makefile(self, mode: str = "rb", buffering: int = -1) -> BinaryIO:
        """Return a file that reads from the connection."""
        return io.BufferedReader(_RawReader(self))


class _RawReader(io.RawIOBase):
    def __init__(self, connection: SimulatedConnection) -> None:
        self._connection = connection

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        data = self._connection.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)


class SimulatedListener:
    """An open listening address."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self.address = address

    def close(self) -> None:
        """Stop accepting."""
        self._network.unlisten(self)


class Network:
    """All links and listening addresses.

    :param delay: returns the seconds one way between two processes.
    :param on_delivery: told of each delivery, for the event log.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        random: Any,
        delay: Callable[[NetworkProcess, NetworkProcess], float],
        on_delivery: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._random = random
        self._delay = delay
        self._on_delivery = on_delivery
        self._listeners: dict[
            Address, list[tuple[SimulatedListener, NetworkProcess, ConnectionHandler]]
        ] = {}
        self._cut: set[tuple[str, str]] = set()
        self._held: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._next_port = 40_000

    def cut(self, source: str, target: str) -> None:
        """Hold back everything from one process to another, silently."""
        self._cut.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Let a cut link work again; what was held back is delivered."""
        self._cut.discard((source, target))
        for release in self._held.pop((source, target), []):
            release()

    def heal_all(self) -> None:
        """Heal every cut link."""
        for source, target in sorted(self._cut):
            self.heal(source, target)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a link is cut."""
        return (source, target) in self._cut

    def later(
        self,
        source: SimulatedConnection,
        target: SimulatedConnection,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Do something at the far end after the link's delay, in order."""
        link = (source.owner.name, target.owner.name)
        if link in self._cut:
            held = self._held.setdefault(link, [])
            held.append(lambda: self.later(source, target, action, *arguments))
            return
        delay = self._delay(source.owner, target.owner)
        delay *= 1 + JITTER_PART * self._random.random()
        when = max(self._loop.now() + delay, target.last_arrival)
        target.last_arrival = when
        self._at(when, target.owner, lambda: self._deliver(link, target, action, arguments))

    def _deliver(
        self,
        link: tuple[str, str],
        target: SimulatedConnection,
        action: Callable[..., None],
        arguments: tuple[Any, ...],
    ) -> None:
        data = arguments[0] if arguments and isinstance(arguments[0], bytes) else b""
        self._on_delivery(
            f"{link[0]}>{link[1]} {action.__name__} {len(data)} {zlib.crc32(data):08x}"
        )
        action(*arguments)

    def _at(self, when: float, owner: NetworkProcess, action: Callable[[], None]) -> None:
        timer = self._loop.timer(when - self._loop.now())
        timer.start(action)
        timer.owner = owner
        timer.stands_still = False

    def listen(
        self,
        owner: NetworkProcess,
        address: Address,
        handler: ConnectionHandler,
        shared: bool,
    ) -> SimulatedListener:
        """Open a listening address; port 0 takes a free one.

        :raises OSError: when the address is taken and not shared.
        """
        if not shared and self._listeners.get(address):
            raise OSError(errno.EADDRINUSE, f"{address} is taken")
        if address[1] == 0:
            self._next_port += 1
            address = (address[0], self._next_port)
        listener = SimulatedListener(self, address)
        self._listeners.setdefault(address, []).append((listener, owner, handler))
        return listener

    def unlisten(self, listener: SimulatedListener) -> None:
        """Close a listening address."""
        entries = self._listeners.get(listener.address, [])
        self._listeners[listener.address] = [entry for entry in entries if entry[0] is not listener]

    def forget(self, owner: NetworkProcess) -> None:
        """Close all listening addresses of a process."""
        for address, entries in self._listeners.items():
            self._listeners[address] = [entry for entry in entries if entry[1] is not owner]

    def connect(
        self, owner: NetworkProcess, address: Address, timeout: float
    ) -> SimulatedConnection:
        """Open a connection.

        :raises OSError: when it is refused or takes longer than ``timeout``.
        """
        entries = self._listeners.get(address) or []
        if not entries:
            gevent.sleep(min(timeout, 0.001))
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nobody listens on {address}")
        _, target, handler = entries[-1]
        near, far = SimulatedConnection(self, owner), SimulatedConnection(self, target)
        near.peer, far.peer = far, near
        if self.is_cut(owner.name, target.name) or self.is_cut(target.name, owner.name):
            gevent.sleep(timeout)
            raise TimeoutError("timed out")
        delay = self._delay(owner, target)
        if 2 * delay > timeout:
            gevent.sleep(timeout)
            raise TimeoutError("timed out")
        owner.connections[id(near)] = near
        target.connections[id(far)] = far
        far.last_arrival = self._loop.now() + delay
        self._at(far.last_arrival, target, lambda: self._accept(target, far, near, handler))
        gevent.sleep(2 * delay)
        near._check()
        return near

    @staticmethod
    def _accept(
        target: NetworkProcess,
        far: SimulatedConnection,
        near: SimulatedConnection,
        handler: ConnectionHandler,
    ) -> None:
        target.spawn(handler, far, (near.owner.host, 0))
