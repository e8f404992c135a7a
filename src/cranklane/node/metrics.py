"""Prometheus counters and histograms of one node.

The sidecar's metrics are in :mod:`~cranklane.sidecar.telemetry.metrics`.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from cranklane.outcome import Criticality, Outcome, Reason

_BUCKET_BOUNDS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Bucket bounds of the histograms, from the latency a node adds to the longest deadlines."""


class NodeMetrics:
    """Metrics of one node, in a separate registry."""

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
            buckets=_BUCKET_BOUNDS_SECONDS,
            registry=self.registry,
        )
        self._worker_seconds = Histogram(
            "cranklane_worker_seconds",
            "Seconds until the worker's answer began.",
            buckets=_BUCKET_BOUNDS_SECONDS,
            registry=self.registry,
        )
        self._events = Counter(
            "cranklane_events",
            "Changes of state and protocol faults, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self._children: dict[tuple[object, ...], Counter] = {}

    def _child(self, counter: Counter, *labels: object) -> Counter:
        # Cache the children: labels() costs more than the increment.
        key = (id(counter), *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = counter.labels(*labels)
        return child

    def call(
        self, service: str, outcome: Outcome, reason: Reason, criticality: Criticality
    ) -> None:
        """Count a finished call."""
        self._child(
            self._calls, service, outcome.label, reason.label, criticality.name.lower()
        ).inc()

    def attempt(self, service: str, kind: str) -> None:
        """Count an attempt: ``first``, ``retry`` or ``redirect``."""
        self._child(self._attempts, service, kind).inc()

    def admission(self, tenant: str, criticality: Criticality, reason: Reason) -> None:
        """Count an admission decision."""
        self._child(self._admissions, tenant, criticality.name.lower(), reason.label).inc()

    def observe_queue_wait(self, seconds: float) -> None:
        """Record the queueing delay of an admitted call."""
        self._queue_seconds.observe(seconds)

    def observe_worker_time(self, seconds: float) -> None:
        """Record the seconds until the worker's answer began."""
        self._worker_seconds.observe(seconds)

    def event(self, kind: str) -> None:
        """Count a state change or a protocol error."""
        self._child(self._events, kind).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
