"""Checks of the product's promises on the recorded requests and worker runs."""

from __future__ import annotations

from collections import Counter, defaultdict

from cranklane_lab.scenarios.recorder import Recorder

DRAIN_TOLERANCE_SECONDS = 3.0
"""Maximum time after a drain signal in which a worker may get new calls."""


def check_all(recorder: Recorder, allowance: int, edge_lost: bool = False) -> None:
    """Check every promise that can be checked after a run.

    :param allowance: retries that a root request may cause.
    :param edge_lost: whether an edge was killed, so that requests may get no response.
    """
    check_retry_bound(recorder, allowance)
    check_answers(recorder, edge_lost)
    check_not_run(recorder)
    check_at_most_once(recorder)
    check_draining(recorder)


def check_retry_bound(recorder: Recorder, allowance: int) -> None:
    """Check that each call of a tree runs at most ``1 + allowance`` times.

    Also bounds the tree's total runs: a retry repeats each call below it at most once.
    """
    for nonce, runs in recorder.runs_by_nonce().items():
        by_call = Counter((run.service, run.path) for run in runs)
        max_runs = max(by_call.values())
        if max_runs > 1 + allowance:
            recorder.violate(
                "retry-bound",
                f"{nonce}: a call ran {max_runs} times, more than the allowance permits",
            )
        if len(runs) > len(by_call) * (1 + allowance):
            recorder.violate(
                "retry-bound", f"{nonce}: {len(runs)} runs exceed the bound of the tree"
            )


def check_answers(recorder: Recorder, edge_lost: bool) -> None:
    """Check that each request got a response, complete and for that request."""
    for sent in recorder.sent:
        if sent.result.wrong:
            recorder.violate("answer-integrity", f"{sent.result.nonce}: {sent.result.wrong}")
        if sent.result.outcome == "lost" and not edge_lost:
            recorder.violate(
                "answer-integrity", f"{sent.result.nonce}: no response: {sent.result.reason}"
            )


def check_not_run(recorder: Recorder) -> None:
    """Check that no worker ran a request whose outcome was not_run on every attempt."""
    ran = recorder.runs_by_nonce()
    outcomes_of: dict[str, set[str]] = defaultdict(set)
    for sent in recorder.sent:
        outcomes_of[sent.result.nonce].add(sent.result.outcome)
    for nonce, outcomes in outcomes_of.items():
        if outcomes == {"not_run"} and nonce in ran:
            recorder.violate(
                "not-run", f"{nonce}: outcome not_run, but ran on {ran[nonce][0].worker}"
            )


def check_at_most_once(recorder: Recorder) -> None:
    """Check that the work of a once-route runs at most once per idempotency key."""
    by_key = Counter((run.service, run.key) for run in recorder.runs if run.key)
    for (service, key), count in by_key.items():
        if count > 1:
            recorder.violate("at-most-once", f"{service} ran {count} times for key {key}")


def check_draining(recorder: Recorder) -> None:
    """Check that a draining worker gets no call after :data:`DRAIN_TOLERANCE_SECONDS`."""
    for run in recorder.runs:
        drained = recorder.drained.get(run.worker)
        if drained is not None and run.at > drained + DRAIN_TOLERANCE_SECONDS:
            late = run.at - drained
            recorder.violate(
                "leaving", f"{run.worker} got a call {late:.1f} s after its drain signal"
            )
