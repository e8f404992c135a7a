"""Use of a worker's slots by root priority: the summary lines and the report of them."""

from __future__ import annotations

import gevent
import pytest

from cranklane.cli.request_timeline import read_lines
from cranklane.cli.slot_use import format_slot_use, sum_slot_use
from mesh_support import configure_workers, play
from test_request_timeline import captured_lines

RUN_SECONDS = 0.4
SLOTS = 4


@pytest.fixture(scope="module")
def lines():
    """Return the log lines of a worker with four slots that gets 30 requests at once."""

    def script(mesh):
        configure_workers(mesh, seconds=RUN_SECONDS)
        gevent.joinall(
            [gevent.spawn(mesh.request, mesh.machines[0], "/other/x") for _ in range(30)]
        )
        gevent.sleep(6.0)
        return mesh.machines[2].sidecar.metrics.text().decode()

    with captured_lines() as captured:
        metrics = play(script)
    return list(read_lines(line.encode() for line in captured)), metrics


def test_summary_counts_each_decision_and_the_slot_time_of_a_priority(lines):
    use = sum_slot_use(lines[0])
    admitted = use.decisions["t", 0, "none"]
    refused = sum(use.decisions.values()) - admitted
    assert SLOTS <= admitted < 30
    assert refused > 0
    assert use.slot_ms["t", 0] == pytest.approx(admitted * RUN_SECONDS * 1000, rel=0.2)


def test_metric_has_the_slot_time_of_a_priority(lines):
    assert 'cranklane_slot_milliseconds_total{priority="0"}' in lines[1]


def test_report_names_service_priority_and_reason(lines):
    report = "\n".join(format_slot_use(sum_slot_use(lines[0])))
    assert "priority 0" in report
    assert "queue_full" in report or "deadline_too_near" in report


def test_report_has_the_limit_of_a_limited_route():
    text = (
        '{"event":"slots_used","node":"n","timestamp":"2026-01-01T00:00:01Z","seconds":1.0,'
        '"slots":4,"most_running":4,"most_queued":2,"decisions":[["s",2,"none",3]],'
        '"slot_ms":[["s",2,1500]],"limits":{"r":2.5}}'
    )
    report = "\n".join(format_slot_use(sum_slot_use(read_lines([text.encode()]))))
    assert "priority 2         1.5 s  admitted 3" in report
    assert "2.5 2.5  at 1 workers" in report


def test_summary_tells_retries_from_first_attempts():
    def script(mesh):
        mesh.machines[0].worker.state.fail = 1
        mesh.machines[1].worker.state.fail = 1
        mesh.request(mesh.machines[2], "/read/x")
        gevent.sleep(6.0)

    with captured_lines() as captured:
        play(script)
    summaries = [
        line
        for line in read_lines(line.encode() for line in captured)
        if line.event == "slots_used"
    ]
    assert sum(line.fields["retries"] for line in summaries) == 1
