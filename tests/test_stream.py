"""Blocking reads of kernel sockets: data, time-outs and a close by another task."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from cranklane.errors import InvariantError
from cranklane.runtime.real import RealRuntime


@pytest.fixture
def pair():
    """Yield the client and the server end of a connection."""
    accepted = []
    finished = Event()

    def serve(stream, _address):
        accepted.append(stream)
        finished.wait()

    runtime = RealRuntime()
    listener = runtime.listen(("127.0.0.1", 0), serve)
    client = runtime.connect(listener.address, 1.0)
    while not accepted:
        gevent.sleep(0.001)
    yield client, accepted[0]
    finished.set()
    client.close()
    listener.close()


def test_recv_returns_data_that_arrives_later(pair):
    client, server = pair
    gevent.spawn_later(0.02, server.sendall, b"late")
    assert client.recv(100) == b"late"


def test_recv_times_out_and_the_connection_stays_usable(pair):
    client, server = pair
    client.settimeout(0.02)
    with pytest.raises(TimeoutError):
        client.recv(100)
    server.sendall(b"after")
    client.settimeout(1.0)
    assert client.recv(100) == b"after"


def test_recv_fails_when_another_task_closes_the_connection(pair):
    client, _ = pair
    gevent.spawn_later(0.02, client.close)
    with pytest.raises(OSError):
        client.recv(100)


def test_recv_fails_on_a_closed_connection(pair):
    client, _ = pair
    client.close()
    with pytest.raises(OSError):
        client.recv(100)


def test_recv_returns_no_bytes_after_the_peer_closes(pair):
    client, server = pair
    gevent.spawn_later(0.02, server.close)
    assert client.recv(100) == b""


def test_second_concurrent_recv_is_rejected(pair):
    client, _ = pair
    first = gevent.spawn(client.recv, 100)
    gevent.sleep(0.01)
    with pytest.raises(InvariantError):
        client.recv(100)
    first.kill()


def test_a_connection_is_readable_after_its_reading_task_has_ended(pair):
    """Guards against a task that is ended while it reads and still counts as the reader."""
    client, server = pair
    first = gevent.spawn(client.recv, 100)
    gevent.sleep(0.01)
    first.kill()
    server.sendall(b"next")
    assert client.recv(100) == b"next"


def test_nagle_is_disabled_at_both_ends(pair):
    for stream in pair:
        assert stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
