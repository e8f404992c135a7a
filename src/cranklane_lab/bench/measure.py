"""What the bench measures of one run."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from cranklane_lab.scenarios.recorder import Recorder

WINDOW_SECONDS = 0.5
RECOVERED_PART = 0.95
"""Part of a window's requests that must be whole for it to count as recovered."""


@dataclass(frozen=True)
class Wanted:
    """One thing a client wanted, however often it sent it.

    :ivar criticality: of its route, by name.
    :ivar sends: how often it was sent.
    """

    at: float
    ended: float
    kind: str
    tenant: str
    criticality: str
    nonces: tuple[str, ...]
    good: bool

    @property
    def sends(self) -> int:
        """How often it was sent."""
        return len(self.nonces)


@dataclass
class Phase:
    """Requests wanted in one stretch of time.

    :ivar goodput: whole requests a second.
    """

    offered: float = 0.0
    goodput: float = 0.0
    good_part: dict[str, float] = field(default_factory=dict)


@dataclass
class Measurement:
    """One variant's run.

    :ivar recovery_seconds: from the disturbance's end; -1 when it never recovered.
    :ivar wasted: part of the workers' time spent on requests that ended without a
        whole answer.
    :ivar repeats_per_request: calls run again by any hop, for each request.
    """

    variant: str
    before: Phase
    during: Phase
    after: Phase
    recovery_seconds: float
    wasted: float
    repeats_per_request: float
    refused: dict[str, int]
    p50_ms: float
    p99_ms: float


def phase_of(wanted: list[Wanted], start: float, end: float) -> Phase:
    """Return what came of the requests that began between two times."""
    chosen = [item for item in wanted if start <= item.at < end]
    groups: dict[str, list[bool]] = defaultdict(list)
    for item in chosen:
        groups[item.criticality].append(item.good)
        groups[f"tenant {item.tenant}"].append(item.good)
    length = end - start
    return Phase(
        offered=len(chosen) / length,
        goodput=sum(item.good for item in chosen) / length,
        good_part={name: sum(group) / len(group) for name, group in sorted(groups.items())},
    )


def recovery_of(wanted: list[Wanted], ended: float, last: float) -> float:
    """Return the seconds until goodput stays back; -1 when it does not by ``last``."""
    recovered = -1.0
    start = ended
    while start + WINDOW_SECONDS <= last:
        window = [item.good for item in wanted if start <= item.at < start + WINDOW_SECONDS]
        good = sum(window) >= RECOVERED_PART * len(window)
        if not good:
            recovered = -1.0
        elif recovered < 0:
            recovered = start - ended
        start += WINDOW_SECONDS
    return recovered


def wasted_part(recorder: Recorder, wanted: list[Wanted], seconds_of: dict[str, float]) -> float:
    """Return the part of the workers' time that went into requests without an answer.

    :param seconds_of: planned seconds of a call by ``service first-part-of-path``.
    """
    good = {nonce for item in wanted if item.good for nonce in item.nonces}
    spent = wasted = 0.0
    for run in recorder.runs:
        seconds = seconds_of.get(f"{run.service} {run.path.split('/')[1]}", 0.0)
        spent += seconds
        if run.nonce not in good:
            wasted += seconds
    return wasted / spent if spent else 0.0


def repeats(recorder: Recorder, wanted: list[Wanted]) -> float:
    """Return calls run again by any hop, for each request that was sent."""
    again = 0
    for runs in recorder.runs_by_nonce().values():
        by_call = Counter((run.service, run.path) for run in runs)
        again += sum(count - 1 for count in by_call.values())
    return again / max(1, sum(item.sends for item in wanted))


def quantile(values: list[float], part: float) -> float:
    """Return a quantile, 0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
