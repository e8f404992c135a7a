"""Shutdown of a daemon in a separate process, and connections closed by another task."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from contextlib import closing

from cranklane.runtime.real import RealRuntime


def free_address():
    with closing(socket.socket()) as reserved:
        reserved.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{reserved.getsockname()[1]}"


def test_log_lines_are_written_until_the_process_exits():
    flags = {"name": "n", "zone": "z", "service": "s", "seeds": "127.0.0.1:1", "peer-port": "1"}
    flags |= {name: free_address() for name in ("callers", "readiness", "registry", "listen")}
    arguments = [argument for name, value in flags.items() for argument in (f"--{name}", value)]
    daemon = subprocess.Popen(
        [sys.executable, "-m", "cranklane.cli.entry", "sidecar", *arguments, "--stop-seconds", "1"],
        stdout=subprocess.PIPE,
    )
    first_line = json.loads(daemon.stdout.readline())
    daemon.send_signal(signal.SIGTERM)
    remaining_output, _ = daemon.communicate(timeout=20)
    events = [json.loads(line)["event"] for line in remaining_output.splitlines()]
    assert first_line["event"] == "started"
    assert events[-1] == "stopped"
    assert "stopping" in events
    assert daemon.returncode == 0


def test_connection_closed_locally_has_input():
    local, peer = socket.socketpair()
    local.close()
    peer.close()
    assert RealRuntime().has_input(local)
