"""Rules of worker selection, for a service small enough that all workers are compared."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.cost import (
    ALL_FAULTS_COST,
    CROSS_ZONE_FACTOR,
    FULL_LOAD_COST,
    condition_factor,
    cost,
    expected_wait,
)
from cranklane.sidecar.routing.destination import SATURATED_SECONDS, UNCONFIRMED_EXPIRY_SECONDS
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.ejection import EJECTION_SECONDS_PER_FAILURE, Failure
from cranklane.sidecar.routing.worker_choice import WorkerChoice
from cranklane.sidecar.worker.condition import HEALTHY, Condition
from cranklane.sidecar.worker.slowness import TOLERATED_SLOWNESS

SLOTS = 10
NODES = ("a", "b", "c")


class Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


class LocalSidecar:
    """A sidecar in zone z with three idle workers in the same zone."""

    def __init__(self):
        self.clock = Clock()
        self.destinations = Destinations(self.clock, "own")
        self.destinations.apply(MemberDelta(True, [member(node) for node in NODES]))
        self.choice = WorkerChoice(self.destinations, self.clock, Random(1), "own", "z")

    def __getitem__(self, node):
        return next(worker for worker in self.destinations.members("s") if worker.node == node)

    def chosen_nodes(self, tried=(), priority=0):
        """Return the nodes chosen over 30 independent selections."""
        chosen_nodes = (self.choice.choose("s", set(tried), priority) for _ in range(30))
        return {worker.node for worker in chosen_nodes if worker is not None}


def member(node):
    return Member(
        incarnation=1,
        sequence=1,
        state=MemberState.LIVE,
        slots=SLOTS,
        node=node,
        service="s",
        zone="z",
        address=f"10.0.0.{NODES.index(node) + 1}:80",
        instance=node,
    )


def test_workers_of_equal_cost_are_chosen_at_random():
    assert LocalSidecar().chosen_nodes() == set(NODES)


def test_a_tried_worker_is_excluded():
    assert LocalSidecar().chosen_nodes(tried=("a",)) == {"b", "c"}
    assert LocalSidecar().chosen_nodes(tried=NODES) == set()


@pytest.mark.parametrize("state", [MemberState.DRAINING, MemberState.GONE])
def test_only_live_workers_are_candidates(state):
    sidecar = LocalSidecar()
    sidecar["a"].state = state
    assert sidecar.chosen_nodes() == {"b", "c"}


def test_a_saturated_worker_briefly_gets_no_requests_of_equal_or_lower_priority():
    sidecar = LocalSidecar()
    for node in NODES:
        sidecar[node].record_capacity_refusal(sidecar.clock.now, 1)
    assert sidecar.chosen_nodes(priority=0) == set(NODES)
    assert sidecar.chosen_nodes(priority=1) == set()
    assert sidecar.choice.all_saturated("s", 2)
    assert not sidecar.choice.all_saturated("s", 0)
    sidecar.clock.now += SATURATED_SECONDS + 0.001
    assert sidecar.chosen_nodes(priority=1) == set(NODES)


def test_the_highest_refused_priority_counts_while_a_worker_is_saturated():
    sidecar = LocalSidecar()
    sidecar["a"].record_capacity_refusal(sidecar.clock.now, 1)
    sidecar["a"].record_capacity_refusal(sidecar.clock.now, 3)
    assert sidecar["a"].is_saturated(sidecar.clock.now, 1)


def test_an_unconfirmed_worker_is_no_candidate_after_its_expiry():
    sidecar = LocalSidecar()
    sidecar["a"].mark_unconfirmed(sidecar.clock.now)
    sidecar.clock.now += UNCONFIRMED_EXPIRY_SECONDS
    assert sidecar.chosen_nodes() == set(NODES)
    sidecar.clock.now += 0.001
    assert sidecar.chosen_nodes() == {"b", "c"}


def test_an_ejected_worker_is_chosen_only_if_all_are_ejected():
    sidecar = LocalSidecar()
    sidecar["a"].record_failure(sidecar.clock.now, Failure.WORKER_UNREACHABLE)
    sidecar["b"].record_failure(sidecar.clock.now, Failure.WORKER_UNREACHABLE)
    assert sidecar.chosen_nodes() == {"c"}
    assert sidecar.chosen_nodes(tried=("c",)) == {"a", "b"}
    sidecar.clock.now += EJECTION_SECONDS_PER_FAILURE
    assert sidecar.chosen_nodes() == set(NODES)


def test_an_answer_resets_the_consecutive_failures():
    sidecar = LocalSidecar()
    for _ in range(3):
        sidecar["a"].record_failure(sidecar.clock.now, Failure.COUNTED)
        sidecar["a"].record_answer(sidecar.clock.now, Load())
    assert sidecar["a"].ejected_until == 0.0


def test_all_sidecars_choose_the_same_worker_for_an_isolated_run():
    identities = [bytes([number]) * 16 for number in range(40)]
    first, second = LocalSidecar(), LocalSidecar()
    first_choices = [
        first.choice.isolated_run_destination("s", identity, set()).node for identity in identities
    ]
    second_choices = [
        second.choice.isolated_run_destination("s", identity, set()).node for identity in identities
    ]
    assert first_choices == second_choices
    assert set(first_choices) == set(NODES)


def test_an_isolated_run_goes_to_no_ejected_tried_or_draining_worker():
    sidecar = LocalSidecar()
    sidecar["a"].record_failure(sidecar.clock.now, Failure.WORKER_UNREACHABLE)
    sidecar["b"].state = MemberState.DRAINING
    identities = [bytes([number]) * 16 for number in range(40)]
    for identity in identities:
        assert sidecar.choice.isolated_run_destination("s", identity, set()).node == "c"
        assert sidecar.choice.isolated_run_destination("s", identity, {"c"}) is None


def test_an_idle_worker_of_the_local_zone_costs_one_run():
    sidecar = LocalSidecar()
    assert cost(sidecar["a"], "z", sidecar.clock.now) == 1.0
    assert cost(sidecar["a"], "y", sidecar.clock.now) == CROSS_ZONE_FACTOR


def test_load_adds_the_expected_wait_and_the_full_load_cost():
    sidecar = LocalSidecar()
    sidecar["a"].update_load(sidecar.clock.now, Load(5, 0, SLOTS))
    expected = 1.0 + expected_wait(0.5, SLOTS) + FULL_LOAD_COST * 0.5
    assert cost(sidecar["a"], "z", sidecar.clock.now) == pytest.approx(expected)


def test_requests_sent_since_the_last_report_count_as_load():
    sidecar = LocalSidecar()
    sidecar["a"].update_load(sidecar.clock.now, Load(2, 1, SLOTS))
    sidecar["a"].record_sent()
    assert sidecar["a"].load() == pytest.approx(0.4)
    sidecar["a"].record_finished()
    assert sidecar["a"].load() == pytest.approx(0.3)


@pytest.mark.parametrize(
    ("reported_condition", "factor"),
    [
        (HEALTHY, 1.0),
        (Condition(0.0, 3 * TOLERATED_SLOWNESS), 3.0),
        (Condition(1.0, 1.0), 1.0 + ALL_FAULTS_COST),
        (Condition(0.5, 3 * TOLERATED_SLOWNESS), 3.0 + ALL_FAULTS_COST / 2),
    ],
)
def test_a_worker_in_bad_condition_has_a_higher_cost(reported_condition, factor):
    sidecar = LocalSidecar()
    sidecar["a"].update_condition(sidecar.clock.now, reported_condition)
    assert condition_factor(sidecar["a"], sidecar.clock.now) == pytest.approx(factor)


def test_the_larger_of_reported_and_observed_slowness_counts():
    sidecar = LocalSidecar()
    for _ in range(60):
        sidecar["a"].slowness.sample(sidecar.clock.now, 4 * TOLERATED_SLOWNESS)
    sidecar["a"].update_condition(sidecar.clock.now, Condition(0.0, 2 * TOLERATED_SLOWNESS))
    assert condition_factor(sidecar["a"], sidecar.clock.now) == pytest.approx(4.0, rel=0.01)


def test_a_condition_repeated_by_control_does_not_reset_its_age():
    sidecar = LocalSidecar()
    faulty = Condition(0.5, 1.0)
    sidecar["a"].update_control_condition(50.0, faulty)
    sidecar["a"].update_control_condition(60.0, replace(faulty))
    assert sidecar["a"].condition_at == 50.0
    sidecar["a"].update_control_condition(70.0, HEALTHY)
    assert sidecar["a"].condition_at == 70.0
