"""Metrics of a sidecar in the Prometheus text format."""

from types import SimpleNamespace

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.telemetry.metrics import SidecarMetrics


def test_counters_and_histograms_appear_in_the_text_format():
    metrics = SidecarMetrics()
    metrics.gauge("cranklane_running", "Requests now.", lambda: 3)
    for seconds in (0.004, 0.3, 20.0):
        metrics.request(
            SimpleNamespace(
                service="s",
                outcome=Outcome.NOT_RUN,
                reason=Reason.QUEUE_FULL,
                status=503,
                seconds=seconds,
            )
        )
    metrics.attempt("s", Outcome.ANSWERED, Reason.NONE)
    metrics.admission(Reason.NONE, 0.05)
    metrics.admission(Reason.NONE, 0.0)
    metrics.lines_left_out(7)
    lines = metrics.text().decode().splitlines()
    for expected in (
        'cranklane_requests_total{outcome="not_run",reason="queue_full",service="s",status="503"}'
        " 3.0",
        'cranklane_attempts_total{outcome="answered",reason="none",service="s"} 1.0',
        'cranklane_admissions_total{reason="none"} 2.0',
        "cranklane_log_lines_left_out_total 7.0",
        'cranklane_request_seconds_bucket{le="0.005",service="s"} 1.0',
        'cranklane_request_seconds_bucket{le="0.5",service="s"} 2.0',
        'cranklane_request_seconds_bucket{le="+Inf",service="s"} 3.0',
        'cranklane_request_seconds_count{service="s"} 3.0',
        'cranklane_queue_seconds_bucket{le="0.05"} 1.0',
        "cranklane_running 3.0",
    ):
        assert expected in lines, expected
