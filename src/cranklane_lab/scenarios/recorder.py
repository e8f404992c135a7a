"""What callers were told and what workers in truth ran, seen from outside."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from cranklane_lab.standins.client import ClientResult
from cranklane_lab.standins.worker import WorkerRun


@dataclass(frozen=True)
class Violation:
    """A promise that did not hold.

    :ivar promise: the promise's name.
    :ivar detail: what was seen.
    """

    promise: str
    detail: str


@dataclass(frozen=True)
class Sent:
    """One request of a client.

    :ivar at: true second at which it was sent.
    """

    at: float
    result: ClientResult


class Recorder:
    """Records from outside the product."""

    def __init__(self) -> None:
        self.runs: list[WorkerRun] = []
        self.sent: list[Sent] = []
        self.violations: list[Violation] = []
        self.drained: dict[str, float] = {}
        self.stopping: list[tuple[float, float]] = []
        self.versions: dict[str, int] = {}

    def ran(self, run: WorkerRun) -> None:
        """Record a call that a worker has started."""
        self.runs.append(run)

    def record(self, at: float, result: ClientResult) -> None:
        """Record what a client was told."""
        self.sent.append(Sent(at, result))

    def saw_version(self, node: str, version: int) -> None:
        """Record the version in force at a node; it must never fall."""
        before = self.versions.get(node, 0)
        if version < before:
            self.violate("config-monotonic", f"{node} went from version {before} to {version}")
        self.versions[node] = max(before, version)

    def violate(self, promise: str, detail: str) -> None:
        """Record a broken promise."""
        self.violations.append(Violation(promise, detail))

    def runs_by_nonce(self) -> dict[str, list[WorkerRun]]:
        """Return the runs of each request's tree."""
        by_nonce: dict[str, list[WorkerRun]] = defaultdict(list)
        for run in self.runs:
            by_nonce[run.nonce].append(run)
        return by_nonce

    def good(self) -> int:
        """Return how many requests were answered whole."""
        return sum(sent.result.good for sent in self.sent)

    def outcomes(self) -> Counter[str]:
        """Return how often each outcome was told."""
        return Counter(
            sent.result.outcome if sent.result.outcome != "answered" else str(sent.result.status)
            for sent in self.sent
        )
