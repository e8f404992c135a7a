"""A small deployment of real processes, and a crowd of clients that nobody controls.

The machines of the tests are smaller than real ones, so that a small crowd shows what a large one
does: the limits are lowered in the settings of the processes.
"""

from __future__ import annotations

import json
import resource
import time
from dataclasses import fields
from itertools import count

import gevent
from gevent import socket

from cranklane.runtime.real import RealRuntime
from cranklane.sidecar.settings import SidecarSettings
from cranklane_lab.fleet.mesh_flags import MeshPorts, as_arguments
from cranklane_lab.fleet.processes import free_port, start
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.route_tables import HOST, route_table
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker import RoutedWorker

MEMORY_MB = 96
"""Memory of a machine in these tests; real ones have 296 MB and more."""

CONNECTIONS = 150
"""Connections of the crowd."""

ATTEMPTS = 3
"""Requests that each member of the crowd sends, one after the other."""

MAX_HEADER_BYTES = 16_384
"""Limit on the size of a head in the route table."""

HEADER_TIMEOUT_MS = 1500
HOLD_SECONDS = 2.5
"""Time for which a member of the crowd waits for an answer; longer than the header timeout."""

WORK_SECONDS = 1.0
READY_SECONDS = 30.0
SLOTS = 64

ROUTES = {
    "fast": {"prefix": "/fast/", "service": "s"},
    "slow": {"prefix": "/slow/", "service": "s"},
}

_request_numbers = count()


