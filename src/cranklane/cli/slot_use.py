"""Reports who used the slots of each service, and who was refused, from its sidecars' logs.

Reads the log event ``slots_used`` of :mod:`~cranklane.sidecar.telemetry.slot_summary`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from cranklane.cli.request_timeline import LogLine
from cranklane.common.units import MILLISECONDS

SLOT_EVENT = "slots_used"
"""Log event that summarizes the use of one worker's slots."""

_ADMITTED = "none"
"""Label of the reason that stands for an admission."""


@dataclass
class SlotUse:
    """Totals over the summaries of one or more workers.

    :ivar decisions: admissions and refusals, by service, root priority and reason.
    :ivar slot_ms: slot time in milliseconds, by service and root priority.
    :ivar by_second: admissions and all decisions, by Unix time in seconds, service and priority.
    :ivar limits: limits on concurrent runs, by Unix time in seconds and route; one for each
        summary.
    """

    decisions: defaultdict[tuple[str, int, str], int] = field(
        default_factory=lambda: defaultdict(int)
    )
    slot_ms: defaultdict[tuple[str, int], int] = field(default_factory=lambda: defaultdict(int))
    by_second: defaultdict[tuple[int, str, int], list[int]] = field(
        default_factory=lambda: defaultdict(lambda: [0, 0])
    )
    limits: defaultdict[tuple[int, str], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )


def sum_slot_use(lines: Iterable[LogLine]) -> SlotUse:
    """Return the totals of all summaries among the log lines."""
    use = SlotUse()
    for line in lines:
        if line.event != SLOT_EVENT:
            continue
        second = int(line.timestamp)
        for service, priority, reason, count in line.fields["decisions"]:
            use.decisions[service, priority, reason] += count
            cell = use.by_second[second, service, priority]
            cell[0] += count if reason == _ADMITTED else 0
            cell[1] += count
        for service, priority, milliseconds in line.fields["slot_ms"]:
            use.slot_ms[service, priority] += milliseconds
        for route, limit in line.fields["limits"].items():
            use.limits[second, route].append(limit)
    return use


def format_slot_use(use: SlotUse) -> Iterator[str]:
    """Yield the lines of the report: totals, admissions in each second, limits."""
    yield "Slots by service and root priority"
    for service, priority in sorted(
        {(service, priority) for service, priority, _ in use.decisions}
    ):
        yield f"  {service:<20} priority {priority:<4}" + _format_totals(use, service, priority)
    yield "Admitted/decided by service and root priority in each second"
    yield from _format_seconds(use)
    yield "Smallest and mean limit on concurrent runs of limited routes in each second"
    first = min((second for second, _, _ in use.by_second), default=0)
    for second, route in sorted(use.limits):
        values = use.limits[second, route]
        mean = sum(values) / len(values)
        yield (
            f"  {second - first:>6}    {route:<20} {min(values):.1f} {mean:.1f}"
            f"  at {len(values)} workers"
        )


def _format_totals(use: SlotUse, service: str, priority: int) -> str:
    reasons = {
        reason: count
        for (name, rank, reason), count in use.decisions.items()
        if (name, rank) == (service, priority)
    }
    admitted = reasons.pop(_ADMITTED, 0)
    refused = "".join(f"  {reason} {count}" for reason, count in sorted(reasons.items()))
    seconds = use.slot_ms[service, priority] / MILLISECONDS
    return f"{seconds:>9.1f} s  admitted {admitted}{refused}"


def _format_seconds(use: SlotUse) -> Iterator[str]:
    columns = sorted({(service, priority) for _, service, priority in use.by_second})
    seconds = sorted({second for second, _, _ in use.by_second})
    yield "  second    " + "".join(f"{f'{service[:12]} {rank}':>18}" for service, rank in columns)
    for second in seconds:
        cells = "".join(f"{_format_cell(use, second, *column):>18}" for column in columns)
        yield f"  {second - seconds[0]:>6}    {cells}"


def _format_cell(use: SlotUse, second: int, service: str, priority: int) -> str:
    cell = use.by_second.get((second, service, priority))
    return f"{cell[0]}/{cell[1]}" if cell else "-"
