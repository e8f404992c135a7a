"""Simulated stream connections between simulated processes.

Bytes of one direction arrive in order after the link's delay. A cut link delays
them until it heals, separately for each direction and without notice to either end.
"""

from __future__ import annotations

import errno
import io
import zlib
from collections.abc import Callable
from typing import Any, BinaryIO, Protocol

import gevent
from gevent.event import Event

from cranklane.errors import InvariantError
from cranklane.runtime.interface import Address, ConnectionHandler
from cranklane_lab.simulation.loop import VirtualLoop

WINDOW_BYTES = 256 * 1024
"""Maximum number of bytes in flight or unread at the peer."""

JITTER_FRACTION = 0.2
"""Maximum random addition to a link's delay, as a fraction of it."""


class NetworkProcess(Protocol):
    """The attributes of a simulated process that the network uses.

    :ivar host: IP address of its machine.
    :ivar dead: whether it has exited.
    :ivar connections: its open connections, by ``id()``.
    """

    name: str
    zone: str
    host: str
    dead: bool
    connections: dict[int, SimulatedConnection]

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Start a task owned by this process."""


class SimulatedConnection:
    """One end of a connection, with a socket's methods.

    A second task that waits to read, or that sends while another waits to send, gets an
    InvariantError: it would take or interrupt bytes that belong to the first.

    :ivar received: bytes that arrived and are not yet read.
    :ivar unread: sent bytes that the peer hasn't read.
    :ivar ended: whether the peer has finished sending.
    :ivar broken: error raised by later operations, if the connection was reset.
    """

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
        self._reading = False
        self._sending = False

    def settimeout(self, seconds: float | None) -> None:
        """Set the timeout of later waits, which raise TimeoutError after it."""
        self._timeout = seconds

    def gettimeout(self) -> float | None:
        """Return the timeout in seconds; None for no timeout."""
        return self._timeout

    def _check_usable(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "connection is closed locally")
        if self.broken is not None:
            raise self.broken

    def _wait(self, event: Event) -> None:
        event.clear()
        if not event.wait(self._timeout):
            raise TimeoutError("timed out")

    def recv(self, size: int) -> bytes:
        """Return up to ``size`` bytes; ``b""`` at the end of the stream."""
        if self._reading:
            raise InvariantError("another task is already reading from the connection")
        self._reading = True
        try:
            while not self.received:
                self._check_usable()
                if self.ended:
                    return b""
                self._wait(self._readable)
        finally:
            self._reading = False
        self._check_usable()
        data = bytes(self.received[:size])
        del self.received[:size]
        self._network.deliver_later(self, self.peer, self.peer.read_by_peer, len(data))
        return data

    def read_by_peer(self, size: int) -> None:
        """Handle the peer's read of ``size`` bytes, which opens the window."""
        self.unread -= size
        self._writable.set()

    def sendall(self, data: bytes) -> None:
        """Send all bytes, waiting for room in the window."""
        if self._sending:
            raise InvariantError("another task is already sending on the connection")
        self._sending = True
        try:
            self._send_view(memoryview(bytes(data)))
        finally:
            self._sending = False

    def _send_view(self, view: memoryview) -> None:
        while view:
            self._check_usable()
            room = WINDOW_BYTES - self.unread
            if room <= 0:
                self._wait(self._writable)
                continue
            chunk, view = bytes(view[:room]), view[room:]
            self.unread += len(chunk)
            self._network.deliver_later(self, self.peer, self.peer.arrive, chunk)

    def arrive(self, data: bytes) -> None:
        """Handle bytes from the peer."""
        if self.closed:
            self._network.deliver_later(self, self.peer, self.peer.reset)
            return
        self.received += data
        self._readable.set()

    def end(self) -> None:
        """Handle the end of the peer's stream."""
        self.ended = True
        self._readable.set()

    def reset(self) -> None:
        """Handle a reset by the peer."""
        if self.broken is None:
            self.broken = ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
        self._readable.set()
        self._writable.set()

    def close(self) -> None:
        """Close this end; tasks that wait on it get an error."""
        if self.closed:
            return
        self.closed = True
        self.owner.connections.pop(id(self), None)
        self._readable.set()
        self._writable.set()
        if not self.owner.dead:
            self._network.deliver_later(self, self.peer, self.peer.end)

    def abandon(self) -> None:
        """Drop this end without notifying the peer."""
        self.closed = True

    def shutdown(self, _how: int) -> None:
        """Stop sending; the peer sees the end of the stream."""
        self._network.deliver_later(self, self.peer, self.peer.end)

    @property
    def closed_by_peer(self) -> bool:
        """Whether the connection is closed, ended by the peer or broken."""
        return self.closed or self.ended or self.broken is not None

    def makefile(self, mode: str = "rb", buffering: int = -1) -> BinaryIO:
        """Return a buffered file object that reads from the connection."""
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
    """A listening socket."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self.address = address

    def close(self) -> None:
        """Stop accepting."""
        self._network.unlisten(self)


class Network:
    """All links and listening addresses.

    :param delay: returns the one-way delay between two processes in seconds.
    :param on_delivery: called with a description of each delivery, for the event log.
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
        self._blocked: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._next_port = 40_000

    def cut(self, source: str, target: str) -> None:
        """Block all data from one process to another, without notice to either."""
        self._cut.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Restore a cut link and deliver the blocked data."""
        self._cut.discard((source, target))
        for release in self._blocked.pop((source, target), []):
            release()

    def heal_all(self) -> None:
        """Heal every cut link."""
        for source, target in sorted(self._cut):
            self.heal(source, target)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a link is cut."""
        return (source, target) in self._cut

    def deliver_later(
        self,
        source: SimulatedConnection,
        target: SimulatedConnection,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Run an action at the peer after the link's delay, in sending order."""
        link = (source.owner.name, target.owner.name)
        if link in self._cut:
            blocked = self._blocked.setdefault(link, [])
            blocked.append(lambda: self.deliver_later(source, target, action, *arguments))
            return
        delay = self._delay(source.owner, target.owner)
        delay *= 1 + JITTER_FRACTION * self._random.random()
        when = max(self._loop.now() + delay, target.last_arrival)
        target.last_arrival = when
        self._schedule_at(
            when, target.owner, lambda: self._deliver(link, target, action, arguments)
        )

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

    def _schedule_at(self, when: float, owner: NetworkProcess, action: Callable[[], None]) -> None:
        timer = self._loop.timer(when - self._loop.now())
        timer.start(action)
        timer.owner = owner
        timer.pauses_when_suspended = False

    def listen(
        self,
        owner: NetworkProcess,
        address: Address,
        handler: ConnectionHandler,
        shared: bool,
    ) -> SimulatedListener:
        """Open a listening socket; port 0 selects a free port.

        :raises OSError: when the address is in use and ``shared`` is false.
        """
        if not shared and self._listeners.get(address):
            raise OSError(errno.EADDRINUSE, f"{address} is already in use")
        if address[1] == 0:
            self._next_port += 1
            address = (address[0], self._next_port)
        listener = SimulatedListener(self, address)
        self._listeners.setdefault(address, []).append((listener, owner, handler))
        return listener

    def unlisten(self, listener: SimulatedListener) -> None:
        """Close a listening socket."""
        entries = self._listeners.get(listener.address, [])
        self._listeners[listener.address] = [entry for entry in entries if entry[0] is not listener]

    def forget(self, owner: NetworkProcess) -> None:
        """Close all listening sockets of a process."""
        for address, entries in self._listeners.items():
            self._listeners[address] = [entry for entry in entries if entry[1] is not owner]

    def connect(
        self, owner: NetworkProcess, address: Address, timeout: float
    ) -> SimulatedConnection:
        """Open a connection.

        :raises ConnectionRefusedError: when no process listens on the address.
        :raises TimeoutError: when it takes longer than ``timeout`` seconds.
        """
        entries = self._listeners.get(address) or []
        if not entries:
            gevent.sleep(min(timeout, 0.001))
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"no process listens on {address}")
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
        self._schedule_at(
            far.last_arrival, target, lambda: self._accept(target, far, near, handler)
        )
        gevent.sleep(2 * delay)
        near._check_usable()
        return near

    @staticmethod
    def _accept(
        target: NetworkProcess,
        far: SimulatedConnection,
        near: SimulatedConnection,
        handler: ConnectionHandler,
    ) -> None:
        target.spawn(handler, far, (near.owner.host, 0))
