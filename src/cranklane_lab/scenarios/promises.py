"""Checks of what must always hold, on what was recorded from outside."""

from __future__ import annotations

from collections import Counter, defaultdict

from cranklane_lab.scenarios.recorder import Recorder

LEAVING_SECONDS = 3.0
"""Seconds after which a back end that leaves gets no new work."""


def check_all(recorder: Recorder, allowance: int, edge_lost: bool = False) -> None:
    """Check every promise that can be judged after a run.

    :param allowance: retries that a root request may cause.
    :param edge_lost: whether an edge was killed, so that clients may hear nothing.
    """
    check_retry_bound(recorder, allowance)
    check_answers(recorder, edge_lost)
    check_not_run(recorder)
    check_at_most_once(recorder)
    check_leaving(recorder)


def check_retry_bound(recorder: Recorder, allowance: int) -> None:
    """No call of a tree runs more often than once and the allowance.

    A tree's runs beyond the first of each call are also bounded as a whole: each
    retry repeats at most the calls below it once.
    """
    for nonce, runs in recorder.runs_by_nonce().items():
        by_call = Counter((run.service, run.path) for run in runs)
        most = max(by_call.values())
        if most > 1 + allowance:
            recorder.violate("retry-bound", f"{nonce}: one call ran {most} times")
        if len(runs) > len(by_call) * (1 + allowance):
            recorder.violate("retry-bound", f"{nonce}: {len(runs)} runs in all")


def check_answers(recorder: Recorder, edge_lost: bool) -> None:
    """Every answer is whole and its caller's own; nobody is left without one."""
    for sent in recorder.sent:
        if sent.result.wrong:
            recorder.violate("answer-integrity", f"{sent.result.nonce}: {sent.result.wrong}")
        if sent.result.outcome == "lost" and not edge_lost:
            recorder.violate(
                "answer-integrity", f"{sent.result.nonce}: no answer: {sent.result.reason}"
            )


def check_not_run(recorder: Recorder) -> None:
    """What was told not_run, each time it was sent, was run nowhere."""
    ran = recorder.runs_by_nonce()
    outcomes_of: dict[str, set[str]] = defaultdict(set)
    for sent in recorder.sent:
        outcomes_of[sent.result.nonce].add(sent.result.outcome)
    for nonce, outcomes in outcomes_of.items():
        if outcomes == {"not_run"} and nonce in ran:
            recorder.violate("not-run", f"{nonce}: told not_run, ran at {ran[nonce][0].worker}")


def check_at_most_once(recorder: Recorder) -> None:
    """A once-route's work runs at most once for a key."""
    by_key = Counter((run.service, run.key) for run in recorder.runs if run.key)
    for (service, key), count in by_key.items():
        if count > 1:
            recorder.violate("at-most-once", f"{service} ran {count} times for key {key}")


def check_leaving(recorder: Recorder) -> None:
    """A back end that leaves gets no new work after a few seconds."""
    for run in recorder.runs:
        drained = recorder.drained.get(run.worker)
        if drained is not None and run.at > drained + LEAVING_SECONDS:
            late = run.at - drained
            recorder.violate("leaving", f"{run.worker} got work {late:.1f} s after its drain")
