"""Measurement of the CPU time per request with real processes."""

from cranklane_lab.cost.run import LOADS, measure_load


def test_a_measurement_reports_one_line_per_source_tree():
    load = next(load for load in LOADS if load.uses_api_key)
    lines = measure_load(load, [None], requests=80, rounds=1)
    assert len(lines) == 1
    assert lines[0].startswith("fresh connections, keys")
