"""Requests that find no memory are refused as not run; single legal ones are served in calm."""

from __future__ import annotations

import gevent
import pytest

from cranklane.common.memory_budget import ORDINARY_BYTES
from cranklane.common.small_http import MAX_CONNECTIONS
from cranklane.sidecar.ingress.caller_connections import CONNECTION_BYTES
from cranklane_lab.simulation.mesh_machines import REGISTRY_PORT
from cranklane_lab.standins.raw_http import RawConnection
from cranklane_lab.standins.route_tables import HOST
from cranklane_lab.standins.routed_answers import NAMES
from mesh_support import play, upload_table

ROUTES = {"sign": {"prefix": "/sign/", "service": "t", "repeat": "unsafe"}}
MAX_HEADER_BYTES = 16_384
SHORT_LINE = b"a:\r\n"


def head(name, lines=b"", method="POST"):
    return (
        f"{method} /sign/x HTTP/1.1\r\nHost: {HOST}\r\n{NAMES.request.decode()}: {name}\r\n"
        f"{NAMES.deadline.decode()}: 5000\r\n"
    ).encode() + lines


def send(mesh, data, name):
    """Send bytes to the first machine; return the answer and who ran the request."""
    machine = mesh.machines[0]
    connection = RawConnection(mesh.client_process(name, machine.host), machine.callers)
    connection.send(data)
    return connection.answer(), mesh.instances_that_ran(name)


def play_limited(script, full_machine=None):
    """Return the result of a script on two machines.

    :param full_machine: the machine whose budget for clients is used up but for ordinary requests.
    """

    def limited(mesh):
        table = upload_table(2, 1, ROUTES)
        table["limits"]["max_header_bytes"] = MAX_HEADER_BYTES
        assert mesh.apply_route_table(table).status == 200
        gevent.sleep(1.0)
        if full_machine is not None:
            budget = mesh.machines[full_machine].sidecar.client_memory
            # The connections of this test have room, and what is ordinary on them.
            room = 2 * ORDINARY_BYTES + (2 * CONNECTION_BYTES if full_machine == 0 else 0)
            budget.charge(budget.limit_bytes - room)
        return script(mesh)

    return play(limited, services=("s", "t"), routes=ROUTES)


@pytest.mark.parametrize("line", [SHORT_LINE, b"a:b\r\n"])
def test_a_legal_head_of_very_many_short_lines_is_served_in_calm(line):
    """Guards against 431 for a request whose size is within the limit, and against lost lines."""
    start = head("many")
    length = b"Content-Length: 2\r\n"
    lines = line * ((MAX_HEADER_BYTES - len(start) - len(length)) // len(line))

    def script(mesh):
        answer, ran = send(mesh, start + lines + length + b"\r\nok", "many")
        worker = mesh.machines[1].worker
        return answer.status, ran, len(worker.state.runs[-1].headers)

    status, ran, headers = play_limited(script)
    assert (status, ran) == (200, ["i-1"])
    assert headers >= len(lines) // len(line)


@pytest.mark.parametrize("full_machine", [0, 1])
def test_a_large_request_without_room_is_refused_as_not_run_and_an_ordinary_one_served(
    full_machine,
):
    """Guards against requests that are kept, or run, although there is no memory for them."""

    def script(mesh):
        large = head("large", b"X: " + b"x" * 9000 + b"\r\nContent-Length: 2\r\n\r\nok")
        small = head("small", b"Content-Length: 2\r\n\r\nok")
        return send(mesh, large, "large"), send(mesh, small, "small")

    (refused, ran), (answered, small_ran) = play_limited(script, full_machine)
    assert (refused.status, ran) == (503, [])
    assert float(refused.headers["retry-after"]) > 0
    assert refused.headers[NAMES.request.decode().lower()] == "large"
    assert (answered.status, small_ran) == (200, ["i-1"])


def test_a_request_on_a_connection_too_many_between_sidecars_is_refused_as_not_run():
    """Guards against a close that leaves open whether the request has run."""

    def script(mesh):
        server = mesh.machines[1].sidecar.peer_server
        server._limits = server._limits._replace(connections=0)
        return send(mesh, head("sent", b"Content-Length: 2\r\n\r\nok"), "sent")

    answer, ran = play_limited(script)
    assert (answer.status, ran) == (503, [])
    assert float(answer.headers["retry-after"]) > 0


def test_what_follows_a_request_is_answered_in_its_turn():
    """Guards against answers in another order, or to bytes that are part of a body."""

    def script(mesh):
        machine = mesh.machines[0]
        connection = RawConnection(mesh.client_process("pipe", machine.host), machine.callers)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n3\r\n\r\n\r\r\n0\r\nT: 1\r\n\r\n"
        requests = [head(f"p{number}", chunked) for number in range(5)]
        connection.send(b"".join(requests))
        return [connection.answer().headers[NAMES.request.decode().lower()] for _ in requests]

    assert play_limited(script) == [f"p{number}" for number in range(5)]


def test_silent_connections_do_not_keep_the_worker_from_its_sidecar():
    """Guards against a port whose connections are all held by clients that send nothing."""

    def script(mesh):
        machine = mesh.machines[0]
        process = mesh.client_process("silent", machine.host)
        registry = (machine.host, REGISTRY_PORT)
        silent = [process.connect(registry, 1.0) for _ in range(2 * MAX_CONNECTIONS)]
        gevent.sleep(0.1)
        closed = process.closed_by_peer(silent)
        return machine.worker.send_heartbeat(), len(closed)

    status, closed = play_limited(script)
    assert status == 200
    assert closed >= MAX_CONNECTIONS
