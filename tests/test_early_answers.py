"""Requests that are answered, or given up, while their body is still arriving."""

from __future__ import annotations

import gevent
import pytest

from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane_lab.standins.mesh_callers import (
    PIECE,
    Upload,
    UploadShape,
    is_beginning_of_upload,
    send_small_requests,
    send_small_requests_at_once,
)
from mesh_support import configure_workers, play_uploads

ROUTES = {
    "file": {"prefix": "/file/", "service": "s", "repeat": "upload"},
    "mail": {"prefix": "/mail/", "service": "s", "repeat": "unsafe"},
    "short": {"prefix": "/short/", "service": "s", "repeat": "upload", "timeout_ms": 600},
}
LARGE_PIECES = 64
"""Size of an upload that the windows on the way do not hold."""

EARLY_ANSWER_SECONDS = 0.2
"""Time from the head of a request to its early answer; the windows are full by then."""

LOCAL, REMOTE = 0, 1
"""Machine at which a request enters: that of the only worker, or another one."""


def play_mesh(script):
    """Play on two machines, of which the first has the only worker of the service."""
    return play_uploads(script, ROUTES, services=("s", "t"), slots=20)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("machine", [LOCAL, REMOTE])
@pytest.mark.parametrize("fault", ["refuse_early", "answer_early"])
def test_a_connection_that_owes_the_rest_of_a_body_gets_no_other_request(fault, machine, chunked):
    """Guards against another request's bytes in the body of a request that was answered early."""

    def script(mesh):
        configure_workers(
            mesh, early_answer_delay=EARLY_ANSWER_SECONDS, late_read_pause=0.5, **{fault: 1}
        )
        # More than the windows on the way hold, so that the sender of the body is blocked.
        upload = Upload(mesh, machine, UploadShape("/file/x", LARGE_PIECES, 0.0, chunked))
        assert mesh.wait_for(lambda: mesh.machines[0].worker.state.arrivals, 3.0)
        # The pool hands out the connection that was given back last.
        gevent.sleep(EARLY_ANSWER_SECONDS + 0.1)
        statuses = send_small_requests_at_once(mesh, machine, "/mail/", 1.5)
        upload.join()
        late_bodies = mesh.machines[0].worker.state.late_bodies
        return statuses, [is_beginning_of_upload(late_body) for late_body in late_bodies]

    assert play_mesh(script) == ({200}, [True])


@pytest.mark.parametrize("machine", [LOCAL, REMOTE])
def test_a_surplus_answer_after_a_refusal_reaches_no_other_request(machine):
    """Guards against the reuse of a connection on which a refusal was followed by more bytes."""

    def script(mesh):
        configure_workers(mesh, refuse=1, surplus_refusals=1)
        refused = mesh.request(mesh.machines[machine], "/mail/x", "POST", b"mail").status
        return refused, send_small_requests(mesh, machine, "/mail/", 0.5)

    assert play_mesh(script) == (503, {200})


def crash_worker(mesh):
    mesh.machines[0].worker.end()


def kill_sidecar(mesh):
    mesh.machines[0].process.kill()


def nothing(_mesh):
    pass


TROUBLES = {
    "refused": ({"refuse_early": 1}, "/file/x", nothing, 503),
    "answered": ({"answer_early": 1}, "/file/x", nothing, 200),
    "answered at length": ({"answer_early": 1, "body": PIECE * 8}, "/file/x", nothing, 200),
    "timed out": ({}, "/short/x", nothing, 504),
    "worker crashed": ({}, "/file/x", crash_worker, 502),
    "sidecar killed": ({}, "/file/x", kill_sidecar, 502),
}


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(
    ("trouble", "machine"),
    [
        *((trouble, REMOTE) for trouble in TROUBLES),
        # A killed sidecar at the local machine ends the caller's connection as well.
        *((trouble, LOCAL) for trouble in TROUBLES if trouble != "sidecar killed"),
    ],
)
def test_a_request_that_ends_while_its_body_arrives_leaves_one_reader(trouble, machine, chunked):
    """Guards against the end of a sidecar, which cut all requests in flight there."""
    faults, path, strike, expected = TROUBLES[trouble]

    def script(mesh):
        configure_workers(mesh, **faults)
        upload = Upload(mesh, machine, UploadShape(path, chunked=chunked))
        gevent.sleep(0.35)
        strike(mesh)
        status = upload.status()
        upload.join()
        gevent.sleep(3.0)
        return status

    assert play_mesh(script) == expected


@pytest.mark.parametrize("fault", ["answer_early", "refuse_early"])
def test_a_request_after_an_early_answer_is_not_lost_between_two_sidecars(fault):
    """Guards against the reuse of a connection that its other end closes: the request got 502."""

    def script(mesh):
        configure_workers(
            mesh, early_answer_delay=EARLY_ANSWER_SECONDS, late_read_pause=0.5, **{fault: 1}
        )
        # The windows on the way hold the whole body, but the worker's sidecar has not read it all.
        upload = Upload(mesh, REMOTE, UploadShape(pieces=7, interval=0.0))
        first = upload.status()
        return first, send_small_requests(mesh, REMOTE, "/mail/", 0.5)

    assert play_mesh(script)[1] == {200}


@pytest.mark.parametrize("machine", [LOCAL, REMOTE])
def test_a_response_whose_caller_is_gone_frees_the_connection_to_the_worker(machine, monkeypatch):
    """Guards against an unread response that holds its connections and their tasks."""

    def fail(_connection, _data):
        raise ConnectionResetError

    def script(mesh):
        # More than the buffers and the windows on the way hold.
        configure_workers(mesh, body=PIECE * 64)
        monkeypatch.setattr(CallerConnection, "send", fail)
        mesh.request(mesh.machines[machine], "/mail/x", "POST", b"mail")
        gevent.sleep(1.0)
        worker = mesh.machines[0].worker_process
        sidecar = mesh.machines[0].process
        return [link for link in sidecar.connections.values() if link.peer.owner is worker]

    assert play_mesh(script) == []


@pytest.mark.parametrize(("faults", "is_cut"), [({"refuse_early": 1}, True), ({}, False)])
def test_bodies_that_were_not_sent_whole_are_counted(faults, is_cut):
    """Guards against uploads and connections that end without a reason in the metrics."""

    def script(mesh):
        configure_workers(mesh, **faults)
        Upload(mesh, REMOTE, UploadShape()).join()
        return mesh.machines[REMOTE].sidecar.metrics.text().decode()

    assert ('cranklane_bodies_cut_total{service="s"} 1.0' in play_mesh(script)) is is_cut


@pytest.mark.parametrize("machine", [LOCAL, REMOTE])
def test_a_caller_that_breaks_off_its_body_is_no_fault_of_the_worker(machine):
    """Guards against a worker that gets fewer requests because callers leave it."""

    def script(mesh):
        for number in range(6):
            upload = Upload(mesh, machine, UploadShape(), f"up-{number}")
            gevent.sleep(0.35)
            upload.leave()
            gevent.sleep(0.5)
        sidecar = mesh.machines[0].sidecar
        metrics = mesh.machines[machine].sidecar.metrics.text().decode()
        attempts = 'cranklane_attempts_total{outcome="unknown",reason="cancelled",service="s"} 6.0'
        return sidecar.condition.now().faults, attempts in metrics

    assert play_mesh(script) == (0.0, True)
