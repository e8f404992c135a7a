"""Serves counters in the Prometheus text format at ``/metrics``."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from cranklane.common.small_http import SmallAnswer

METRICS_PATH = "/metrics"
_CONTENT_TYPE = b"text/plain; version=0.0.4"


class MetricsServer:
    """Answers ``GET /metrics``.

    :param text: returns everything in the text format.
    """

    def __init__(self, text: Callable[[], bytes]) -> None:
        self._text = text

    def handle(self, method: str, path: str, _body: bytes) -> SmallAnswer:
        """Answer one call."""
        if method != "GET" or path != METRICS_PATH:
            return SmallAnswer(404)
        return SmallAnswer(200, self._text(), _CONTENT_TYPE)


class GaugeRegistry:
    """Gauges of one process that are read when they are asked for."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()

    def add(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge."""
        Gauge(name, text, registry=self._registry).set_function(read)

    def text(self) -> bytes:
        """Return everything in the text format."""
        return generate_latest(self._registry)
