"""What idle connections between nodes cost: memory and processor time for each.

One process holds the calling ends, another the serving ends, with the classes
of :mod:`cranklane.node`; the calling side pings once a second and gets a load
report, as real nodes do.
"""

from __future__ import annotations

import json
import resource
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import linear_regression
from typing import Any

import gevent
from gevent.event import Event

from cranklane.node.peer_connection import PeerConnection
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Hello, LoadReport
from cranklane.runtime.interface import format_address, parse_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.fleet.processes import FleetProcess, start
from cranklane_lab.fleet.site import loopback

IDLE_SECONDS = 10.0
START_SECONDS = 60.0


@dataclass
class PeerStep:
    """Measurements with a number of idle connections.

    :ivar calling_cpu: part of a core of the calling process.
    """

    connections: int
    calling_memory: int
    calling_cpu: float
    serving_memory: int
    serving_cpu: float


def _allow_many_connections() -> None:
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def _serve(connection: Any, _address: Any) -> None:
    records = RecordConnection(connection, None)
    records.greet(Hello(node="serving"))
    while True:
        records.receive()
        records.send(LoadReport(in_flight=1, limit=8))


def _call(address: str, count: int) -> list[PeerConnection]:
    runtime = RealRuntime()
    connections = []
    for _ in range(count):
        connections.append(
            PeerConnection(
                runtime,
                parse_address(address),
                Hello(node="calling"),
                5.0,
                lambda _report: None,
                lambda: 1,
            )
        )
        gevent.sleep(0)
    return connections


def main(arguments: list[str]) -> None:
    """Run one of the two processes: ``serve ADDRESS`` or ``call ADDRESS COUNT``."""
    _allow_many_connections()
    role, address, *rest = arguments
    if role == "serve":
        listener = RealRuntime().listen(parse_address(address), _serve)
        Event().wait()
        listener.close()
        return
    connections = _call(address, int(rest[0]))
    print(f"connected {len(connections)}", flush=True)
    Event().wait()


def _measure(folder: Path, count: int) -> PeerStep:
    address = format_address(loopback())
    module = "cranklane_lab.scale.peers"
    serving = start(f"serving-{count}", module, ["serve", address], folder)
    gevent.sleep(2.0)
    calling = start(f"calling-{count}", module, ["call", address, str(count)], folder)
    try:
        _wait_until_connected(calling)
        before = calling.cpu_seconds(), serving.cpu_seconds()
        gevent.sleep(IDLE_SECONDS)
        return PeerStep(
            connections=count,
            calling_memory=calling.resident_bytes(),
            calling_cpu=(calling.cpu_seconds() - before[0]) / IDLE_SECONDS,
            serving_memory=serving.resident_bytes(),
            serving_cpu=(serving.cpu_seconds() - before[1]) / IDLE_SECONDS,
        )
    finally:
        calling.kill()
        serving.kill()


def _wait_until_connected(calling: FleetProcess) -> None:
    until = time.monotonic() + START_SECONDS
    while "connected" not in calling.log.read_text():
        if time.monotonic() >= until or not calling.alive:
            raise RuntimeError(f"the calling process is not ready: {calling.log.read_text()}")
        gevent.sleep(0.1)


def run_peers(steps: list[int], as_json: bool) -> int:
    """Run the steps and print them with their slopes; return the exit status."""
    with tempfile.TemporaryDirectory(prefix="cranklane-peers-") as folder:
        results = [_measure(Path(folder), count) for count in steps]
    if as_json:
        print(json.dumps([asdict(step) for step in results]))
        return 0
    print(f"{'connections':>11}{'calling MB':>12}{'cpu %':>8}{'serving MB':>12}{'cpu %':>8}")
    for step in results:
        print(
            f"{step.connections:>11}{step.calling_memory / 2**20:>12.1f}"
            f"{step.calling_cpu * 100:>8.2f}{step.serving_memory / 2**20:>12.1f}"
            f"{step.serving_cpu * 100:>8.2f}"
        )
    for name, unit, factor in (
        ("calling_memory", "KB", 1 / 1024),
        ("calling_cpu", "% of a core", 100),
        ("serving_memory", "KB", 1 / 1024),
        ("serving_cpu", "% of a core", 100),
    ):
        if len(results) > 1:
            counts = [float(step.connections) for step in results]
            values = [float(getattr(step, name)) * factor for step in results]
            slope, intercept = linear_regression(counts, values)
            print(f"{name}: {intercept:.3f} + {slope:.5f} {unit} for each connection")
    return 0


if __name__ == "__main__":
    main(sys.argv[1:])
