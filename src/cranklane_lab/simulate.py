"""``cranklane-lab simulate``: many seeds of a scenario, several processes at once."""

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
    """Write no log lines of simulated processes."""
    set_log_sink(None)


def _run(arguments: tuple[str, int, tuple[str, ...]]) -> Result:
    quiet()
    name, seed, switched_off = arguments
    return run_seed(SCENARIOS[name], seed, switched_off)


def run_seeds(
    name: str, seeds: range, switched_off: tuple[str, ...] = (), jobs: int = 0
) -> list[Result]:
    """Run seeds of a scenario; results come in the seeds' order.

    :param jobs: processes at once; 0 for one a core.
    """
    work = [(name, seed, switched_off) for seed in seeds]
    jobs = min(jobs or os.cpu_count() or 1, len(work))
    if jobs <= 1:
        return [_run(item) for item in work]
    context = multiprocessing.get_context("spawn")
    with context.Pool(jobs) as pool:
        return pool.map(_run, work, chunksize=1)


def report(results: list[Result], as_json: bool) -> int:
    """Print results; return the exit status."""
    broken = [result for result in results if result.violations]
    if as_json:
        print(json.dumps([asdict(result) for result in results]))
        return 1 if broken else 0
    for result in broken:
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
    print(f"{len(results) - len(broken)} of {len(results)} seeds held; told: {outcomes}")
    return 1 if broken else 0
