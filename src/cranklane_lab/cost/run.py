"""Measures the CPU time per request, optionally compared with another source tree."""

from __future__ import annotations

import statistics
import tempfile
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import gevent

from cranklane.runtime.real import RealRuntime
from cranklane_lab.cost.site import CostSite
from cranklane_lab.standins.raw_http import RawConnection, request_bytes
from cranklane_lab.standins.route_tables import HOST

CLIENT_COUNT = 8
WARM_UP_REQUESTS = 500
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True)
class Load:
    """Kind of request load.

    :ivar connection_per_request: whether each request uses a new connection.
    :ivar uses_api_key: whether requests carry an API key.
    """

    name: str
    connection_per_request: bool
    uses_api_key: bool


LOADS = (
    Load("kept connections", connection_per_request=False, uses_api_key=False),
    Load("fresh connections", connection_per_request=True, uses_api_key=False),
    Load("fresh connections, keys", connection_per_request=True, uses_api_key=True),
)


class _LoadGenerator:
    """Sends requests through a site from several concurrent clients."""

    def __init__(self, site: CostSite, connection_per_request: bool) -> None:
        self._site = site
        self._connection_per_request = connection_per_request
        self._runtime = RealRuntime()
        self._request_numbers = count()

    def send(self, requests: int) -> None:
        """Send requests and wait for their responses.

        :raises RuntimeError: if a response is missing or its status is not 200.
        """
        requests_per_client = requests // CLIENT_COUNT
        gevent.joinall(
            [gevent.spawn(self._run_client, requests_per_client) for _ in range(CLIENT_COUNT)],
            raise_error=True,
        )

    def _run_client(self, requests: int) -> None:
        connection: RawConnection | None = None
        for _ in range(requests):
            if connection is None:
                connection = RawConnection(self._runtime, self._site.callers_address, 10.0)
            headers = {"Host": HOST, **self._site.headers(f"r{next(self._request_numbers)}")}
            connection.send(request_bytes("GET", "/read/x", headers))
            answer = connection.answer()
            if answer is None or answer.status != 200:
                raise RuntimeError(f"expected a response with status 200, received {answer}")
            if self._connection_per_request:
                connection.close()
                connection = None


def _measure(site: CostSite, generator: _LoadGenerator, requests: int) -> float:
    before = site.cpu_seconds()
    generator.send(requests)
    return (site.cpu_seconds() - before) / requests * MICROSECONDS_PER_SECOND


def measure_load(load: Load, sources: list[Path | None], requests: int, rounds: int) -> list[str]:
    """Measure the CPU time per request of both sidecars; return the lines of the report.

    :param sources: source trees to run, in turn; None: the installed one.
    :param requests: requests per measurement window.
    :param rounds: measurement windows per source tree.
    """
    with tempfile.TemporaryDirectory() as folder:
        sites = [
            CostSite(Path(folder) / str(number), source, load.uses_api_key)
            for number, source in enumerate(sources)
        ]
        try:
            for site in sites:
                site.start()
            generators = [_LoadGenerator(site, load.connection_per_request) for site in sites]
            for generator in generators:
                generator.send(WARM_UP_REQUESTS)
            costs_by_site: list[list[float]] = [[] for _ in sites]
            for _ in range(rounds):
                for number, site in enumerate(sites):
                    costs_by_site[number].append(_measure(site, generators[number], requests))
        finally:
            for site in sites:
                site.stop()
    names = [str(source) if source is not None else "this tree" for source in sources]
    lines = [
        f"{load.name:<26}{name:<24}median {statistics.median(costs):6.0f} us, "
        f"{min(costs):6.0f} to {max(costs):6.0f}"
        for name, costs in zip(names, costs_by_site, strict=True)
    ]
    if len(costs_by_site) == 2:
        ratios = [cost / baseline_cost for cost, baseline_cost in zip(*costs_by_site, strict=True)]
        lines.append(f"{'':<26}ratio, window by window: median {statistics.median(ratios):.3f}")
    return lines
