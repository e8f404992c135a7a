"""Serves metrics in the Prometheus text format at ``/metrics``.

The Prometheus client is imported on the first request to keep the start of a process
short.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from cranklane.common.small_http import SmallAnswer

METRICS_PATH = "/metrics"
_CONTENT_TYPE = b"text/plain; version=0.0.4"


class MetricsServer:
    """Handles ``GET /metrics``.

    :param text: returns all metrics in the text format.
    """

    def __init__(self, text: Callable[[], bytes]) -> None:
        self._text = text

    def handle(self, method: str, path: str, _body: bytes) -> SmallAnswer:
        """Return the response to a request."""
        if method != "GET" or path != METRICS_PATH:
            return SmallAnswer(HTTPStatus.NOT_FOUND)
        return SmallAnswer(HTTPStatus.OK, self._text(), _CONTENT_TYPE)


class GaugeRegistry:
    """Gauges of one process, read at each scrape."""

    def __init__(self) -> None:
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []

    def add(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge.

        :param text: help text of the metric.
        :param read: returns the current value.
        """
        self._gauges.append((name, text, read))

    def text(self, collectors: Iterable[Any] = ()) -> bytes:
        """Return all metrics in the text format.

        :param collectors: further Prometheus collectors to include.
        """
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        for collector in collectors:
            registry.register(collector)
        for name, text, read in self._gauges:
            Gauge(name, text, registry=registry).set_function(read)
        return generate_latest(registry)
