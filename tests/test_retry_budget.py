"""The bound on repeats holds over the whole fleet, whatever becomes of it."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranklane.sidecar.routing.retry_budget import FleetSize, RetryBound, RetryBudget

BOUND = RetryBound(ratio=0.2, slack=213.0, window=10.0)
STEP = 0.5
STEPS_IN_WINDOW = int(BOUND.window / STEP)
STEPS_OF_FEW_MEMBERS = 4
SERVICE = "service"


@dataclass
class Clock:
    now: float = 1000.0

    def __call__(self):
        return self.now


@dataclass(frozen=True)
class Phase:
    """Some seconds of a fleet's life.

    requests: a second, over the fleet; few: whether they come through three sidecars
    only; failing: part of the requests that would be repeated; restart: whether all
    sidecars start anew before it, and know next to nobody for two seconds; known: part
    of the fleet that a sidecar knows of then.
    """

    steps: int
    requests: float
    few: bool
    failing: float
    restart: bool
    known: float


PHASES = st.lists(
    st.builds(
        Phase,
        steps=st.sampled_from([5, 20, 45]),
        requests=st.sampled_from([0.0, 20.0, 300.0]),
        few=st.booleans(),
        failing=st.sampled_from([0.0, 0.3, 1.0]),
        restart=st.booleans(),
        known=st.sampled_from([0.5, 1.0]),
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
        self.repeats = []
        self.start()

    def start(self):
        self.known = 0.0
        self.grown_at = self.clock.now
        self.budgets = [
            RetryBudget(BOUND, self.clock, self.random, self.count) for _ in range(self.size)
        ]

    def count(self):
        return FleetSize(max(1, round(self.known * self.size)), self.grown_at)

    def knows(self, part):
        if part > self.known:
            self.grown_at = self.clock.now
        self.known = part

    def play(self, phase):
        if phase.restart:
            self.start()
        budgets = self.budgets[:3] if phase.few else self.budgets
        for step in range(phase.steps):
            forgetful = phase.restart and step < STEPS_OF_FEW_MEMBERS
            self.knows(0.0 if forgetful else phase.known)
            self.clock.now += STEP
            begun = round(phase.requests * STEP)
            taken = 0
            for _ in range(begun):
                budget = self.random.choice(budgets)
                budget.earn(SERVICE)
                if self.random.random() < phase.failing:
                    taken += budget.take(SERVICE)
            self.requests.append(begun)
            self.repeats.append(taken)

    def excess(self):
        """Return by how much the worst window is over the bound; below zero: it held."""
        window, half = STEPS_IN_WINDOW, STEPS_IN_WINDOW // 2
        worst = -BOUND.slack
        for end in range(1, len(self.repeats) + 1):
            begin = max(0, end - window)
            counted = [
                sum(self.requests[max(0, begin - back) : max(0, end - back)])
                for back in (0, half, window)
            ]
            allowed = BOUND.ratio * max(counted) + BOUND.slack
            worst = max(worst, sum(self.repeats[begin:end]) - allowed)
        return worst


@settings(max_examples=40, deadline=None, derandomize=True)
@given(size=st.sampled_from([1, 17, 195, 1200]), phases=PHASES, seed=st.integers(0, 1000))
def test_the_bound_holds_in_every_window_over_the_whole_fleet(size, phases, seed):
    fleet = Fleet(size, seed)
    for phase in phases:
        fleet.play(phase)
    assert fleet.excess() <= 0


def all_fail_at_once(fleet):
    fleet.play(Phase(60, 20.0, False, 0.0, False, 1.0))
    fleet.play(Phase(20, 300.0, False, 1.0, False, 1.0))
    return sum(fleet.repeats)


@pytest.mark.parametrize("size", [17, 195, 1200])
def test_a_sudden_fault_may_use_a_good_part_of_the_bound_at_any_size(size):
    used = all_fail_at_once(Fleet(size, 1))
    assert used > 0.35 * BOUND.ratio * 3000


def test_what_comes_through_a_few_sidecars_may_be_repeated_there():
    fleet = Fleet(195, 1)
    fleet.play(Phase(40, 300.0, True, 1.0, False, 1.0))
    assert sum(fleet.repeats) > 0.35 * BOUND.ratio * sum(fleet.requests)


def test_a_fleet_that_was_restarted_does_not_begin_with_the_slack_of_each():
    fleet = Fleet(195, 1)
    fleet.play(Phase(10, 300.0, False, 1.0, True, 1.0))
    assert sum(fleet.repeats) <= BOUND.ratio * sum(fleet.requests)


def test_tokens_of_a_quiet_hour_are_not_spent_at_once():
    fleet = Fleet(17, 1)
    fleet.play(Phase(120, 300.0, False, 0.0, False, 1.0))
    fleet.play(Phase(20, 300.0, False, 1.0, False, 1.0))
    assert fleet.excess() <= 0


def test_calls_of_repeated_runs_are_paid_for_by_later_requests():
    bound = RetryBound(ratio=0.2, slack=0.0, window=10.0)
    budget = RetryBudget(bound, Clock(), Random(1), lambda: FleetSize(1, 0.0))
    clock = budget._clock
    for _ in range(15):
        budget.earn(SERVICE)
    for _ in range(3):
        budget.charge(SERVICE)
    # Fewer than two tokens were earned, so that more than one is owed, also seconds later.
    for _ in range(3):
        clock.now += 1.0
        budget.earn(SERVICE)
        assert not budget.take(SERVICE)
    for _ in range(20):
        budget.earn(SERVICE)
    assert budget.take(SERVICE)


@pytest.mark.parametrize("failing", [0.05, 0.1])
def test_a_lasting_share_of_failures_within_the_bound_is_repeated(failing):
    fleet = Fleet(17, 1)
    fleet.play(Phase(10, 300.0, False, 0.0, False, 1.0))
    fleet.play(Phase(60, 300.0, False, failing, False, 1.0))
    failures = failing * 300.0 * 60 * STEP
    assert sum(fleet.repeats) > 0.9 * failures
    assert fleet.excess() <= 0


class FixedReserve(RetryBudget):
    """What sidecars did before: a reserve of two each, whatever the size of the fleet."""

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
    fleet.play(Phase(60, 20.0, False, 0.0, False, 1.0))
    fleet.play(Phase(40, 60.0, False, 1.0, False, 1.0))
    assert fleet.excess() > 0
