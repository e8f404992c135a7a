"""``cranklane-lab trees``: what is earned on drawn deployments, seed by seed."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from cranklane_lab.simulate import quiet
from cranklane_lab.trees.drawn import draw
from cranklane_lab.trees.play import Played, play


def play_seeds(seeds: Iterable[int], jobs: int) -> Iterator[Played]:
    """Play the deployments of some seeds, several at once, and yield them in order.

    :param jobs: processes at once; 0: one for each core.
    """
    with ProcessPoolExecutor(jobs or None, initializer=quiet) as pool:
        yield from pool.map(play, seeds)


def format_report(results: Iterable[Played]) -> Iterator[str]:
    """Yield a line for each deployment, and the mean and the worst of all."""
    fractions = []
    for played in results:
        deployment = draw(played.seed)
        offered = sum(played.offered.values())
        fractions.append(played.earned_fraction)
        yield (
            f"seed {played.seed:>4}  depth {len(deployment.services)}"
            f"  load {deployment.load:.2f} x {deployment.surge:.2f}"
            f"  {deployment.trouble.value:<5}  earned {played.earned_fraction:.3f}"
            f"  in time {sum(played.in_time.values()) / offered:.3f}"
            f"  refused again {sum(played.refused_again.values()) / offered:.3f}"
        )
    yield f"earned of the most there was: mean {mean(fractions):.3f}, worst {min(fractions):.3f}"
