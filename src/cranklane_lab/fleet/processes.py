"""Starts and controls child processes, which the kernel kills when this process exits."""

from __future__ import annotations

import ctypes
import itertools
import os
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from gevent import subprocess

_PR_SET_PDEATHSIG = 1
LOOPBACK = "127.0.0.1"
ALL_ADDRESSES = "0.0.0.0"
_FIRST_PORT = 10_000
_END_PORT = 32_000
_ports = itertools.cycle(
    itertools.chain(
        range(_FIRST_PORT + os.getpid() * 200 % 20_000, _END_PORT),
        range(_FIRST_PORT, _END_PORT),
    )
)


def free_port() -> int:
    """Return a port unused on all loopback addresses; repeats only after the whole range.

    The range lies below the kernel's range for outgoing connections. Nodes bind with
    SO_REUSEPORT, so a port conflict would raise no error and send requests to the wrong
    process.

    :raises RuntimeError: if no port is free.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((ALL_ADDRESSES, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free loopback port")


def _kill_with_parent() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass
class FleetProcess:
    """Child process with its log file.

    :ivar end_requested: whether a kill or a planned stop was requested while it was running.
    """

    name: str
    process: subprocess.Popen
    log: Path
    end_requested: bool = False

    @property
    def pid(self) -> int:
        """Process ID."""
        return int(self.process.pid)

    @property
    def alive(self) -> bool:
        """Whether the process has not exited."""
        return self.process.poll() is None

    @property
    def exited_unexpectedly(self) -> bool:
        """Whether the process has exited without a request to end."""
        return not self.alive and not self.end_requested

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.end_requested |= self.alive
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """Suspend the process; its connections stay open."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a planned stop with SIGTERM."""
        self.end_requested |= self.alive
        self.process.terminate()

    def hang_up(self) -> None:
        """Request a reload of the settings with SIGHUP, if the program has begun to run.

        Before its first instruction, nothing can keep the signal from ending the process.
        """
        if self.handles_hangup():
            self.process.send_signal(signal.SIGHUP)

    def handles_hangup(self) -> bool:
        """Return whether the process ignores or catches SIGHUP."""
        mask = 1 << (signal.SIGHUP - 1)
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            # The process has exited.
            return False
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(("SigIgn:", "SigCgt:"))
        ]
        return any(handled & mask for handled in masks)

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes, or 0 if unknown."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu_seconds(self) -> float:
        """Return the user and system CPU time."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100


def start(
    name: str, module: str, arguments: list[str], folder: Path, source: Path | None = None
) -> FleetProcess:
    """Start ``python -m module`` and append its output to a log file in ``folder``.

    :param source: source tree to run from; None: the installed one.
    """
    environment = {**os.environ, "PYTHONPATH": str(source)} if source is not None else None
    folder.mkdir(parents=True, exist_ok=True)
    log = folder / f"{name}.log"
    with log.open("ab") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=output,
            stderr=output,
            stdin=subprocess.DEVNULL,
            preexec_fn=_kill_with_parent,
            env=environment,
        )
    return FleetProcess(name, process, log)
