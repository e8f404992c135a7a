"""Logs suffice to explain a failed request, and writing them neither floods nor blocks."""

from __future__ import annotations

import json
import os
from contextlib import contextmanager

import gevent
from typer.testing import CliRunner

from cranklane.cli.main import application
from cranklane.common.line_queue import LineQueue
from cranklane.common.logs import set_log_sink
from cranklane.common.rate_limit import RateLimit
from cranklane_lab.simulate import quiet
from mesh_support import configure_workers, play


@contextmanager
def captured_lines():
    """Collect the log lines of all simulated processes."""
    lines = []

    set_log_sink(lines.append)
    try:
        yield lines
    finally:
        quiet()


def explain_request(script, tmp_path, request, **options):
    with captured_lines() as lines:
        play(script, **options)
    path = tmp_path / "processes.log"
    path.write_text("not a line of ours\n" + "\n".join(lines))
    result = CliRunner().invoke(application, ["explain-request", request, str(path)])
    assert result.exit_code == 0, result.output
    return result.output


def test_cause_of_a_refused_request_is_the_full_queue(tmp_path):
    def script(mesh):
        # Callers send a worker that has just appeared few requests until its first reply.
        configure_workers(mesh, seconds=0.1)
        for _ in range(6):
            gevent.spawn(mesh.request, mesh.machines[0], "/read/x")
        gevent.sleep(1.0)
        configure_workers(mesh, seconds=3.0)
        for _ in range(8):
            gevent.spawn(mesh.request, mesh.machines[0], "/read/x")
        gevent.sleep(0.2)
        for machine in mesh.machines[:2]:
            machine.sidecar.slots.slot_seconds = 3.0
        assert mesh.request(mesh.machines[2], "/read/x", name="refused-one").status == 503

    output = explain_request(script, tmp_path, "refused-one")
    assert "admission reason=queue_full running=4" in output
    assert "cause: all slots of the worker were in use" in output
    assert "it was not run" in output


def test_cause_of_a_request_beyond_a_worker_limit_is_that_limit(tmp_path):
    def script(mesh):
        mesh.machines[2].worker.state.rate_limit = b"0.5"
        mesh.request(mesh.machines[0], "/other/x")
        assert mesh.request(mesh.machines[0], "/other/x", name="limited-one").status == 503

    output = explain_request(script, tmp_path, "limited-one")
    assert "admission reason=worker_limit" in output
    assert "worker_limit instance=i-2" in output
    assert "cause: the worker accepts a limited number of requests per second" in output


def test_cause_of_an_unknown_outcome_is_the_lost_connection_to_the_worker(tmp_path):
    def script(mesh):
        configure_workers(mesh, lose_answers=9)
        answer = mesh.request(mesh.machines[2], "/sign/x", "POST", b"b", name="unknown-one")
        assert answer.status == 502

    output = explain_request(script, tmp_path, "unknown-one")
    assert "arrived=True" in output
    assert "cause: the connection to the worker ended before its response (at sidecar-" in output
    assert "it may have run" in output


def test_cause_of_a_late_response_is_the_longest_delay(tmp_path):
    def script(mesh):
        configure_workers(mesh, seconds=1.3)
        assert mesh.request(mesh.machines[2], "/read/x", name="late-one").status == 200

    output = explain_request(script, tmp_path, "late-one")
    assert "cause: late, mainly due to the worker's run time: 0 ms waited" in output


def test_explain_request_fails_on_an_unknown_id(tmp_path):
    path = tmp_path / "empty.log"
    path.write_text("")
    result = CliRunner().invoke(application, ["explain-request", "nobody", str(path)])
    assert result.exit_code != 0


def test_log_lines_above_the_rate_limit_are_dropped_and_counted():
    now = [0.0]
    limit = RateLimit(lambda: now[0], 5)
    assert sum(limit.allows() for _ in range(20)) == 5
    assert limit.take_left_out() == 15
    now[0] = 1.0
    assert sum(limit.allows() for _ in range(20)) == 5


def test_a_stalled_log_reader_does_not_block_the_writer():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    queue = LineQueue(writing)
    line = json.dumps({"filler": "x" * 1000})
    for _ in range(6000):
        queue.put(line)
    queue.write_now()
    assert queue.left_out == 2000
    os.close(reading)
    queue.write_now()
    os.close(writing)
