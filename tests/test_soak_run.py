"""A short soak of real processes under random faults; longer ones are run by hand."""

from __future__ import annotations

from cranklane_lab.soak.run import run_soak

FAULT_SECONDS = 12.0
SEEDS = range(1, 2)


def test_no_invariant_is_violated_in_a_short_soak(tmp_path):
    results = run_soak(SEEDS, FAULT_SECONDS, str(tmp_path))
    assert [result.broken for result in results] == [[]]
    assert all(result.requests > 100 and result.departures for result in results)
    assert all(result.served.keys() == {"large", "medium", "small"} for result in results)
