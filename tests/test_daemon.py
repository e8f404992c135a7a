"""Shutdown of a daemon in a separate process, and connections that are closed or never used."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import closing

import gevent
import pytest
from gevent import socket as gevent_socket

from cranklane.common import http_server
from cranklane.runtime.real import RealRuntime
from cranklane_lab.fleet.mesh_flags import as_arguments
from cranklane_lab.fleet.processes import start


def free_address():
    with closing(socket.socket()) as reserved:
        reserved.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{reserved.getsockname()[1]}"


def listens(address):
    """Return whether a process accepts connections at an address."""
    host, _, port = address.rpartition(":")
    with closing(socket.socket()) as probe:
        return probe.connect_ex((host, int(port))) == 0


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
    assert events[-2:] == ["stopped", "exiting"]
    assert events.index("stop_signal") < events.index("stopping")
    assert daemon.returncode == 0


def test_a_stop_ends_in_time_though_nobody_reads_its_output():
    """Guards against an exit that waits for the reader of a full pipe, until SIGKILL comes."""
    flags = {"name": "n", "zone": "z", "service": "s", "seeds": "127.0.0.1:1", "peer-port": "1"}
    flags |= {name: free_address() for name in ("callers", "readiness", "registry", "listen")}
    program = (
        "import sys\n"
        "from cranklane.cli.entry import exit_daemon, run_daemon\n"
        "status = run_daemon('sidecar', sys.argv[1:])\n"
        "import os\n"
        "for descriptor in (1, 2):\n"
        "    os.set_blocking(descriptor, False)\n"
        "    try:\n"
        "        while True:\n"
        "            os.write(descriptor, bytes(4096))\n"
        "    except BlockingIOError:\n"
        "        os.set_blocking(descriptor, True)\n"
        "sys.stdout.write('last words')\n"
        "exit_daemon(status)\n"
    )
    arguments = [*as_arguments("sidecar", flags)[1:], "--stop-seconds", "1"]
    daemon = subprocess.Popen(
        [sys.executable, "-c", program, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        # Output is buffered until the exit, whatever the environment of the tests says.
        env={**os.environ, "PYTHONUNBUFFERED": ""},
    )
    assert json.loads(daemon.stdout.readline())["event"] == "started"
    daemon.send_signal(signal.SIGTERM)
    try:
        assert daemon.wait(20) == 0
    finally:
        daemon.kill()
        daemon.communicate()


def test_hangup_signals_while_a_daemon_starts_do_not_end_it(tmp_path):
    settings = tmp_path / "sidecar.toml"
    settings.write_text("")
    flags = {"name": "n", "zone": "z", "service": "s", "seeds": "127.0.0.1:1", "peer-port": "1"}
    flags |= {name: free_address() for name in ("callers", "readiness", "registry", "listen")}
    flags |= {"settings": str(settings), "stop-seconds": "1"}
    daemon = start("daemon", "cranklane.cli.entry", as_arguments("sidecar", flags), tmp_path)
    deadline = time.monotonic() + 30
    signals_while_starting = 0
    while "settings_reloaded" not in daemon.log.read_text() and time.monotonic() < deadline:
        signals_while_starting += daemon.handles_hangup() and not listens(flags["listen"])
        daemon.hang_up()
        time.sleep(0.005)
    assert signals_while_starting > 0
    assert daemon.alive
    daemon.terminate()
    assert daemon.process.wait(20) == 0


def test_connection_closed_locally_has_input():
    local, peer = socket.socketpair()
    local.close()
    peer.close()
    assert RealRuntime().has_input(local)


@pytest.fixture
def small_server(monkeypatch):
    """Return an HTTP server that accepts at most three connections."""
    monkeypatch.setattr(http_server, "MAX_CONNECTIONS", 3)

    def application(_environment, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http_server.HttpServer(RealRuntime(), ("127.0.0.1", 0), application)
    yield server
    server.stop_accepting()


def test_silent_connections_do_not_keep_others_from_an_http_server(small_server):
    """Guards against operators and workers shut out by connections that never send a request."""
    silent = [gevent_socket.create_connection(small_server.address) for _ in range(8)]
    gevent.sleep(0.05)
    with closing(gevent_socket.create_connection(small_server.address)) as connection:
        connection.settimeout(5.0)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert connection.recv(4096).startswith(b"HTTP/1.1 200")
    assert small_server.connections <= 4
    for connection in silent:
        connection.close()
