"""Uploads: large bodies pass without being held in memory, and reach at most one worker."""

from __future__ import annotations

import gevent
import pytest

from cranklane.routes.document import read_table
from cranklane_lab.standins.raw_http import RawConnection
from mesh_support import configure_workers, play_uploads, runs, upload_table

ROUTES = {"file": {"prefix": "/file/", "service": "s", "repeat": "upload"}}
PIECE = bytes(range(256)) * 256


def play_mesh(script):
    return play_uploads(script, ROUTES)


def start_upload(mesh, pieces, chunked=False, expect=b""):
    """Send the head of an upload at the machine that has no worker of the service."""
    process = mesh.client_process("uploader", mesh.machines[2].host)
    connection = RawConnection(process, mesh.machines[2].callers)
    framing = (
        b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % (pieces * len(PIECE))
    )
    connection.send(
        b"POST /file/x HTTP/1.1\r\nHost: shop.example\r\nCranklane-Request-Id: up\r\n"
        b"Cranklane-Deadline-Ms: 20000\r\n%s%s\r\n\r\n" % (expect, framing)
    )
    return connection


def piece_of(chunked):
    return b"%x\r\n%s\r\n" % (len(PIECE), PIECE) if chunked else PIECE


def test_an_upload_route_takes_requests_that_run_at_most_once():
    read = read_table(upload_table(1, 0, ROUTES)).ok_value
    assert [route.idempotent for route in read.routes] == [False]


@pytest.mark.parametrize("chunked", [False, True])
def test_an_upload_of_many_megabytes_arrives_intact_in_both_framings(chunked):
    def script(mesh):
        connection = start_upload(mesh, 64, chunked, b"Expect: 100-continue\r\n")
        for _ in range(64):
            connection.send(piece_of(chunked))
        if chunked:
            connection.send(b"0\r\n\r\n")
        answer = connection.answer()
        return answer.status, [run.body == PIECE * 64 for run in runs(mesh)]

    assert play_mesh(script) == (200, [True])


def test_an_upload_to_a_worker_that_does_not_read_is_held_back_at_the_caller():
    def script(mesh):
        configure_workers(mesh, reads_body=False)
        connection = start_upload(mesh, 640)
        sent = 0

        def send():
            nonlocal sent
            for _ in range(640):
                connection.send(PIECE)
                sent += len(PIECE)

        task = gevent.spawn(send)
        gevent.sleep(3.0)
        task.kill()
        return sent

    assert play_mesh(script) < 4 * 1024 * 1024


@pytest.mark.parametrize("chunked", [False, True])
def test_an_upload_refused_after_its_body_was_started_reaches_no_second_worker(chunked):
    def script(mesh):
        configure_workers(mesh, refuse_unread=9)
        connection = start_upload(mesh, 8, chunked)
        gevent.sleep(0.5)
        try:
            for _ in range(8):
                connection.send(piece_of(chunked))
        except OSError:
            # The sidecar may close the connection of a refused upload.
            pass
        answer = connection.answer()
        arrivals = sum(machine.worker.state.arrivals for machine in mesh.machines)
        return answer.status, arrivals, len(runs(mesh))

    assert play_mesh(script) == (503, 1, 0)


def test_an_upload_broken_off_by_its_caller_does_not_run_and_frees_its_slot():
    def script(mesh):
        connection = start_upload(mesh, 64)
        connection.send(PIECE * 4)
        gevent.sleep(0.3)
        connection.close()
        gevent.sleep(0.5)
        return len(runs(mesh)), [machine.sidecar.gate.load.running for machine in mesh.machines]

    assert play_mesh(script) == (0, [0, 0, 0])
