"""A simulated world: machines, processes, zones, virtual time and an event log."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from random import Random
from typing import Any

from cranklane_lab.simulation.disk import Disk
from cranklane_lab.simulation.loop import VirtualLoop, run_virtual
from cranklane_lab.simulation.network import Network, NetworkProcess
from cranklane_lab.simulation.process import SimulatedProcess

LOCAL_DELAY_SECONDS = 0.00002
"""One-way delay between processes on one machine."""

INTRA_ZONE_DELAY_SECONDS = 0.0001
"""One-way delay between machines of one zone."""


class World:
    """The state of one simulated run.

    :param between_zones: returns the one-way delay between two zones in seconds.
    :ivar events: number of lines in the event log.
    """

    def __init__(
        self, loop: VirtualLoop, seed: int, between_zones: Callable[[str, str], float]
    ) -> None:
        self.loop = loop
        self.random = Random(seed)
        self.network = Network(
            loop, Random(self.random.getrandbits(64)), self._delay, self._delivered
        )
        self._between_zones = between_zones
        self._disks: dict[str, Disk] = {}
        self._next_host = 0
        self._digest = hashlib.sha256()
        self.events = 0
        self.processes: dict[str, SimulatedProcess] = {}

    def _delay(self, source: NetworkProcess, target: NetworkProcess) -> float:
        if source.host == target.host:
            return LOCAL_DELAY_SECONDS
        if source.zone == target.zone:
            return INTRA_ZONE_DELAY_SECONDS
        return self._between_zones(source.zone, target.zone)

    def _delivered(self, text: str) -> None:
        self.log(text)

    def log(self, text: str) -> None:
        """Add a line to the event log."""
        self.events += 1
        self._digest.update(f"{self.loop.now():.9f} {text}\n".encode())

    def digest(self) -> str:
        """Return the SHA-256 digest of the event log so far."""
        return self._digest.hexdigest()

    def new_host(self) -> str:
        """Return the IP address of a new machine."""
        self._next_host += 1
        return f"10.0.{self._next_host // 250}.{self._next_host % 250 + 1}"

    def disk(self, host: str) -> Disk:
        """Return the disk of a machine, creating it on first use."""
        if host not in self._disks:
            self._disks[host] = Disk(Random(self.random.getrandbits(64)))
        return self._disks[host]

    def process(self, name: str, zone: str, host: str | None = None) -> SimulatedProcess:
        """Return a new process; an earlier one of the same name must be dead."""
        host = host or self.new_host()
        disk = self.disk(host)
        random = Random(self.random.getrandbits(64))
        process = SimulatedProcess(self.loop, self.network, random, name, zone, host, disk)
        self.processes[name] = process
        return process

    def start(self, process: SimulatedProcess, start: Callable[[], Any]) -> Any:
        """Run ``start`` in a task of the process and return its result."""
        return process.spawn(start).get()


def simulate(
    seed: int, between_zones: Callable[[str, str], float], scenario: Callable[[World], Any]
) -> Any:
    """Run a scenario in a new world and return its result."""
    return run_virtual(lambda loop: scenario(World(loop, seed, between_zones)))
