"""A daemon as a real process: what it leaves behind when it is stopped."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from contextlib import closing

from cranklane.runtime.real import RealRuntime


def free_address():
    with closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_the_last_lines_of_a_process_that_is_stopped_are_written():
    flags = {"name": "n", "zone": "z", "service": "s", "seeds": "127.0.0.1:1", "peer-port": "1"}
    flags |= {name: free_address() for name in ("callers", "readiness", "registry", "listen")}
    arguments = [part for name, value in flags.items() for part in (f"--{name}", value)]
    daemon = subprocess.Popen(
        [sys.executable, "-m", "cranklane.cli.entry", "sidecar", *arguments, "--stop-seconds", "1"],
        stdout=subprocess.PIPE,
    )
    first = json.loads(daemon.stdout.readline())
    daemon.send_signal(signal.SIGTERM)
    rest, _ = daemon.communicate(timeout=20)
    events = [json.loads(line)["event"] for line in rest.splitlines()]
    assert first["event"] == "started"
    assert events[-1] == "stopped"
    assert "stopping" in events
    assert daemon.returncode == 0


def test_a_connection_that_another_task_has_closed_counts_as_ended():
    ours, theirs = socket.socketpair()
    ours.close()
    theirs.close()
    assert RealRuntime().has_input(ours)
