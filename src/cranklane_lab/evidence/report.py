"""``cranklane-lab evidence``: compares routing with and without shared condition reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from cranklane_lab.evidence.trial import Shape, Trial

FAILED_RUN_FRACTION = 0.45
"""Fraction of runs that fail at an unhealthy worker in the failing variants."""


def run_evidence(shape: Shape, seed: int) -> Iterator[str]:
    """Simulate variants of a shape; yield one line per variant."""
    variants = {
        "slow, shared reports": shape,
        "slow, no reports": replace(shape, shared_reports=False),
        "failing, shared reports": replace(
            shape, slowdown_factor=1.0, failed_run_fraction=FAILED_RUN_FRACTION
        ),
        "failing, no reports": replace(
            shape,
            slowdown_factor=1.0,
            failed_run_fraction=FAILED_RUN_FRACTION,
            shared_reports=False,
        ),
        "all well": replace(shape, unhealthy_fraction=0.0),
    }
    for name, variant in variants.items():
        outcome = Trial(variant, seed).play()
        yield (
            f"{name:<27} to unhealthy workers {outcome.unhealthy_share:7.2%}"
            f"  p99 {outcome.quantile(0.99) * 1000:6.0f} ms"
            f"  failed {outcome.failed:4}  reports {outcome.shared_reports:4}"
        )
