"""Ports of fleets of processes on loopback addresses."""

from __future__ import annotations

import itertools
import socket
from contextlib import closing

from cranklane_lab.fleet import processes


def test_a_port_in_use_on_any_loopback_address_is_not_returned(monkeypatch):
    with closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(("127.0.2.9", 0))
        listener.listen()
        used = listener.getsockname()[1]
        monkeypatch.setattr(processes, "_ports", itertools.cycle([used, used + 1]))
        assert processes.free_port() != used
