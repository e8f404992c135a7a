"""Records client results, worker runs and violations of a run."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from cranklane_lab.standins.client import ClientResult
from cranklane_lab.standins.worker import WorkerRun


@dataclass(frozen=True)
class Violation:
    """A violated promise.

    :ivar promise: name of the promise.
    :ivar detail: what was observed.
    """

    promise: str
    detail: str


@dataclass(frozen=True)
class SentRequest:
    """A client request and its result.

    :ivar at: virtual second at which it was sent.
    """

    at: float
    result: ClientResult


class Recorder:
    """Collects observations from outside the product.

    :ivar drained: virtual second of each worker's drain signal, by worker name.
    :ivar versions: newest configuration version seen at each node.
    """

    def __init__(self) -> None:
        self.runs: list[WorkerRun] = []
        self.sent: list[SentRequest] = []
        self.violations: list[Violation] = []
        self.drained: dict[str, float] = {}
        self.stopping: list[tuple[float, float]] = []
        self.versions: dict[str, int] = {}

    def ran(self, run: WorkerRun) -> None:
        """Record a call that a worker started to run."""
        self.runs.append(run)

    def record(self, at: float, result: ClientResult) -> None:
        """Record a client's result."""
        self.sent.append(SentRequest(at, result))

    def record_version(self, node: str, version: int) -> None:
        """Record a node's configuration version, which must not decrease."""
        previous = self.versions.get(node, 0)
        if version < previous:
            self.violate("config-monotonic", f"{node} went from version {previous} to {version}")
        self.versions[node] = max(previous, version)

    def violate(self, promise: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(promise, detail))

    def runs_by_nonce(self) -> dict[str, list[WorkerRun]]:
        """Return the runs of each request's call tree, by nonce."""
        by_nonce: dict[str, list[WorkerRun]] = defaultdict(list)
        for run in self.runs:
            by_nonce[run.nonce].append(run)
        return by_nonce

    def good(self) -> int:
        """Return the number of successful requests."""
        return sum(sent.result.good for sent in self.sent)

    def outcomes(self) -> Counter[str]:
        """Return the number of requests by outcome, or by HTTP status if answered."""
        return Counter(
            sent.result.outcome if sent.result.outcome != "answered" else str(sent.result.status)
            for sent in self.sent
        )
