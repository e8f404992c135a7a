"""A simulated process, which implements the runtime interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import gevent
from gevent import Greenlet

from cranklane.runtime.interface import (
    Address,
    ConnectionHandler,
    Listener,
    Runtime,
    Storage,
)
from cranklane_lab.simulation.disk import Disk, SimulatedStorage
from cranklane_lab.simulation.loop import VirtualLoop, current_owner
from cranklane_lab.simulation.network import Network, SimulatedConnection

WALL_CLOCK_START_SECONDS = 1_800_000_000.0


def _inherit_owner(task: Greenlet) -> None:
    owner = current_owner()
    if owner is not None:
        task.owner = owner
        owner.tasks[id(task)] = task
        task.rawlink(owner.task_ended)


Greenlet.add_spawn_callback(_inherit_owner)


class SimulatedProcess(Runtime):
    """A process with its clocks, connections, files and tasks.

    :ivar host: IP address of its machine.
    :ivar clock_rate: local seconds per virtual second.
    :ivar wall_offset: error of its wall clock in seconds.
    :ivar suspended_seconds: total time for which its machine was suspended.
    :cvar counts_suspension: whether its monotonic clock includes suspended time, as the
        production runtime's does.
    """

    counts_suspension = True

    def __init__(
        self,
        loop: VirtualLoop,
        network: Network,
        random: Random,
        name: str,
        zone: str,
        host: str,
        disk: Disk,
    ) -> None:
        self._loop = loop
        self._network = network
        self.random = random
        self.name = name
        self.zone = zone
        self.host = host
        self.disk = disk
        self.frozen_until = 0.0
        self.dead = False
        self.clock_rate = 1.0
        self.wall_offset = 0.0
        self.suspended_seconds = 0.0
        self.tasks: dict[int, Greenlet] = {}
        self.connections: dict[int, SimulatedConnection] = {}

    def task_ended(self, task: Greenlet) -> None:
        """Remove a finished task."""
        self.tasks.pop(id(task), None)

    def monotonic(self) -> float:
        """Return the process's monotonic clock in seconds."""
        uncounted = 0.0 if self.counts_suspension else self.suspended_seconds
        return (self._loop.now() - uncounted) * self.clock_rate

    def wall(self) -> float:
        """Return the process's wall clock in seconds since 1970."""
        return WALL_CLOCK_START_SECONDS + self._loop.now() * self.clock_rate + self.wall_offset

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Greenlet:
        """Start a task owned by this process."""
        task = Greenlet(function, *arguments)
        task.owner = self
        self.tasks[id(task)] = task
        task.rawlink(self.task_ended)
        task.start()
        return task

    def connect(self, address: Address, timeout: float) -> SimulatedConnection:
        """Open a simulated connection."""
        return self._network.connect(self, address, timeout)

    def listen(self, address: Address, handler: ConnectionHandler, shared: bool = True) -> Listener:
        """Accept simulated connections."""
        return self._network.listen(self, address, handler, shared)

    def closed_by_peer(self, connections: Iterable[Any]) -> list[Any]:
        """Return the connections that the peer has closed or that are broken."""
        return [connection for connection in connections if connection.closed_by_peer]

    def enable_ack_timeout(self, connection: Any) -> None:
        """Do nothing: simulated connections have no acknowledgement timeout."""

    def has_input(self, connection: Any) -> bool:
        """Return whether a read would not block: bytes, end of stream or an error."""
        return bool(connection.received) or connection.closed_by_peer

    def storage(self, folder: str) -> Storage:
        """Return the storage of a folder on the machine's disk."""
        return SimulatedStorage(self.disk, folder)

    def freeze(self, seconds: float) -> None:
        """Pause all tasks of this process for ``seconds``, without notice to peers."""
        self.frozen_until = self._loop.now() + seconds

    def suspend(self, seconds: float) -> None:
        """Suspend its machine: :meth:`freeze`, and its timers pause as well."""
        self.freeze(seconds)
        self.suspended_seconds += seconds

    def kill(self, power_lost: bool = False) -> None:
        """Kill the process immediately.

        :param power_lost: the machine fails: peers get no reset, and unsynced data on its
            disk is lost.
        """
        self.dead = True
        self._network.forget(self)
        for connection in list(self.connections.values()):
            if not power_lost:
                self._network.deliver_later(connection, connection.peer, connection.peer.reset)
            connection.abandon()
        self.connections.clear()
        if power_lost:
            self.disk.lose_power()
        # Kills the tasks after the connections are abandoned: their clean-up must not use
        # the disk or the network of a dead machine.
        for task in list(self.tasks.values()):
            task.kill(block=False)
        gevent.sleep(0)
