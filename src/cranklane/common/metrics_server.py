"""Serves counters in the Prometheus text format at ``/metrics``.

The library that writes the format is imported when figures are first asked for: at the
start of a process, callers wait.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

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
            return SmallAnswer(HTTPStatus.NOT_FOUND)
        return SmallAnswer(HTTPStatus.OK, self._text(), _CONTENT_TYPE)


class GaugeRegistry:
    """Gauges of one process that are read when they are asked for."""

    def __init__(self) -> None:
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []

    def add(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge."""
        self._gauges.append((name, text, read))

    def text(self, collectors: Iterable[Any] = ()) -> bytes:
        """Return everything in the text format.

        :param collectors: further sources of the library's metric families.
        """
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        for collector in collectors:
            registry.register(collector)
        for name, text, read in self._gauges:
            Gauge(name, text, registry=registry).set_function(read)
        return generate_latest(registry)
