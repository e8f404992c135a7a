"""Invariants of a soak run, checked against what callers, workers and operators observe."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

from cranklane_lab.fleet.processes import FleetProcess
from cranklane_lab.soak.loads import (
    SIGNATURE_BODY,
    UPLOAD_PREFIX,
    is_whole_upload,
    upload_body,
    upload_size,
)
from cranklane_lab.soak.site import Crash
from cranklane_lab.standins.raw_http import RawAnswer
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker import RoutedWorker
from cranklane_lab.standins.routed_worker_state import LateBody, RoutedRun

QUARANTINE_DELAY_SECONDS = 3.0
"""Time within which every machine learns that a request crashed its third worker."""

MAX_RUNS_IN_QUARANTINE = 3
"""Runs allowed for a request once every machine has quarantined it."""

NOT_RUN_STATUS = frozenset({408, 421, 429, 503})


@dataclass
class Observations:
    """Observed responses, reads and runs, and the invariants that they violate.

    :ivar violations: one line per violation.
    :ivar statuses: number of responses by status; "0" for no response.
    :ivar refused_non_idempotent: ids of non-idempotent requests refused as not run.
    :ivar non_idempotent: ids of all non-idempotent requests.
    :ivar acknowledged_version: newest acknowledged version of the route table.
    :ivar served: number of runs by tenant.
    :ivar sent_tables: documents sent by operators, by version.
    """

    violations: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    refused_non_idempotent: set[str] = field(default_factory=set)
    non_idempotent: set[str] = field(default_factory=set)
    acknowledged_version: int = 0
    sent_tables: dict[int, str] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)

    def record_violation(self, text: str) -> None:
        """Record a violated invariant."""
        self.violations.append(text)

    def record_answer(self, request: str, idempotent: bool, answer: RawAnswer | None) -> None:
        """Record the response to a caller's request; None if the connection ended without one."""
        status = answer.status if answer is not None else 0
        self.statuses[str(status)] += 1
        if not idempotent:
            self.non_idempotent.add(request)
            if status in NOT_RUN_STATUS:
                self.refused_non_idempotent.add(request)
        if status == HTTPStatus.UNAUTHORIZED:
            self.record_violation(f"{request} was refused, although its key is in every table")
        if answer is None or status != 200 or not answer.whole:
            return
        if answer.body != f"ran {request}".encode():
            self.record_violation(
                f"{request} received another request's answer: {answer.body[:80]!r}"
            )

    def record_run(self, tenant: str, run: RoutedRun) -> None:
        """Record a run as it starts at a worker.

        :param tenant: tenant whose caller sent the request.
        """
        self.served[tenant] += 1
        if run.value(NAMES.tenant) != tenant.encode():
            self.record_violation(
                f"{run.request} of {tenant} ran for {run.value(NAMES.tenant).decode()!r}"
            )
        if run.value(NAMES.key):
            self.record_violation(f"{run.request} was forwarded with its key")
        if run.answered_early:
            # Its body is checked once the worker has read it.
            return
        is_upload = run.target.startswith(UPLOAD_PREFIX)
        if is_upload and not is_whole_upload(run.request, run.target, run.body):
            self.record_violation(f"{run.request} ran with a changed body of {len(run.body)} bytes")

    def record_late_body(self, late_body: LateBody) -> None:
        """Record a body that a worker read after its answer: it may end early, but not differ."""
        if late_body.target.startswith(UPLOAD_PREFIX):
            sent = upload_body(late_body.request, upload_size(late_body.target))
        else:
            sent = SIGNATURE_BODY
        if late_body.malformed or not sent.startswith(late_body.data):
            self.record_violation(
                f"other bytes arrived where the rest of the body of {late_body.request} was due"
            )

    def check_processes(self, exited_unexpectedly: list[FleetProcess]) -> None:
        """Record the processes that exited without a request to end."""
        for process in exited_unexpectedly:
            status = process.process.returncode
            self.record_violation(f"{process.name} exited unexpectedly with status {status}")

    def record_read(self, acknowledged_before: int, version: int) -> None:
        """Record a read of the route table.

        :param acknowledged_before: newest version acknowledged before the read was sent.
        """
        if version < acknowledged_before:
            self.record_violation(
                f"a read returned version {version} after {acknowledged_before} was acknowledged"
            )

    def check_quarantine(self, crashes: list[Crash], workers: list[RoutedWorker]) -> None:
        """Check the number of runs of each request after it crashed its third worker."""
        for target in sorted({crash.target for crash in crashes}):
            crash_times = [crash.at for crash in crashes if crash.target == target]
            if len(crash_times) < 3:
                continue
            quarantined_at = crash_times[2] + QUARANTINE_DELAY_SECONDS
            runs = [run for worker in workers for run in worker.state.runs]
            later_runs = sum(run.target == target and run.at > quarantined_at for run in runs)
            if later_runs > MAX_RUNS_IN_QUARANTINE:
                self.record_violation(
                    f"{target.decode()} ran {later_runs} times after its third crash"
                )

    def check_runs(self, workers: list[RoutedWorker]) -> None:
        """Check that refused requests did not run and non-idempotent ones ran at most once."""
        runs = Counter(run.request for worker in workers for run in worker.state.runs)
        for request in sorted(self.non_idempotent):
            if runs[request] > 1:
                self.record_violation(f"{request} is not idempotent and ran {runs[request]} times")
        for request in sorted(self.refused_non_idempotent):
            if runs[request]:
                self.record_violation(f"{request} was refused as not run, but ran")
