"""Attribution of lost requests and wasted slot time to services and outcomes."""

from __future__ import annotations

import json

import gevent
from typer.testing import CliRunner

from cranklane.cli.losses import format_losses, sum_losses
from cranklane.cli.main import application
from cranklane.cli.request_timeline import read_lines
from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table
from test_request_timeline import captured_lines

ROUTES = {
    "view": {"prefix": "/view/", "service": "top"},
    "look": {"prefix": "/look/", "service": "deep", "objective_ms": 300},
}
RUN_SECONDS = 0.5


def delay(_source, _target):
    return 0.0005


def simulate_call_tree(deep_slots, run_fails):
    """Return log lines and metrics of a request whose run makes one downstream call.

    :param deep_slots: slots of the only worker that serves the call.
    """

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        top = mesh.add_machine("top")
        mesh.add_machine("deep", deep_slots)
        entry = mesh.add_machine("other")
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        table = route_table(1, 0, ROUTES, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        top.worker.state.seconds = RUN_SECONDS
        top.worker.state.status = 500 if run_fails else 200
        root = gevent.spawn(mesh.request, entry, "/view/", name="root")
        gevent.sleep(0.1)
        mesh.request(top, "/look/", name="root.1")
        root.join()
        gevent.sleep(6.0)
        return entry.sidecar.metrics.text().decode()

    with captured_lines() as lines:
        metrics = simulate(1, delay, scenario)
    return list(read_lines(line.encode() for line in lines)), metrics


def test_slot_time_below_a_served_request_counts_as_in_time():
    lines, metrics = simulate_call_tree(deep_slots=4, run_fails=False)
    losses = sum_losses(lines)
    assert losses.by_route == {("view", "in_time"): 1}
    assert losses.work["top", "in_time"] >= RUN_SECONDS * 1000
    assert 20 <= losses.work["deep", "in_time"] < 40
    assert 'cranklane_work_milliseconds_total{end="in_time",service="deep"}' in metrics


def test_cause_names_the_downstream_service_without_free_slots():
    lines, _ = simulate_call_tree(deep_slots=0, run_fails=True)
    losses = sum_losses(lines)
    ((key, count),) = losses.by_cause.items()
    assert key[:3] == ("view", "failed", "deep")
    assert key[3] in ("queue_full", "deadline_too_near")
    assert count == 1
    assert losses.work["top", "failed"] >= RUN_SECONDS * 1000
    assert losses.work["top", "in_time"] == 0


def test_cause_of_a_failed_run_names_its_service():
    lines, _ = simulate_call_tree(deep_slots=4, run_fails=True)
    assert list(sum_losses(lines).by_cause) == [("view", "failed", "top", "run_failed")]


def summary(second, ends, work):
    return json.dumps(
        {
            "event": "requests_ended",
            "node": "n",
            "timestamp": f"2026-01-01T00:00:{second:02}Z",
            "ends": ends,
            "work_ms": work,
        }
    )


def test_report_adds_up_summaries_of_several_sidecars():
    lines = [
        summary(1, [["r", "in_time", "", "", 3]], [["s", "in_time", 750]]),
        summary(1, [["r", "refused", "s", "queue_full", 1]], []),
        summary(2, [["r", "failed", "t", "run_failed", 2]], [["s", "failed", 250]]),
    ]
    report = "\n".join(format_losses(sum_losses(read_lines(line.encode() for line in lines))))
    assert "1.0 s  in_time 75.0%  late 0.0%  refused 0.0%  failed 25.0%" in report
    assert "3/4" in report and "0/2" in report
    assert "2  r                    failed   run_failed at t" in report


def test_explain_losses_fails_on_logs_without_summaries(tmp_path):
    path = tmp_path / "empty.log"
    path.write_text("")
    result = CliRunner().invoke(application, ["explain-losses", str(path)])
    assert result.exit_code != 0
    assert "requests_ended events, found no such event" in result.output
    path.write_text(summary(1, [["r", "late", "", "", 1]], []))
    result = CliRunner().invoke(application, ["explain-losses", str(path)])
    assert result.exit_code == 0, result.output
