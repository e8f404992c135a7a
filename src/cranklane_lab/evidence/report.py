"""``cranklane-lab evidence``: sick workers with and without shared judgements."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from cranklane_lab.evidence.trial import Shape, Trial

FAILING = 0.45
"""Part of their runs that failing workers fail."""


def run_evidence(shape: Shape, seed: int) -> Iterator[str]:
    """Yield a line for each variant of a shape."""
    variants = {
        "slow, told": shape,
        "slow, each caller alone": replace(shape, told=False),
        "failing, told": replace(shape, slower=1.0, failing=FAILING),
        "failing, each caller alone": replace(shape, slower=1.0, failing=FAILING, told=False),
        "all well": replace(shape, sick_part=0.0),
    }
    for name, variant in variants.items():
        outcome = Trial(variant, seed).play()
        yield (
            f"{name:<27} to sick workers {outcome.sick_share:7.2%}"
            f"  p99 {outcome.quantile(0.99) * 1000:6.0f} ms"
            f"  failed {outcome.failed:4}  judgements told {outcome.told:4}"
        )
