"""From a failed request's id to its cause, by the logs alone."""

from __future__ import annotations

import json
import os
from contextlib import contextmanager

import gevent
from typer.testing import CliRunner

from cranklane.cli.main import application
from cranklane.common.line_queue import LineQueue
from cranklane.common.logs import write_lines_to
from cranklane.common.rate_limit import RateLimit
from cranklane_lab.simulate import quiet
from mesh_support import configure_workers, play


@contextmanager
def captured_lines():
    """Take every line that simulated processes write."""
    lines = []

    write_lines_to(lines.append)
    try:
        yield lines
    finally:
        quiet()


def explained(script, tmp_path, request, **options):
    with captured_lines() as lines:
        play(script, **options)
    path = tmp_path / "processes.log"
    path.write_text("not a line of ours\n" + "\n".join(lines))
    shown = CliRunner().invoke(application, ["explain-request", request, str(path)])
    assert shown.exit_code == 0, shown.output
    return shown.output


def test_a_refused_request_leads_to_the_queue_that_was_full(tmp_path):
    def script(mesh):
        configure_workers(mesh, seconds=3.0)
        for _ in range(8):
            gevent.spawn(mesh.request, mesh.machines[0], "/read/x")
        gevent.sleep(0.2)
        for machine in mesh.machines[:2]:
            machine.sidecar.slots.slot_seconds = 3.0
        assert mesh.request(mesh.machines[2], "/read/x", name="refused-one").status == 503

    told = explained(script, tmp_path, "refused-one")
    assert "admission reason=queue_full running=4" in told
    assert "cause: the worker's slots were taken" in told
    assert "it was not run" in told


def test_a_request_of_unknown_outcome_leads_to_the_worker_that_lost_its_answer(tmp_path):
    def script(mesh):
        configure_workers(mesh, lose_answers=9)
        answer = mesh.request(mesh.machines[2], "/sign/x", "POST", b"b", name="unknown-one")
        assert answer.status == 502

    told = explained(script, tmp_path, "unknown-one")
    assert "arrived=True" in told
    assert "cause: the worker's connection ended before its answer (at sidecar-" in told
    assert "it may have run" in told


def test_a_late_request_leads_to_what_took_its_time(tmp_path):
    def script(mesh):
        configure_workers(mesh, seconds=1.3)
        assert mesh.request(mesh.machines[2], "/read/x", name="late-one").status == 200

    told = explained(script, tmp_path, "late-one")
    assert "cause: late, most of all by the worker's own time: 0 ms waited" in told


def test_an_unknown_id_is_an_error(tmp_path):
    path = tmp_path / "empty.log"
    path.write_text("")
    shown = CliRunner().invoke(application, ["explain-request", "nobody", str(path)])
    assert shown.exit_code != 0


def test_lines_beyond_a_rate_are_left_out_and_counted():
    now = [0.0]
    limit = RateLimit(lambda: now[0], 5)
    assert sum(limit.allows() for _ in range(20)) == 5
    assert limit.take_left_out() == 15
    now[0] = 1.0
    assert sum(limit.allows() for _ in range(20)) == 5


def test_a_reader_that_takes_nothing_holds_nobody_up():
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
