"""The fleet-wide bound on retries holds under load changes, failures and restarts."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranklane.sidecar.routing.retry_budget import FleetSize, RetryBound, RetryBudget

BOUND = RetryBound(ratio=0.2, slack=213.0, window=10.0)
STEP_SECONDS = 0.5
STEPS_IN_WINDOW = int(BOUND.window / STEP_SECONDS)
STEPS_WITHOUT_MEMBERS = 4
SERVICE = "service"


@dataclass
class Clock:
    now: float = 1000.0

    def __call__(self):
        return self.now


@dataclass(frozen=True)
class Phase:
    """Load and faults of a fleet for a number of steps.

    :ivar requests: per second, over the fleet.
    :ivar few_sidecars: whether all requests come through three sidecars.
    :ivar failing_fraction: fraction of the requests that need a retry.
    :ivar restart: whether all sidecars restart and briefly know no peers.
    :ivar known_fraction: fraction of the fleet that each sidecar knows.
    """

    steps: int
    requests: float
    few_sidecars: bool
    failing_fraction: float
    restart: bool
    known_fraction: float


PHASES = st.lists(
    st.builds(
        Phase,
        steps=st.sampled_from([5, 20, 45]),
        requests=st.sampled_from([0.0, 20.0, 300.0]),
        few_sidecars=st.booleans(),
        failing_fraction=st.sampled_from([0.0, 0.3, 1.0]),
        restart=st.booleans(),
        known_fraction=st.sampled_from([0.5, 1.0]),
    ),
    min_size=2,
    max_size=5,
)


class Fleet:
    def __init__(self, size, seed):
        self.clock = Clock()
        self.random = Random(seed)
        self.size = size
        self.requests = []
        self.retries = []
        self.start()

    def start(self):
        self.known_fraction = 0.0
        self.grown_at = self.clock.now
        self.budgets = [
            RetryBudget(BOUND, self.clock, self.random, self.count) for _ in range(self.size)
        ]

    def count(self):
        return FleetSize(max(1, round(self.known_fraction * self.size)), self.grown_at)

    def set_known_fraction(self, fraction):
        if fraction > self.known_fraction:
            self.grown_at = self.clock.now
        self.known_fraction = fraction

    def run(self, phase):
        if phase.restart:
            self.start()
        budgets = self.budgets[:3] if phase.few_sidecars else self.budgets
        for step in range(phase.steps):
            just_restarted = phase.restart and step < STEPS_WITHOUT_MEMBERS
            self.set_known_fraction(0.0 if just_restarted else phase.known_fraction)
            self.clock.now += STEP_SECONDS
            started = round(phase.requests * STEP_SECONDS)
            retried = 0
            for _ in range(started):
                budget = self.random.choice(budgets)
                budget.earn(SERVICE)
                if self.random.random() < phase.failing_fraction:
                    retried += budget.take(SERVICE)
            self.requests.append(started)
            self.retries.append(retried)

    def excess(self):
        """Return the retries above the bound in the worst window; negative if below it."""
        window, half = STEPS_IN_WINDOW, STEPS_IN_WINDOW // 2
        worst = -BOUND.slack
        for end in range(1, len(self.retries) + 1):
            begin = max(0, end - window)
            counted = [
                sum(self.requests[max(0, begin - back) : max(0, end - back)])
                for back in (0, half, window)
            ]
            allowed = BOUND.ratio * max(counted) + BOUND.slack
            worst = max(worst, sum(self.retries[begin:end]) - allowed)
        return worst


@settings(max_examples=40, deadline=None, derandomize=True)
@given(size=st.sampled_from([1, 17, 195, 1200]), phases=PHASES, seed=st.integers(0, 1000))
def test_the_bound_holds_in_every_window_over_the_whole_fleet(size, phases, seed):
    fleet = Fleet(size, seed)
    for phase in phases:
        fleet.run(phase)
    assert fleet.excess() <= 0


def all_fail_at_once(fleet):
    fleet.run(Phase(60, 20.0, False, 0.0, False, 1.0))
    fleet.run(Phase(20, 300.0, False, 1.0, False, 1.0))
    return sum(fleet.retries)


@pytest.mark.parametrize("size", [17, 195, 1200])
def test_a_sudden_fault_may_use_a_large_part_of_the_bound_at_any_size(size):
    used = all_fail_at_once(Fleet(size, 1))
    assert used > 0.35 * BOUND.ratio * 3000


def test_requests_through_few_sidecars_may_be_retried_there():
    fleet = Fleet(195, 1)
    fleet.run(Phase(40, 300.0, True, 1.0, False, 1.0))
    assert sum(fleet.retries) > 0.35 * BOUND.ratio * sum(fleet.requests)


def test_a_restarted_fleet_does_not_start_with_a_slack_share_per_sidecar():
    fleet = Fleet(195, 1)
    fleet.run(Phase(10, 300.0, False, 1.0, True, 1.0))
    assert sum(fleet.retries) <= BOUND.ratio * sum(fleet.requests)


def test_unspent_tokens_expire():
    fleet = Fleet(17, 1)
    fleet.run(Phase(120, 300.0, False, 0.0, False, 1.0))
    fleet.run(Phase(20, 300.0, False, 1.0, False, 1.0))
    assert fleet.excess() <= 0


def test_calls_of_retried_runs_are_repaid_by_later_requests():
    bound = RetryBound(ratio=0.2, slack=0.0, window=10.0)
    budget = RetryBudget(bound, Clock(), Random(1), lambda: FleetSize(1, 0.0))
    clock = budget._clock
    for _ in range(15):
        budget.earn(SERVICE)
    for _ in range(3):
        budget.charge(SERVICE)
    # Under two tokens were earned and three charged: over one is owed, and does not expire.
    for _ in range(3):
        clock.now += 1.0
        budget.earn(SERVICE)
        assert not budget.take(SERVICE)
    for _ in range(20):
        budget.earn(SERVICE)
    assert budget.take(SERVICE)


@pytest.mark.parametrize("failing_fraction", [0.05, 0.1])
def test_a_sustained_failure_fraction_within_the_bound_is_retried(failing_fraction):
    fleet = Fleet(17, 1)
    fleet.run(Phase(10, 300.0, False, 0.0, False, 1.0))
    fleet.run(Phase(60, 300.0, False, failing_fraction, False, 1.0))
    failures = failing_fraction * 300.0 * 60 * STEP_SECONDS
    assert sum(fleet.retries) > 0.9 * failures
    assert fleet.excess() <= 0


class FixedReserve(RetryBudget):
    """A reserve of two retries per sidecar, independent of the fleet size."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.tokens = 2.0

    def earn(self, service):
        self.tokens = min(2.0, self.tokens + 0.08)

    def take(self, service):
        allowed = self.tokens >= 1.0
        self.tokens -= allowed
        return allowed


def test_a_fixed_reserve_breaks_the_bound(monkeypatch):
    monkeypatch.setattr("test_retry_budget.RetryBudget", FixedReserve)
    fleet = Fleet(195, 1)
    fleet.run(Phase(60, 20.0, False, 0.0, False, 1.0))
    fleet.run(Phase(40, 60.0, False, 1.0, False, 1.0))
    assert fleet.excess() > 0
