"""The commands ``cranklane-lab replay`` and ``cranklane-lab search``."""

from __future__ import annotations

import multiprocessing
import os
from pathlib import Path

from cranklane_lab.replay.generate import random_trace, shrink
from cranklane_lab.replay.player import ReplayResult, play
from cranklane_lab.replay.trace import Trace, TraceError, read
from cranklane_lab.simulate import quiet


def replay(path: Path, switched_off: tuple[str, ...] = ()) -> int:
    """Play a trace file and print the result.

    :returns: exit code: 1 for a violation or an unexpected outcome, 2 for an invalid file.
    """
    quiet()
    try:
        trace = read(path)
    except TraceError as error:
        print("\n".join(error.problems))
        return 2
    played = play(trace, switched_off)
    for violation in played.violations:
        print(f"{violation.promise}: {violation.detail}")
    for difference in played.differences:
        print(f"differs: {difference}")
    outcomes = ", ".join(f"{name} {count}" for name, count in played.outcomes.items())
    print(f"{path.name}: {len(trace.events)} events; outcomes: {outcomes}")
    return 1 if played.violations or played.differences else 0


def _play_seed(arguments: tuple[int, tuple[str, ...]]) -> ReplayResult:
    quiet()
    seed, switched_off = arguments
    return play(random_trace(seed), switched_off)


def search(seeds: range, switched_off: tuple[str, ...], folder: Path) -> int:
    """Play random traces and write a shrunk trace for each seed that violates a promise.

    :returns: exit code: 1 for any violation.
    """
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(len(seeds), os.cpu_count() or 1)) as pool:
        results = pool.map(_play_seed, [(seed, switched_off) for seed in seeds], chunksize=1)
    quiet()
    broken = [
        (seed, played) for seed, played in zip(seeds, results, strict=True) if played.violations
    ]
    for seed, played in broken:
        promise = played.violations[0].promise
        print(f"seed {seed}: {promise}: {played.violations[0].detail}")
        path = folder / f"{promise}-{seed}.trace"
        _shrunk_trace(seed, promise, switched_off).write(path)
        options = "".join(f" --without {name}" for name in switched_off)
        print(f"  cranklane-lab replay {path}{options}")
    print(f"{len(seeds) - len(broken)} of {len(seeds)} random traces without violations")
    return 1 if broken else 0


def _shrunk_trace(seed: int, promise: str, switched_off: tuple[str, ...]) -> Trace:
    def violates(trace: Trace) -> bool:
        played = play(trace, switched_off)
        return any(violation.promise == promise for violation in played.violations)

    return shrink(random_trace(seed), violates)