def head(path="/slow/x", method="GET", lines=b"", host=HOST):
    """Return a complete head with further header lines."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"{NAMES.request.decode()}: crowd-{next(_request_numbers)}\r\n"
        f"{NAMES.deadline.decode()}: 5000\r\n"
    ).encode() + lines


def resident_peak_mb(process):
    """Return the highest resident memory of a process so far, in MB."""
    return _status_kilobytes(process, "VmHWM") / 1024


def resident_mb(process):
    """Return the resident memory of a process, in MB."""
    return _status_kilobytes(process, "VmRSS") / 1024


def _status_kilobytes(process, name):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
    raise AssertionError(f"{process.name} has no {name}: it has ended")


class CrowdSite:
    """A controller, a sidecar that the crowd reaches, and one with the worker.

    :param descriptors: limit on the open files of the sidecars; None leaves it.
    :ivar front: the sidecar that the crowd reaches.
    :ivar back: the sidecar beside the worker.
    """

    def __init__(self, folder, descriptors=None, **flags):
        self._folder = folder
        self._runtime = RealRuntime()
        self._ports = MeshPorts()
        self._subnet = free_port() % 250 + 1
        self._processes = []
        self._members = []
        self._start_controller()
        # A setting that a release does not have yet cannot limit it: its memory shows that.
        limits = {"memory_mb": str(MEMORY_MB)} | flags
        known = {setting.name for setting in fields(SidecarSettings)}
        self._limits = {k.replace("_", "-"): v for k, v in limits.items() if k in known}
        usual_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, usual_limit[1]))
        try:
            self.front = self._start_sidecar(0, "t")
            self.back = self._start_sidecar(1, "s")
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, usual_limit)
        self._start_worker()
        self._wait_until(self._put_table)
        self._wait_until(self.serves)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        gevent.killall(self._members)
        self.worker.close()
        for process in self._processes:
            process.kill()

    def _host(self, number):
        return f"127.0.{self._subnet}.{number + 1}"

    def _start(self, name, daemon, flags):
        process = start(name, "cranklane.cli.entry", as_arguments(daemon, flags), self._folder)
        self._processes.append(process)
        return process

    def _seeds(self):
        return f"{self._host(9)}:{self._ports.http}"

    def _start_controller(self):
        data = str(self._folder / "controller")
        flags = self._ports.controller("controller-0", self._host(9), data, self._seeds())
        flags |= {"first-start": "yes", "tolerated-losses": "0"}
        self.controller = self._start("controller", "controller", flags)

    def _start_sidecar(self, number, service):
        name = f"sidecar-{number}"
        flags = self._ports.sidecar(name, self._host(number), service, self._seeds())
        metrics = f"{self._host(number)}:{self._ports.worker + 1}"
        return self._start(name, "sidecar", flags | {"metrics": metrics} | self._limits)

    def _start_worker(self):
        host = self._host(1)
        self.worker = RoutedWorker(
            self._runtime,
            "s",
            "i-1",
            (host, self._ports.worker),
            (host, self._ports.registry),
            SLOTS,
            heartbeat_seconds=0.5,
        )
        state = self.worker.state
        state.work = self._work
        # Runs keep the headers of their requests: they are not needed here.
        state.on_run = lambda _run: state.runs.clear()
        self._members.append(gevent.spawn(self.worker.send_heartbeats))

    @staticmethod
    def _work(run):
        if run.target.startswith(b"/slow/"):
            gevent.sleep(WORK_SECONDS)
        return 200

    def _put_table(self):
        table = route_table(1, 0, ROUTES, ("s", "t"))
        table["limits"]["max_header_bytes"] = MAX_HEADER_BYTES
        table["limits"]["header_timeout_ms"] = HEADER_TIMEOUT_MS
        address = self._host(9), self._ports.http
        body = json.dumps(table).encode()
        answer = exchange(self._runtime, address, "POST", "/v1/route-table", {}, body)
        return answer is not None and answer.status == 200

    def address(self, port="callers"):
        """Return the address of a port of the sidecar that the crowd reaches."""
        if port == "metrics":
            return self._host(0), self._ports.worker + 1
        return self._host(0), getattr(self._ports, port)

    def serves(self):
        """Return whether an ordinary request is answered by the worker."""
        headers = {
            "Host": HOST,
            NAMES.request.decode(): f"ordinary-{next(_request_numbers)}",
            NAMES.deadline.decode(): "5000",
        }
        answer = exchange(self._runtime, self.address(), "GET", "/fast/x", headers)
        return answer is not None and answer.status == 200

    @staticmethod
    def _wait_until(condition):
        give_up_at = time.monotonic() + READY_SECONDS
        while not condition():
            assert time.monotonic() < give_up_at, "the deployment does not serve in time"
            gevent.sleep(0.1)

    def send_crowd(self, payload, attempts=ATTEMPTS, port="callers", reads=True):
        """Let a crowd send a payload at the same time, again and again, beside ordinary requests.

        :param payload: returns the bytes of one attempt.
        :param reads: whether the crowd reads the answers.
        """
        members = [
            gevent.spawn(self._member, payload, attempts, self.address(port), reads)
            for _ in range(CONNECTIONS)
        ]
        ordinary = gevent.spawn(self._send_ordinary_requests)
        self._members += [*members, ordinary]
        gevent.joinall(members)
        ordinary.kill()

    def _send_ordinary_requests(self):
        while True:
            self.serves()
            gevent.sleep(0.05)

    @staticmethod
    def _member(payload, attempts, address, reads):
        for _ in range(attempts):
            try:
                with socket.create_connection(address, timeout=HOLD_SECONDS) as connection:
                    connection.sendall(payload())
                    if not reads:
                        gevent.sleep(HOLD_SECONDS)
                    while connection.recv(65536):
                        pass
            except OSError:
                # Refused, reset or not answered in time: the next attempt follows.
                gevent.sleep(0.01)

    def assert_alive(self):
        """Check that no process has ended and that an ordinary request is answered."""
        for process in self._processes:
            assert process.alive, f"{process.name} has ended"
        self._wait_until(self.serves)

    def assert_within_memory(self):
        """Check that each sidecar has stayed within the memory of its machine."""
        peaks = {
            process.name: round(resident_peak_mb(process)) for process in (self.front, self.back)
        }
        assert max(peaks.values()) <= MEMORY_MB, peaks
