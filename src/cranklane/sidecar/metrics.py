"""Counters and histograms of one sidecar, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from cranklane.outcome import Outcome, Reason

_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class SidecarMetrics:
    """What one sidecar counts; each process has a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = self._counter(
            "cranklane_requests",
            "Requests of this machine's callers by service, outcome, reason and status.",
            ["service", "outcome", "reason", "status"],
        )
        self._attempts = self._counter(
            "cranklane_attempts",
            "Attempts to have a worker run a request.",
            ["service", "outcome", "reason"],
        )
        self._admissions = self._counter(
            "cranklane_admissions",
            "Decisions on requests for this machine's worker; reason none is admitted.",
            ["reason"],
        )
        self._left_out = self._counter(
            "cranklane_log_lines_left_out", "Decision lines that the rate left out.", []
        )
        self._request_seconds = Histogram(
            "cranklane_request_seconds",
            "Seconds from a request's head to the end of its answer.",
            ["service"],
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._queue_seconds = Histogram(
            "cranklane_queue_seconds",
            "Seconds that requests waited for a slot of this machine's worker.",
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._cells: dict[tuple[object, ...], Any] = {}

    def _counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when it is asked for."""
        Gauge(name, text, registry=self.registry).set_function(read)

    def _cell(self, metric: Any, *labels: object) -> Any:
        # labels() costs more than the count itself; keep the cells.
        key = (id(metric), *labels)
        cell = self._cells.get(key)
        if cell is None:
            cell = self._cells[key] = metric.labels(*labels)
        return cell

    def request(self, decision: Any) -> None:
        """Count a request that has ended; takes an ``ingress.Decision``."""
        outcome: Outcome = decision.outcome
        self._cell(
            self._requests,
            decision.service,
            outcome.label,
            decision.reason.label,
            decision.status,
        ).inc()
        self._cell(self._request_seconds, decision.service).observe(decision.seconds)

    def attempt(self, service: str, outcome: Outcome, reason: Reason) -> None:
        """Count an attempt that has ended."""
        self._cell(self._attempts, service, outcome.label, reason.label).inc()

    def admission(self, reason: Reason, waited: float) -> None:
        """Count a decision of the gate."""
        self._cell(self._admissions, reason.label).inc()
        if waited > 0:
            self._queue_seconds.observe(waited)

    def lines_left_out(self, count: int) -> None:
        """Count log lines that were left out."""
        self._left_out.inc(count)

    def text(self) -> bytes:
        """Return everything in the text format."""
        return generate_latest(self.registry)
