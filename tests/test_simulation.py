"""The simulator's clock, network and disks, and determinism under a seed."""

import os
import subprocess
import sys

import gevent
import pytest
from gevent.event import Event

from cranklane.common.http_client import HttpClient
from cranklane.common.http_server import HttpServer
from cranklane_lab.scenarios.base import run_seed
from cranklane_lab.scenarios.library import SCENARIOS
from cranklane_lab.simulation.world import simulate

PRINT_DIGEST = """
from cranklane.common.http_client import HttpClient
from cranklane.common.http_server import HttpServer
from cranklane_lab.scenarios.base import run_seed
from cranklane_lab.scenarios.library import SCENARIOS
from cranklane_lab.simulate import quiet
quiet()
result = run_seed(SCENARIOS["all-at-once"], 2)
print(result.digest, result.events, result.outcomes)
"""


def delay(_source, _target):
    return 0.01


def test_a_seed_gives_the_same_event_log_whatever_the_hash_seed():
    printed = set()
    for hash_seed in ("1", "77"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        done = subprocess.run(
            [sys.executable, "-c", PRINT_DIGEST],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        printed.add(done.stdout)
    assert len(printed) == 1
    assert run_seed(SCENARIOS["all-at-once"], 3).digest not in printed.pop()


def test_sleeps_take_virtual_time_and_wake_in_order():
    def scenario(world):
        wake_times = []

        def sleeper(seconds):
            gevent.sleep(seconds)
            wake_times.append((seconds, world.loop.now()))

        gevent.joinall([gevent.spawn(sleeper, seconds) for seconds in (7200, 60, 3600)])
        return wake_times

    assert simulate(1, delay, scenario) == [(60, 60), (3600, 3600), (7200, 7200)]


def pair(world, handler):
    server, client = world.process("server", "a"), world.process("client", "b")
    server.listen((server.host, 80), handler)
    return server, client, client.connect((server.host, 80), 1.0)


def test_a_cut_link_delays_data_and_heals_without_loss():
    def scenario(world):
        received = []

        def handler(connection, _address):
            while data := connection.recv(100):
                received.append((round(world.loop.now(), 1), data))

        server, client, connection = pair(world, handler)
        connection.sendall(b"a")
        gevent.sleep(1.0)
        world.network.cut("client", "server")
        connection.sendall(b"b")
        gevent.sleep(9.0)
        assert received == [(0.0, b"a")]
        world.network.heal("client", "server")
        gevent.sleep(1.0)
        return received

    assert simulate(1, delay, scenario) == [(0.0, b"a"), (10.0, b"b")]


def test_a_full_window_blocks_the_sender():
    def scenario(world):
        connections = []
        started = Event()

        def handler(connection, _address):
            connections.append(connection)
            started.set()
            Event().wait()

        _, _, connection = pair(world, handler)
        connection.settimeout(5.0)
        with pytest.raises(TimeoutError):
            connection.sendall(b"x" * 1_000_000)
        return len(connections[0].received)

    assert simulate(1, delay, scenario) == 256 * 1024


def test_a_frozen_process_runs_nothing_until_it_thaws():
    def scenario(world):
        process = world.process("p", "a")
        tick_times = []

        def ticker():
            for _ in range(3):
                gevent.sleep(1.0)
                tick_times.append(world.loop.now())

        task = process.spawn(ticker)
        gevent.sleep(1.5)
        process.freeze(10.0)
        task.join()
        return tick_times

    assert simulate(1, delay, scenario) == [1.0, 11.5, 12.5]


def test_a_process_with_a_fast_clock_wakes_early():
    def scenario(world):
        process = world.process("p", "a")
        process.clock_rate = 2.0
        process.spawn(gevent.sleep, 10.0).join()
        return world.loop.now(), process.monotonic()

    assert simulate(1, delay, scenario) == (5.0, 10.0)


def test_power_loss_keeps_synced_data_and_a_random_prefix_of_the_rest():
    def scenario(world):
        process = world.process("p", "a")
        storage = process.storage("data")
        storage.append("log", b"12345")
        storage.sync("log")
        storage.append("log", b"6789")
        process.kill(power_lost=True)
        return world.process("p", "a", process.host).storage("data").read("log")

    log_contents = {simulate(seed, delay, scenario) for seed in range(20)}
    assert all(data.startswith(b"12345") for data in log_contents)
    assert len(log_contents) > 2


def test_a_killed_process_resets_its_connections_but_a_lost_machine_is_silent():
    def scenario(world, power_lost):
        server, _, connection = pair(world, lambda _connection, _address: Event().wait())
        gevent.sleep(0.1)
        server.kill(power_lost=power_lost)
        connection.settimeout(5.0)
        try:
            connection.recv(1)
        except OSError as error:
            return type(error).__name__

    assert simulate(1, delay, lambda world: scenario(world, False)) == "ConnectionResetError"
    assert simulate(1, delay, lambda world: scenario(world, True)) == "TimeoutError"


def test_a_keep_alive_connection_survives_a_shutdown_that_begins_during_a_response():
    """Guards against closing a connection after the response head announced keep-alive."""

    def scenario(world):
        server, client = world.process("server", "a"), world.process("client", "b")

        def application(_environment, start_response):
            start_response("200 OK", [("Content-Length", "2")])
            yield b"a"
            gevent.sleep(1.0)
            yield b"b"

        address = (server.host, 80)
        http_server = world.start(server, lambda: HttpServer(server, address, application))
        http = HttpClient(client, address)
        first = client.spawn(lambda: http.request("GET", "/1").read())
        gevent.sleep(0.5)
        http_server.stop_accepting()
        second = None
        if first.get() == b"ab":
            second = http.request("GET", "/2")
        return second.read(), {name.lower(): value for name, value in second.headers}.get(
            "connection"
        )

    assert simulate(1, delay, scenario) == (b"ab", "close")
