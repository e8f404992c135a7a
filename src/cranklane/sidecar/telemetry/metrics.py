"""Counters and histograms of a sidecar in the Prometheus text format.

Each request updates several metrics, so an update is a plain addition; the library's metric
families are built at each scrape. Names, help texts and labels are a public interface.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cranklane.common.metrics_server import GaugeRegistry
from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.decision import Decision
from cranklane.sidecar.request.slot_work import SlotWork

_BUCKET_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histogram buckets, from below typical objectives to above most deadlines."""

Labels = tuple[str, ...]
Key = tuple[str | int | Outcome | Reason, ...]
"""Label values of a counter, converted to text at each scrape."""


def _label(value: str | int | Outcome | Reason) -> str:
    return value.label if isinstance(value, Outcome | Reason) else str(value)


@dataclass(slots=True)
class _Counter:
    """A counter with one value for each combination of label values."""

    name: str
    help_text: str
    labels: Labels
    values: defaultdict[Key, int] = field(default_factory=lambda: defaultdict(int))

    def family(self) -> Any:
        """Return the counter as a metric family of the library."""
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(self.name, self.help_text, labels=self.labels)
        for key, value in self.values.items():
            family.add_metric([_label(label_value) for label_value in key], value)
        return family


@dataclass(slots=True)
class _Histogram:
    """A histogram without labels; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(_BUCKET_SECONDS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Record an observation."""
        self.counts[bisect_left(_BUCKET_SECONDS, seconds)] += 1
        self.total += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative count of observations for each upper bound."""
        bounds = [*(str(bound) for bound in _BUCKET_SECONDS), "+Inf"]
        cumulative_count = 0
        cumulative = []
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative_count += count
            cumulative.append((bound, float(cumulative_count)))
        return cumulative


class SidecarMetrics:
    """Metrics of one sidecar, independent of the library's global registry."""

    def __init__(self) -> None:
        self._gauges = GaugeRegistry()
        self._requests = _Counter(
            "cranklane_requests",
            "Requests of this machine's callers by service, outcome, reason and status.",
            ("service", "outcome", "reason", "status"),
        )
        self._attempts = _Counter(
            "cranklane_attempts",
            "Attempts to have a worker run a request.",
            ("service", "outcome", "reason"),
        )
        self._bodies_cut = _Counter(
            "cranklane_bodies_cut",
            "Attempts that ended before the body of their request was sent whole.",
            ("service",),
        )
        self._retries = _Counter(
            "cranklane_retry_decisions",
            "Decisions on retries that need a token of the retry budget.",
            ("service", "decision"),
        )
        self._admissions = _Counter(
            "cranklane_admissions",
            "Decisions on requests for this machine's worker; reason none is admitted.",
            ("reason",),
        )
        self._ingress_refusals = _Counter(
            "cranklane_ingress_refusals",
            "Requests refused for their key, their tenant's limit or a stale route table.",
            ("reason",),
        )
        self._worker_exits = _Counter(
            "cranklane_worker_ends",
            "Ends of the worker's process that were seen by the requests it ran.",
            ("planned",),
        )
        self._worker_notices = _Counter(
            "cranklane_worker_notices",
            "Changes that this machine's worker stated in the headers of its answers.",
            ("kind",),
        )
        self._root_refusals = _Counter(
            "cranklane_root_refusals",
            "Root requests refused because services of their call tree have no capacity.",
            ("route",),
        )
        self._slow_starts = _Counter(
            "cranklane_slow_starts",
            "Slow starts of this machine's worker by what began them.",
            ("cause",),
        )
        self._connections_closed = _Counter(
            "cranklane_connections_closed",
            "Connections of callers closed for lack of room, by what they did.",
            ("cause",),
        )
        self._left_out = _Counter(
            "cranklane_log_lines_left_out", "Decision lines that the rate left out.", ()
        )
        self._work = _Counter(
            "cranklane_work_milliseconds",
            "Time of workers' slots by service and by the end of the client's request it was for.",
            ("service", "end"),
        )
        self._slot_milliseconds = _Counter(
            "cranklane_slot_milliseconds",
            "Time of this machine's worker's slots by the priority of the root request.",
            ("priority",),
        )
        self._request_seconds: defaultdict[str, _Histogram] = defaultdict(_Histogram)
        self._queue_seconds = _Histogram()

    def collect(self) -> Iterator[Any]:
        """Yield every counter and histogram; called by the library's registry."""
        from prometheus_client.core import HistogramMetricFamily

        counters = (
            self._requests,
            self._attempts,
            self._bodies_cut,
            self._retries,
            self._admissions,
            self._ingress_refusals,
            self._worker_exits,
            self._worker_notices,
            self._root_refusals,
            self._slow_starts,
            self._connections_closed,
            self._left_out,
            self._work,
            self._slot_milliseconds,
        )
        for counter in counters:
            yield counter.family()
        requests = HistogramMetricFamily(
            "cranklane_request_seconds",
            "Seconds from a request's head to the end of its answer.",
            labels=("service",),
        )
        for service, histogram in sorted(self._request_seconds.items()):
            requests.add_metric((service,), histogram.buckets(), histogram.total)
        yield requests
        queue = HistogramMetricFamily(
            "cranklane_queue_seconds",
            "Seconds that requests waited for a slot of this machine's worker.",
        )
        queue.add_metric((), self._queue_seconds.buckets(), self._queue_seconds.total)
        yield queue

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read at each scrape."""
        self._gauges.add(name, help_text, read)

    def request(self, decision: Decision) -> None:
        """Count a request that has ended."""
        service = decision.service
        self._requests.values[service, decision.outcome, decision.reason, decision.status] += 1
        self._request_seconds[service].observe(decision.seconds)

    def work(self, work: SlotWork, end: Enum) -> None:
        """Add the slot time used for a client's request, by its ``request_summary.End``."""
        for service, milliseconds in work:
            self._work.values[service, end.value] += milliseconds

    def attempt(self, service: str, outcome: Outcome, reason: Reason) -> None:
        """Count an attempt that has ended."""
        self._attempts.values[service, outcome, reason] += 1

    def body_cut(self, service: str) -> None:
        """Count an attempt that ended before the body of its request was sent whole."""
        self._bodies_cut.values[(service,)] += 1

    def retry_decision(self, service: str, decision: Enum) -> None:
        """Count a decision on a retry, by its ``retry_spending.RetryDecision``."""
        self._retries.values[service, decision.value] += 1

    def ingress_refusal(self, reason: Reason) -> None:
        """Count a request refused by authentication."""
        self._ingress_refusals.values[(reason,)] += 1

    def admission(self, reason: Reason, waited: float) -> None:
        """Count a decision of the gate, and observe the time in the queue."""
        self._admissions.values[(reason,)] += 1
        if waited > 0:
            self._queue_seconds.observe(waited)

    def slot_released(self, priority: int, seconds: float) -> None:
        """Add the time for which a request of a root priority has held a slot."""
        self._slot_milliseconds.values[(priority,)] += round(seconds * MILLISECONDS)

    def worker_exited(self, planned: bool) -> None:
        """Count an exit of the worker's process."""
        self._worker_exits.values[("yes" if planned else "no",)] += 1

    def worker_notice(self, kind: str) -> None:
        """Count a change that the worker stated in an answer.

        :param kind: ``limit``, ``limit_ended``, ``limit_unreadable``, ``leaving``,
            ``slow_period`` or ``slow_period_ended``.
        """
        self._worker_notices.values[(kind,)] += 1

    def root_refusal(self, route: str) -> None:
        """Count a root request refused by the admission level of its route."""
        self._root_refusals.values[(route,)] += 1

    def slow_start(self, cause: str) -> None:
        """Count the beginning of a slow start.

        :param cause: a value of ``slow_start.StartCause``.
        """
        self._slow_starts.values[(cause,)] += 1

    def connection_closed(self, cause: Enum) -> None:
        """Count a connection closed for lack of room, by its ``caller_connections.ClosedFor``."""
        self._connections_closed.values[(cause.value,)] += 1

    def lines_left_out(self, count: int) -> None:
        """Count log lines omitted by the rate limits."""
        self._left_out.values[()] += count

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return self._gauges.text([self])
