"""``cranklane-lab simulate``: runs seeds of a scenario in parallel processes."""

from __future__ import annotations

import json
import multiprocessing
import os
from dataclasses import asdict
from typing import Any

from cranklane.common.logs import set_log_sink
from cranklane_lab.scenarios.base import Result, run_seed
from cranklane_lab.scenarios.library import SCENARIOS


def quiet() -> None:
    """Discard all log lines."""
    set_log_sink(None)


def _run(arguments: tuple[str, int, tuple[str, ...]]) -> Result:
    quiet()
    name, seed, switched_off = arguments
    return run_seed(SCENARIOS[name], seed, switched_off)


def run_seeds(
    name: str, seeds: range, switched_off: tuple[str, ...] = (), jobs: int = 0
) -> list[Result]:
    """Run seeds of a scenario; return the results in the order of the seeds.

    :param switched_off: names of mechanisms to switch off.
    :param jobs: maximum number of parallel processes; 0: one per core.
    """
    tasks = [(name, seed, switched_off) for seed in seeds]
    jobs = min(jobs or os.cpu_count() or 1, len(tasks))
    if jobs <= 1:
        return [_run(task) for task in tasks]
    context = multiprocessing.get_context("spawn")
    with context.Pool(jobs) as pool:
        return pool.map(_run, tasks, chunksize=1)


def report(results: list[Result], as_json: bool) -> int:
    """Print the results; return 1 if a seed has violations, otherwise 0."""
    failed = [result for result in results if result.violations]
    if as_json:
        print(json.dumps([asdict(result) for result in results]))
        return 1 if failed else 0
    for result in failed:
        for violation in result.violations[:3]:
            print(f"seed {result.seed}: {violation.promise}: {violation.detail}")
        if len(result.violations) > 3:
            print(f"seed {result.seed}: and {len(result.violations) - 3} more")
        print(f"  {result.replay}")
    totals: dict[str, Any] = {}
    for result in results:
        for outcome, count in result.outcomes.items():
            totals[outcome] = totals.get(outcome, 0) + count
    outcomes = ", ".join(f"{name} {count}" for name, count in sorted(totals.items()))
    print(f"{len(results) - len(failed)} of {len(results)} seeds held; outcomes: {outcomes}")
    return 1 if failed else 0
