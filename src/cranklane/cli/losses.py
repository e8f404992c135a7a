"""Sums up how the requests of a fleet ended, from the summaries in its sidecars' logs.

Relies on the fields of the log event ``requests_ended``
(:mod:`~cranklane.sidecar.telemetry.request_summary`).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from cranklane.cli.story import LogLine
from cranklane.common.units import MILLISECONDS

SUMMARY_EVENT = "requests_ended"
"""Log event of a sidecar's summary."""

ENDS = ("in_time", "late", "refused", "failed", "left")
"""How a client's request may end, as summaries name it."""

_SERVED = ("in_time", "late")
_ROUTE_WIDTH = 14
"""Characters of a route's name at the head of a column; longer names are cut."""


@dataclass
class Losses:
    """Sums over the summaries of any number of sidecars.

    :ivar by_route: requests by route and end.
    :ivar by_second: requests by second of the logs' clock, route and end.
    :ivar by_cause: requests that were not served by route, end, service and reason.
    :ivar work: milliseconds of slots by service and end of the request they were for.
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
        """Every route, those with more requests first."""
        counts: defaultdict[str, int] = defaultdict(int)
        for (route, _), count in self.by_route.items():
            counts[route] += count
        return sorted(counts, key=lambda route: (-counts[route], route))

    @property
    def services(self) -> list[str]:
        """Every service, those with more work first."""
        sums: defaultdict[str, int] = defaultdict(int)
        for (service, _), milliseconds in self.work.items():
            sums[service] += milliseconds
        return sorted(sums, key=lambda service: (-sums[service], service))


def losses_of(lines: Iterable[LogLine]) -> Losses:
    """Add up the summaries among the lines of some logs."""
    losses = Losses()
    for line in lines:
        if line.event != SUMMARY_EVENT:
            continue
        second = int(line.at)
        for route, end, service, reason, count in line.fields["ends"]:
            losses.by_route[route, end] += count
            losses.by_second[second, route, end] += count
            if end not in _SERVED:
                losses.by_cause[route, end, service, reason] += count
        for service, end, milliseconds in line.fields["work_ms"]:
            losses.work[service, end] += milliseconds
    return losses


def format_losses(losses: Losses) -> Iterator[str]:
    """Yield the report: ends by route, causes, useful work, and the worst seconds."""
    yield "Requests of clients by route and end"
    yield f"  {'route':<20}" + "".join(f"{end:>9}" for end in ENDS)
    for route in losses.routes:
        counts = "".join(f"{losses.by_route[route, end]:>9}" for end in ENDS)
        yield f"  {route:<20}{counts}"
    yield "Why the others were lost"
    by_count = sorted(losses.by_cause.items(), key=lambda item: -item[1])
    for (route, end, service, reason), count in by_count:
        yield f"  {count:>8}  {route:<20} {end:<8} {reason} at {service or '?'}"
    yield "Useful work: seconds of slots by the end of the request they were for"
    for service in losses.services:
        yield f"  {service:<20}" + _work_by_end(losses, service)
    yield "Served requests of each second"
    yield from _seconds(losses)


def _work_by_end(losses: Losses, service: str) -> str:
    total = sum(losses.work[service, end] for end in ENDS)
    ratios = [f"{end} {losses.work[service, end] / total:.1%}" for end in ENDS] if total else []
    return f"{total / MILLISECONDS:>9.1f} s  " + "  ".join(ratios)


def _seconds(losses: Losses) -> Iterator[str]:
    seconds = sorted({second for second, _, _ in losses.by_second})
    routes = losses.routes
    yield "  second    " + "".join(f"{route[:_ROUTE_WIDTH]:>22}" for route in routes)
    for second in seconds:
        cells = "".join(f"{_cell(losses, second, route):>22}" for route in routes)
        yield f"  {second - seconds[0]:>6}    {cells}"


def _cell(losses: Losses, second: int, route: str) -> str:
    total = sum(losses.by_second[second, route, end] for end in ENDS)
    served = sum(losses.by_second[second, route, end] for end in _SERVED)
    return f"{served}/{total}" if total else "-"
