"""Counters and histograms of one node, in the Prometheus text format.

The node counts with the library's own counters. The sidecar
(:mod:`~cranklane.sidecar.telemetry.metrics`) counts by plain additions and makes the
library's families only when asked, since it counts far more often.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from cranklane.outcome import Criticality, Outcome, Reason

_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Bounds of the histograms' buckets, in seconds. A choice: three for each power of ten, from
the time that a node adds to the longest deadlines."""


class NodeMetrics:
    """The counters of one node; each process has a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._calls = Counter(
            "cranklane_calls",
            "Calls made through this node by outcome and reason.",
            ["service", "outcome", "reason", "criticality"],
            registry=self.registry,
        )
        self._attempts = Counter(
            "cranklane_attempts",
            "Attempts sent to destinations; kind is first, retry or redirect.",
            ["service", "kind"],
            registry=self.registry,
        )
        self._admissions = Counter(
            "cranklane_admissions",
            "Decisions on calls to this node's worker; reason none is admitted.",
            ["tenant", "criticality", "reason"],
            registry=self.registry,
        )
        self._queue_seconds = Histogram(
            "cranklane_queue_seconds",
            "Seconds that admitted calls waited for a slot.",
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._worker_seconds = Histogram(
            "cranklane_worker_seconds",
            "Seconds until the worker's answer began.",
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._events = Counter(
            "cranklane_events",
            "Changes of state and protocol faults, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self._cells: dict[tuple[object, ...], Counter] = {}

    def _cell(self, counter: Counter, *labels: object) -> Counter:
        # labels() costs more than the count itself; keep the cells.
        key = (id(counter), *labels)
        cell = self._cells.get(key)
        if cell is None:
            cell = self._cells[key] = counter.labels(*labels)
        return cell

    def call(
        self, service: str, outcome: Outcome, reason: Reason, criticality: Criticality
    ) -> None:
        """Count a call that ended."""
        self._cell(
            self._calls, service, outcome.label, reason.label, criticality.name.lower()
        ).inc()

    def attempt(self, service: str, kind: str) -> None:
        """Count an attempt: ``first``, ``retry`` or ``redirect``."""
        self._cell(self._attempts, service, kind).inc()

    def admission(self, tenant: str, criticality: Criticality, reason: Reason) -> None:
        """Count a decision on a call to the worker."""
        self._cell(self._admissions, tenant, criticality.name.lower(), reason.label).inc()

    def queued(self, seconds: float) -> None:
        """Note how long an admitted call waited."""
        self._queue_seconds.observe(seconds)

    def worker(self, seconds: float) -> None:
        """Note how long the worker took to begin its answer."""
        self._worker_seconds.observe(seconds)

    def event(self, kind: str) -> None:
        """Count a change of state or a protocol fault."""
        self._cell(self._events, kind).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
