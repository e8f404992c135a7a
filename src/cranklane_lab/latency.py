"""Measures the latency that two nodes add to a call between two workers.

Acts as the caller and sends each request twice: directly to the worker, and through both
nodes. The added latency is the difference within each pair, so that background load of the
machine affects both measurements alike.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import gevent
from hdrh.histogram import HdrHistogram
from result import Err

from cranklane.common.http_client import HttpClient, HttpRequestError
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import PAIR
from cranklane_lab.fleet.processes import FleetProcess
from cranklane_lab.fleet.site import Site, start_site, wait_for_members

WARM_UP_CALLS = 300
START_TIMEOUT_SECONDS = 20.0
_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_MICROSECONDS = 60 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 3


@dataclass
class LatencyResult:
    """Latencies in milliseconds and CPU times in milliseconds per call.

    :ivar added: added latency by percentile.
    """

    calls: int
    pause_ms: float
    direct_p50: float
    direct_p99: float
    through_p50: float
    through_p99: float
    added: dict[str, float]
    caller_node_cpu: float
    callee_node_cpu: float
    caller_node_memory_mb: float
    callee_node_memory_mb: float


class _Pairwise:
    """Latencies of direct and proxied calls, and their differences."""

    def __init__(self) -> None:
        self.direct = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
        self.through = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
        # A list, since differences may be negative and the histogram accepts only positive values.
        self.differences: list[float] = []

    def add(self, direct: float, through: float) -> None:
        """Record the latencies of a pair, in seconds."""
        self.direct.record_value(int(direct * _MICROSECONDS_PER_SECOND))
        self.through.record_value(int(through * _MICROSECONDS_PER_SECOND))
        self.differences.append(through - direct)

    def added(self, percent: float) -> float:
        """Return a percentile of the added latency, in milliseconds."""
        ordered = sorted(self.differences)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))] * 1000


class LatencyRun:
    """Measurement on a running site of two workers and their nodes."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._runtime = RealRuntime()
        caller, self._callee = site.pairs_of("caller")[0], site.pairs_of("callee")[0]
        self._nodes: list[FleetProcess] = [caller.node, self._callee.node]
        self._direct = HttpClient(self._runtime, self._callee.worker_address)
        self._through = HttpClient(self._runtime, caller.node_http)

    def prepare(self) -> str:
        """Apply the policy and warm up; return an error message, or an empty string."""
        if not wait_for_members(self._site, len(self._site.pairs)):
            return "the nodes have not joined in time"
        operator = self._site.operator()
        media = {"text": PAIR.policy(), "base": 0, "request": "latency"}
        result = operator.call("PUT", f"/v1/documents/{PAIR.name}", media)
        if isinstance(result, Err):
            return "; ".join(result.err_value.lines)
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not self._call_succeeds():
            if time.monotonic() >= deadline:
                return "calls through the nodes did not succeed in time"
            gevent.sleep(0.1)
        for _ in range(WARM_UP_CALLS):
            self._call_direct()
            self._call_through()
        return ""

    def _call_succeeds(self) -> bool:
        try:
            self._call_through()
        except (HttpRequestError, RuntimeError):
            return False
        return True

    def _measure_call(self, call: Callable[[], None]) -> float:
        started = time.perf_counter()
        call()
        return time.perf_counter() - started

    def _call_direct(self) -> None:
        self._get(self._direct, "/work/1?nonce=n")

    def _call_through(self) -> None:
        self._get(self._through, f"/{PAIR.name}/callee/work/1?nonce=n")

    @staticmethod
    def _get(client: HttpClient, path: str) -> None:
        response = client.request("GET", path)
        body = response.read()
        response.close()
        if response.status != 200 or not body:
            raise RuntimeError(
                f"{path}: expected status 200 and a body, received status {response.status}"
            )

    def measure(self, calls: int, pause: float) -> LatencyResult:
        """Measure pairs of calls, one after the other.

        :param calls: number of pairs.
        :param pause: time between two pairs, in seconds.
        """
        pairwise = _Pairwise()
        before = [node.cpu_seconds() for node in self._nodes]
        for number in range(calls):
            # Alternate the order, so that neither kind of call always runs first.
            if number % 2:
                direct = self._measure_call(self._call_direct)
                through = self._measure_call(self._call_through)
            else:
                through = self._measure_call(self._call_through)
                direct = self._measure_call(self._call_direct)
            pairwise.add(direct, through)
            if pause:
                gevent.sleep(pause)
        cpu_seconds = [
            node.cpu_seconds() - start for node, start in zip(self._nodes, before, strict=True)
        ]
        memory = [node.resident_bytes() / 1024 / 1024 for node in self._nodes]
        return LatencyResult(
            calls=calls,
            pause_ms=pause * 1000,
            direct_p50=pairwise.direct.get_value_at_percentile(50) / 1000,
            direct_p99=pairwise.direct.get_value_at_percentile(99) / 1000,
            through_p50=pairwise.through.get_value_at_percentile(50) / 1000,
            through_p99=pairwise.through.get_value_at_percentile(99) / 1000,
            added={str(percent): pairwise.added(percent) for percent in (50, 90, 99, 99.9)},
            caller_node_cpu=cpu_seconds[0] / calls * 1000,
            callee_node_cpu=cpu_seconds[1] / calls * 1000,
            caller_node_memory_mb=memory[0],
            callee_node_memory_mb=memory[1],
        )


def run_latency(calls: int, as_json: bool) -> int:
    """Measure with and without pauses, print the results and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="cranklane-latency-") as folder:
        site = start_site(PAIR, Path(folder))
        try:
            run = LatencyRun(site)
            problem = run.prepare()
            if problem:
                print(f"problem: {problem}")
                return 1
            results = [run.measure(calls, pause) for pause in (0.0, 0.002)]
        finally:
            site.stop()
    for result in results:
        if as_json:
            print(json.dumps(asdict(result)))
        else:
            _print_result(result)
    return 0


def _print_result(result: LatencyResult) -> None:
    added = ", ".join(f"p{percent} {value:.2f}" for percent, value in result.added.items())
    print(
        f"{result.calls} pairs, {result.pause_ms:g} ms pause: "
        f"direct p50 {result.direct_p50:.2f} p99 {result.direct_p99:.2f}, "
        f"through p50 {result.through_p50:.2f} p99 {result.through_p99:.2f}; added ms: {added}; "
        f"cpu ms/call: caller's node {result.caller_node_cpu:.3f}, "
        f"callee's node {result.callee_node_cpu:.3f}; resident MB: "
        f"{result.caller_node_memory_mb:.1f}, {result.callee_node_memory_mb:.1f}"
    )
