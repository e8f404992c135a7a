"""The promises of a soak, from what callers, workers and operators see."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cranklane_lab.soak.site import Crash
from cranklane_lab.standins.raw_http import RawAnswer
from cranklane_lab.standins.routed_worker import RoutedWorker

KNOWN_SECONDS = 3.0
"""After the third end under a request, every machine knows of it this much later."""

MOST_RUNS_AFTER = 3
"""Runs of such a request after that."""

NOT_RUN_STATUS = frozenset({408, 421, 429, 503})


@dataclass
class Observations:
    """What was seen, and which promises broke.

    :ivar broken: one line for each broken promise.
    :ivar refused_not_idempotent: ids that were told that they had not run.
    """

    broken: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    refused_not_idempotent: set[str] = field(default_factory=set)
    unrepeatable: set[str] = field(default_factory=set)
    acknowledged: int = 0
    taken: dict[int, str] = field(default_factory=dict)

    def break_promise(self, text: str) -> None:
        """Take that a promise broke."""
        self.broken.append(text)

    def answered(self, request: str, idempotent: bool, answer: RawAnswer | None) -> None:
        """Take what a caller got."""
        status = answer.status if answer is not None else 0
        self.statuses[str(status)] += 1
        if not idempotent:
            self.unrepeatable.add(request)
            if status in NOT_RUN_STATUS:
                self.refused_not_idempotent.add(request)
        if answer is None or status != 200 or not answer.whole:
            return
        if answer.body != f"ran {request}".encode():
            self.break_promise(f"{request} got another's answer: {answer.body[:80]!r}")

    def read(self, sent_after: int, version: int) -> None:
        """Take a read of the route table.

        :param sent_after: newest version acknowledged before the read was sent.
        """
        if version < sent_after:
            self.break_promise(f"a read gave version {version} after {sent_after} was acknowledged")

    def check_crashes(self, crashes: list[Crash], workers: list[RoutedWorker]) -> None:
        """Compare the ends of workers under each request with its later runs."""
        for target in sorted({crash.target for crash in crashes}):
            ends = [crash.at for crash in crashes if crash.target == target]
            if len(ends) < 3:
                continue
            known_at = ends[2] + KNOWN_SECONDS
            runs = [run for worker in workers for run in worker.state.runs]
            later = sum(run.target == target and run.at > known_at for run in runs)
            if later > MOST_RUNS_AFTER:
                self.break_promise(f"{target.decode()} ran {later} times after its third end")

    def check_runs(self, workers: list[RoutedWorker]) -> None:
        """Compare what workers ran with what callers were told."""
        runs = Counter(run.request for worker in workers for run in worker.state.runs)
        for request in sorted(self.unrepeatable):
            if runs[request] > 1:
                self.break_promise(f"{request} may not be repeated and ran {runs[request]} times")
        for request in sorted(self.refused_not_idempotent):
            if runs[request]:
                self.break_promise(f"{request} was told that it had not run, and ran")
