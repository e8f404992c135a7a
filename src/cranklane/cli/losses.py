"""Reports request outcomes and slot time of a fleet from its sidecars' logs.

Reads the log event ``requests_ended`` of :mod:`~cranklane.sidecar.telemetry.request_summary`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from cranklane.cli.request_timeline import LogLine
from cranklane.common.units import MILLISECONDS

SUMMARY_EVENT = "requests_ended"
"""Log event that summarizes a sidecar's ended requests."""

ENDS = ("in_time", "late", "refused", "failed", "left")
"""Request outcomes from the client's view, as named in the log event."""

_SERVED_ENDS = ("in_time", "late")
_ROUTE_WIDTH = 14
"""Characters of a route name in a column header; longer names are truncated."""


@dataclass
class Losses:
    """Totals over the summaries of one or more sidecars.

    :ivar by_route: requests by route and outcome.
    :ivar by_second: requests by Unix time in seconds, route and outcome.
    :ivar by_cause: requests not served, by route, outcome, failed service and reason.
    :ivar work: slot time in milliseconds, by service and outcome of the client request.
    """

    by_route: defaultdict[tuple[str, str], int] = field(default_factory=lambda: defaultdict(int))
    by_second: defaultdict[tuple[int, str, str], int] = field(
        default_factory=lambda: defaultdict(int)
    )
    by_cause: defaultdict[tuple[str, str, str, str], int] = field(
        default_factory=lambda: defaultdict(int)
    )
    work: defaultdict[tuple[str, str], int] = field(default_factory=lambda: defaultdict(int))

    @property
    def routes(self) -> list[str]:
        """All routes, in descending order of requests."""
        counts: defaultdict[str, int] = defaultdict(int)
        for (route, _), count in self.by_route.items():
            counts[route] += count
        return sorted(counts, key=lambda route: (-counts[route], route))

    @property
    def services(self) -> list[str]:
        """All services, in descending order of slot time."""
        sums: defaultdict[str, int] = defaultdict(int)
        for (service, _), milliseconds in self.work.items():
            sums[service] += milliseconds
        return sorted(sums, key=lambda service: (-sums[service], service))


def sum_losses(lines: Iterable[LogLine]) -> Losses:
    """Return the totals of all summaries among the log lines."""
    losses = Losses()
    for line in lines:
        if line.event != SUMMARY_EVENT:
            continue
        second = int(line.timestamp)
        for route, end, service, reason, count in line.fields["ends"]:
            losses.by_route[route, end] += count
            losses.by_second[second, route, end] += count
            if end not in _SERVED_ENDS:
                losses.by_cause[route, end, service, reason] += count
        for service, end, milliseconds in line.fields["work_ms"]:
            losses.work[service, end] += milliseconds
    return losses


def format_losses(losses: Losses) -> Iterator[str]:
    """Yield the lines of the report: outcomes, causes, slot time, served requests per second."""
    yield "Client requests by route and outcome"
    yield f"  {'route':<20}" + "".join(f"{end:>9}" for end in ENDS)
    for route in losses.routes:
        counts = "".join(f"{losses.by_route[route, end]:>9}" for end in ENDS)
        yield f"  {route:<20}{counts}"
    yield "Causes of requests not served"
    sorted_causes = sorted(losses.by_cause.items(), key=lambda item: -item[1])
    for (route, end, service, reason), count in sorted_causes:
        yield f"  {count:>8}  {route:<20} {end:<8} {reason} at {service or '?'}"
    yield "Slot time by service and outcome of the client request"
    for service in losses.services:
        yield f"  {service:<20}" + _format_work(losses, service)
    yield "Served/total requests in each second"
    yield from _format_seconds(losses)


def _format_work(losses: Losses, service: str) -> str:
    total = sum(losses.work[service, end] for end in ENDS)
    ratios = [f"{end} {losses.work[service, end] / total:.1%}" for end in ENDS] if total else []
    return f"{total / MILLISECONDS:>9.1f} s  " + "  ".join(ratios)


def _format_seconds(losses: Losses) -> Iterator[str]:
    seconds = sorted({second for second, _, _ in losses.by_second})
    routes = losses.routes
    yield "  second    " + "".join(f"{route[:_ROUTE_WIDTH]:>22}" for route in routes)
    for second in seconds:
        cells = "".join(f"{_format_cell(losses, second, route):>22}" for route in routes)
        yield f"  {second - seconds[0]:>6}    {cells}"


def _format_cell(losses: Losses, second: int, route: str) -> str:
    total = sum(losses.by_second[second, route, end] for end in ENDS)
    served = sum(losses.by_second[second, route, end] for end in _SERVED_ENDS)
    return f"{served}/{total}" if total else "-"
