"""What is held for clients stays within one budget; useless connections are closed first."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from cranklane.common.descriptor_limits import DescriptorLimits
from cranklane.common.memory_budget import BYTES_PER_MB, ORDINARY_BYTES, MemoryBudget
from cranklane.sidecar.ingress.caller_connections import (
    CONNECTION_BYTES,
    LARGE_FRACTION,
    UNREAD_SECONDS,
    CallerConnections,
    ClosedFor,
)


class Connection:
    """A caller's connection that records its close."""

    def __init__(self):
        self.has_served = False
        self.closed = False

    def close(self):
        self.closed = True


class Table:
    """Connections with a budget for some of them, a clock and the recorded reasons."""

    def __init__(self, fitting=4, max_connections=100):
        self.now = 0.0
        self.closed_for = []
        self.budget = MemoryBudget(fitting * CONNECTION_BYTES)
        self.connections = CallerConnections(
            lambda: self.now, self.budget, max_connections, self.closed_for.append
        )

    def open(self, served=False):
        """Return a new connection that waits for a request; None if it was not admitted."""
        connection = Connection()
        if not self.connections.admit(connection):
            return None
        self.connections.wait_for_request(connection)
        if served:
            self.connections.request_read(connection)
            self.connections.wait_for_request(connection)
        return connection

    def open_running(self):
        """Return a connection whose request is at a worker."""
        connection = self.open()
        self.connections.request_read(connection)
        return connection


def test_the_connection_that_never_sent_a_request_is_closed_first():
    """Guards against ordinary callers that lose their connections to a silent crowd."""
    table = Table(fitting=3)
    served, first, second = table.open(served=True), table.open(), table.open()
    table.open()
    assert (served.closed, first.closed, second.closed) == (False, True, False)
    assert table.closed_for == [ClosedFor.NO_REQUEST]


def test_idle_connections_are_closed_before_a_new_one_is_refused_and_running_ones_never():
    """Guards against requests at a worker that are cut to make room."""
    table = Table(fitting=3)
    running = [table.open_running() for _ in range(2)]
    idle = table.open(served=True)
    assert table.open_running() is not None
    assert idle.closed
    assert table.open() is None
    assert not any(connection.closed for connection in running)
    assert table.closed_for == [ClosedFor.IDLE, ClosedFor.NOT_ADMITTED]


def test_the_number_of_connections_is_limited():
    """Guards against a crowd that uses up all descriptors."""
    table = Table(fitting=100, max_connections=5)
    for _ in range(20):
        table.open()
    assert len(table.connections) == 5
    assert table.budget.used_bytes == 5 * CONNECTION_BYTES


def test_a_large_request_does_not_take_the_room_of_ordinary_ones():
    """Guards against few large requests that leave no memory for small ones."""
    table = Table(fitting=8)
    large = table.open_running()
    room = int(8 * CONNECTION_BYTES * LARGE_FRACTION) - CONNECTION_BYTES
    assert not table.connections.charge(large, room + 1)
    assert table.connections.charge(large, room)
    assert table.open() is not None
    assert table.connections.charge(table.open_running(), ORDINARY_BYTES)


def test_room_for_a_large_request_is_made_by_closing_a_connection_without_one():
    """Guards against unfinished requests that keep out complete ones."""
    table = Table(fitting=4)
    large, unfinished = table.open_running(), table.open()
    assert table.connections.charge(unfinished, CONNECTION_BYTES)
    assert table.connections.charge(large, CONNECTION_BYTES)
    assert unfinished.closed
    assert not table.connections.charge(unfinished, 2 * ORDINARY_BYTES)


def test_an_unfinished_request_that_waits_longest_is_refused_itself():
    """Guards against an old unfinished request that pushes out younger ones."""
    table = Table(fitting=4)
    oldest, younger = table.open(), table.open()
    assert not table.connections.charge(oldest, 2 * CONNECTION_BYTES)
    assert not younger.closed


def test_responses_that_nobody_reads_are_closed_when_room_is_needed():
    """Guards against answers that pile up; they cannot be refused, as their requests have run."""
    table = Table(fitting=4)
    unread, other = table.open_running(), table.open_running()
    table.connections.charge_response(unread, 2 * CONNECTION_BYTES)
    table.connections.write(unread)
    table.connections.charge_response(other, 2 * CONNECTION_BYTES)
    assert not unread.closed
    table.now += UNREAD_SECONDS
    table.connections.charge_response(table.open_running(), CONNECTION_BYTES)
    assert unread.closed
    assert ClosedFor.UNREAD in table.closed_for


def test_a_response_that_makes_progress_is_not_closed():
    """Guards against downloads that are cut because they are long."""
    table = Table(fitting=4)
    reading = table.open_running()
    table.connections.charge_response(reading, 2 * CONNECTION_BYTES)
    for _ in range(5):
        table.now += 0.9 * UNREAD_SECONDS
        table.connections.write(reading)
    table.connections.charge_response(table.open_running(), CONNECTION_BYTES)
    assert not reading.closed


@pytest.mark.parametrize("seed", range(20))
def test_all_that_was_charged_is_released(seed):
    """Guards against a budget that fills up for good."""
    random = Random(seed)
    table = Table(fitting=6)
    connections, opened = table.connections, []
    for _ in range(300):
        table.now += 0.2
        if random.random() < 0.3 or not opened:
            opened += filter(None, [table.open()])
            continue
        connection = random.choice(opened)
        action = random.randrange(5)
        if action == 0:
            connections.request_read(connection)
        elif action == 1:
            connections.charge(connection, random.randrange(3 * CONNECTION_BYTES))
        elif action == 2:
            connections.charge_response(connection, random.randrange(CONNECTION_BYTES))
            connections.write(connection)
        elif action == 3:
            connections.written(connection)
            connections.wait_for_request(connection)
        else:
            connections.remove(connection)
            opened.remove(connection)
    for connection in opened:
        connections.remove(connection)
    assert table.budget.used_bytes == 0
    assert len(connections) == 0
    assert list(connections.waiting()) == []


def test_limits_follow_the_settings():
    """Guards against settings that are read and not applied."""
    assert MemoryBudget.of_machine(300).limit_bytes == 75 * BYTES_PER_MB
    assert MemoryBudget.of_machine(0).limit_bytes > 75 * BYTES_PER_MB
    limits = [DescriptorLimits.of_process(number) for number in (16, 64, 256, 1024)]
    assert all(less.callers < more.callers for less, more in pairwise(limits))
    assert all(2 * limit.callers + limit.peers <= 768 for limit in limits)
