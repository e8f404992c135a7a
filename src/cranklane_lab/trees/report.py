"""Report of ``cranklane-lab trees``: earned worth for each random deployment."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from cranklane_lab.simulate import quiet
from cranklane_lab.trees.generator import generate
from cranklane_lab.trees.play import DeploymentResult, play


def play_seeds(seeds: Iterable[int], jobs: int) -> Iterator[DeploymentResult]:
    """Run the deployments of the seeds in parallel and yield the results in order.

    :param jobs: number of processes; 0 for one per core.
    """
    with ProcessPoolExecutor(jobs or None, initializer=quiet) as pool:
        yield from pool.map(play, seeds)


def format_report(results: Iterable[DeploymentResult]) -> Iterator[str]:
    """Yield a line for each deployment, then one with their mean and minimum."""
    fractions = []
    for result in results:
        deployment = generate(result.seed)
        offered = sum(result.offered.values())
        fractions.append(result.earned_fraction)
        yield (
            f"seed {result.seed:>4}  depth {len(deployment.services)}"
            f"  load {deployment.load:.2f} x {deployment.surge:.2f}"
            f"  {deployment.worker_faults[0].value:<5}  earned {result.earned_fraction:.3f}"
            f"  in time {sum(result.in_time.values()) / offered:.3f}"
            f"  refused again {sum(result.retry_refused.values()) / offered:.3f}"
        )
    yield f"earned of the most there was: mean {mean(fractions):.3f}, worst {min(fractions):.3f}"
