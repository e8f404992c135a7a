"""Measures, with real processes, what two nodes add to a call between two workers.

The measuring process takes the caller's part: it sends each request once straight
to the called worker and once through the caller's node, the called worker's node
and that worker. The figure is the difference within each pair, so that what the
machine does meanwhile falls on both alike.
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
_MICROSECOND = 1_000_000
_HIGHEST_US = 60 * _MICROSECOND
_DIGITS = 3


@dataclass
class LatencyResult:
    """Times in milliseconds; processor time in milliseconds for each call.

    :ivar added: added time at each quantile of the differences, by percent.
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
    """Times of both ways and of their differences, in microseconds."""

    def __init__(self) -> None:
        self.direct = HdrHistogram(1, _HIGHEST_US, _DIGITS)
        self.through = HdrHistogram(1, _HIGHEST_US, _DIGITS)
        # A difference may be below zero, which a histogram does not take.
        self.differences: list[float] = []

    def add(self, direct: float, through: float) -> None:
        """Take one pair of times in seconds."""
        self.direct.record_value(int(direct * _MICROSECOND))
        self.through.record_value(int(through * _MICROSECOND))
        self.differences.append(through - direct)

    def added(self, percent: float) -> float:
        """Return the added milliseconds that ``percent`` of the calls stay within."""
        ordered = sorted(self.differences)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))] * 1000


class LatencyRun:
    """One running pair of workers with their nodes."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._runtime = RealRuntime()
        caller, self._callee = site.pairs_of("caller")[0], site.pairs_of("callee")[0]
        self._nodes: list[FleetProcess] = [caller.node, self._callee.node]
        self._direct = HttpClient(self._runtime, self._callee.worker_address)
        self._through = HttpClient(self._runtime, caller.node_http)

    def prepare(self) -> str:
        """Put the policy in force and warm up; return a problem, or nothing."""
        if not wait_for_members(self._site, len(self._site.pairs)):
            return "the nodes have not joined"
        operator = self._site.operator()
        media = {"text": PAIR.policy(), "base": 0, "request": "latency"}
        result = operator.call("PUT", f"/v1/documents/{PAIR.name}", media)
        if isinstance(result, Err):
            return "; ".join(result.err_value.lines)
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while not self._works():
            if time.monotonic() >= until:
                return "calls do not pass"
            gevent.sleep(0.1)
        for _ in range(WARM_UP_CALLS):
            self._call_direct()
            self._call_through()
        return ""

    def _works(self) -> bool:
        try:
            self._call_through()
        except (HttpRequestError, RuntimeError):
            return False
        return True

    def _timed(self, call: Callable[[], None]) -> float:
        started = time.perf_counter()
        call()
        return time.perf_counter() - started

    def _call_direct(self) -> None:
        self._check(self._direct, "/work/1?nonce=n")

    def _call_through(self) -> None:
        self._check(self._through, f"/{PAIR.name}/callee/work/1?nonce=n")

    @staticmethod
    def _check(client: HttpClient, path: str) -> None:
        response = client.request("GET", path)
        body = response.read()
        response.close()
        if response.status != 200 or not body:
            raise RuntimeError(f"{path}: status {response.status}")

    def measure(self, calls: int, pause: float) -> LatencyResult:
        """Send pairs of calls one after the other.

        :param pause: seconds between two pairs.
        """
        pairwise = _Pairwise()
        before = [node.cpu_seconds() for node in self._nodes]
        for number in range(calls):
            # Which of the two goes first alternates.
            if number % 2:
                direct = self._timed(self._call_direct)
                through = self._timed(self._call_through)
            else:
                through = self._timed(self._call_through)
                direct = self._timed(self._call_direct)
            pairwise.add(direct, through)
            if pause:
                gevent.sleep(pause)
        used = [node.cpu_seconds() - cpu for node, cpu in zip(self._nodes, before, strict=True)]
        memory = [node.resident_bytes() / 1024 / 1024 for node in self._nodes]
        return LatencyResult(
            calls=calls,
            pause_ms=pause * 1000,
            direct_p50=pairwise.direct.get_value_at_percentile(50) / 1000,
            direct_p99=pairwise.direct.get_value_at_percentile(99) / 1000,
            through_p50=pairwise.through.get_value_at_percentile(50) / 1000,
            through_p99=pairwise.through.get_value_at_percentile(99) / 1000,
            added={str(percent): pairwise.added(percent) for percent in (50, 90, 99, 99.9)},
            caller_node_cpu=used[0] / calls * 1000,
            callee_node_cpu=used[1] / calls * 1000,
            caller_node_memory_mb=memory[0],
            callee_node_memory_mb=memory[1],
        )


def run_latency(calls: int, as_json: bool) -> int:
    """Measure back to back and with pauses; print the results; return the exit status."""
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
            _print(result)
    return 0


def _print(result: LatencyResult) -> None:
    added = ", ".join(f"p{percent} {value:.2f}" for percent, value in result.added.items())
    print(
        f"{result.calls} pairs, {result.pause_ms:g} ms pause: "
        f"direct p50 {result.direct_p50:.2f} p99 {result.direct_p99:.2f}, "
        f"through p50 {result.through_p50:.2f} p99 {result.through_p99:.2f}; added ms: {added}; "
        f"cpu ms/call: caller's node {result.caller_node_cpu:.3f}, "
        f"callee's node {result.callee_node_cpu:.3f}; resident MB: "
        f"{result.caller_node_memory_mb:.1f}, {result.callee_node_memory_mb:.1f}"
    )
