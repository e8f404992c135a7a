"""The bench's own arithmetic, and that a run measures what happened."""

from __future__ import annotations

import pytest

from cranklane.outcome import Criticality
from cranklane_lab.bench.capacity import capacity, hold_seconds
from cranklane_lab.bench.measure import Wanted, phase_of, recovery_of
from cranklane_lab.bench.run import _criticalities
from cranklane_lab.deployments import PAIR, SONGHAN


def wanted(at, good, criticality="normal"):
    return Wanted(at, at + 0.1, "kind", "tenant", criticality, ("n",), good)


def test_a_call_holds_its_slot_while_its_children_run():
    assert hold_seconds(SONGHAN, "archive", "/minutes/1") == pytest.approx(0.016)
    # Two children at the same time: the longer one counts.
    assert hold_seconds(SONGHAN, "transcripts", "/search/1") == pytest.approx(0.018)


def test_capacity_falls_with_the_time_of_all_work():
    assert capacity(SONGHAN, 1.0) == pytest.approx(20 * capacity(SONGHAN, 20.0))


def test_a_phase_counts_by_criticality():
    phase = phase_of([wanted(1.0, True), wanted(1.5, False), wanted(3.0, False)], 1.0, 2.0)
    assert (phase.offered, phase.goodput) == (2.0, 1.0)
    assert phase.good_part == {"normal": 0.5, "tenant tenant": 0.5}


def test_recovery_is_when_goodput_stays_back():
    items = [wanted(number / 10, not 10 <= number < 17) for number in range(40)]
    assert recovery_of(items, 1.0, 4.0) == 1.0
    assert recovery_of([wanted(number / 10, False) for number in range(40)], 1.0, 4.0) == -1.0
    assert recovery_of([wanted(number / 10, True) for number in range(40)], 1.0, 4.0) == 0.0


def test_criticality_of_each_kind_comes_from_the_policy():
    found = _criticalities(SONGHAN)
    assert found["read-minutes"] == found["sign"] == Criticality.CRITICAL.name.lower()
    assert found["reindex"] == "background"
    assert _criticalities(PAIR) == {"call": "normal"}
