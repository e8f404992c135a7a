"""The soak's rule on departed workers counts exactly the requests of machines in touch."""

from __future__ import annotations

import pytest

from cranklane_lab.evidence.departure_rules import DepartureRules, WorkerArrival


def violations(arrived_at, disturbances=()):
    """Return the violations of one request to a worker whose departure is acknowledged at 10 s."""
    rules = DepartureRules()
    for machine, at in disturbances:
        rules.disturbed(machine, at)
    rules.acknowledged("i-1@5", 10.0)
    rules.acknowledged("i-1@5", 20.0)
    rules.arrived("i-1@5", WorkerArrival(arrived_at, "r-1", "caller", "beside"))
    rules.arrived("i-1@9", WorkerArrival(arrived_at, "r-2", "caller", "beside"))
    return len(rules.violations())


@pytest.mark.parametrize(("arrived_at", "expected"), [(9.0, 0), (11.9, 0), (12.1, 1), (30.0, 1)])
def test_a_request_later_than_the_drain_time_is_a_violation(arrived_at, expected):
    assert violations(arrived_at) == expected


@pytest.mark.parametrize("machine", ["caller", "beside"])
@pytest.mark.parametrize(("arrived_at", "expected"), [(13.5, 0), (16.9, 0), (17.1, 1)])
def test_a_machine_counts_again_some_time_after_its_fault_has_ended(machine, arrived_at, expected):
    assert violations(arrived_at, [(machine, 13.0), (machine, 14.0)]) == expected
