"""Which worker gets a request, rule by rule, among few workers."""

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
from cranklane.sidecar.worker.condition import WELL, Condition
from cranklane.sidecar.worker.slowness import TOLERATED

SLOTS = 10
NODES = ("a", "b", "c")


class Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


class Known:
    """A sidecar of zone z that knows three idle workers of its zone."""

    def __init__(self):
        self.clock = Clock()
        self.destinations = Destinations(self.clock, "own")
        self.destinations.apply(MemberDelta(True, [member(node) for node in NODES]))
        self.choice = WorkerChoice(self.destinations, self.clock, Random(1), "own", "z")

    def __getitem__(self, node):
        return next(item for item in self.destinations.members("s") if item.node == node)

    def chosen(self, tried=(), priority=0):
        """Return all nodes that are chosen for requests that come one by one."""
        chosen = (self.choice.choose("s", set(tried), priority) for _ in range(30))
        return {item.node for item in chosen if item is not None}


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


def test_equals_are_chosen_at_random():
    assert Known().chosen() == set(NODES)


def test_a_tried_worker_is_left_out():
    assert Known().chosen(tried=("a",)) == {"b", "c"}
    assert Known().chosen(tried=NODES) == set()


@pytest.mark.parametrize("state", [MemberState.DRAINING, MemberState.GONE])
def test_only_live_workers_are_candidates(state):
    known = Known()
    known["a"].state = state
    assert known.chosen() == {"b", "c"}


def test_a_saturated_worker_gets_nothing_as_important_or_less_for_a_moment():
    known = Known()
    for node in NODES:
        known[node].record_capacity_refusal(known.clock.now, 1)
    assert known.chosen(priority=0) == set(NODES)
    assert known.chosen(priority=1) == set()
    assert known.choice.all_saturated("s", 2)
    assert not known.choice.all_saturated("s", 0)
    known.clock.now += SATURATED_SECONDS + 0.001
    assert known.chosen(priority=1) == set(NODES)


def test_the_most_important_refusal_counts_while_a_worker_is_saturated():
    known = Known()
    known["a"].record_capacity_refusal(known.clock.now, 1)
    known["a"].record_capacity_refusal(known.clock.now, 3)
    assert known["a"].is_saturated(known.clock.now, 1)


def test_a_worker_that_nothing_confirms_any_more_is_no_candidate():
    known = Known()
    known["a"].mark_unconfirmed(known.clock.now)
    known.clock.now += UNCONFIRMED_EXPIRY_SECONDS
    assert known.chosen() == set(NODES)
    known.clock.now += 0.001
    assert known.chosen() == {"b", "c"}


def test_an_ejected_worker_is_chosen_only_if_all_are_ejected():
    known = Known()
    known["a"].failed(known.clock.now, Failure.WORKER_UNREACHABLE)
    known["b"].failed(known.clock.now, Failure.WORKER_UNREACHABLE)
    assert known.chosen() == {"c"}
    assert known.chosen(tried=("c",)) == {"a", "b"}
    known.clock.now += EJECTION_SECONDS_PER_FAILURE
    assert known.chosen() == set(NODES)


def test_an_answer_ends_a_row_of_failures():
    known = Known()
    for _ in range(3):
        known["a"].failed(known.clock.now, Failure.COUNTED)
        known["a"].answered(known.clock.now, Load())
    assert known["a"].ejected_until == 0.0


def test_an_isolated_run_goes_to_the_same_worker_from_everywhere():
    identities = [bytes([number]) * 16 for number in range(40)]
    first, second = Known(), Known()
    named = [first.choice.isolated_run_destination("s", item, set()).node for item in identities]
    again = [second.choice.isolated_run_destination("s", item, set()).node for item in identities]
    assert named == again
    assert set(named) == set(NODES)


def test_an_isolated_run_goes_to_no_ejected_tried_or_draining_worker():
    known = Known()
    known["a"].failed(known.clock.now, Failure.WORKER_UNREACHABLE)
    known["b"].state = MemberState.DRAINING
    identities = [bytes([number]) * 16 for number in range(40)]
    for item in identities:
        assert known.choice.isolated_run_destination("s", item, set()).node == "c"
        assert known.choice.isolated_run_destination("s", item, {"c"}) is None


def test_an_idle_worker_of_the_own_zone_costs_one_run():
    known = Known()
    assert cost(known["a"], "z", known.clock.now) == 1.0
    assert cost(known["a"], "y", known.clock.now) == CROSS_ZONE_FACTOR


def test_load_costs_the_expected_wait_and_a_run_for_all_slots():
    known = Known()
    known["a"].update_load(known.clock.now, Load(5, 0, SLOTS))
    expected = 1.0 + expected_wait(0.5, SLOTS) + FULL_LOAD_COST * 0.5
    assert cost(known["a"], "z", known.clock.now) == pytest.approx(expected)


def test_requests_sent_since_the_last_report_count_as_load():
    known = Known()
    known["a"].update_load(known.clock.now, Load(2, 1, SLOTS))
    known["a"].opened()
    assert known["a"].load() == pytest.approx(0.4)
    known["a"].closed()
    assert known["a"].load() == pytest.approx(0.3)


@pytest.mark.parametrize(
    ("reported_requests", "factor"),
    [
        (WELL, 1.0),
        (Condition(0.0, 3 * TOLERATED), 3.0),
        (Condition(1.0, 1.0), 1.0 + ALL_FAULTS_COST),
        (Condition(0.5, 3 * TOLERATED), 3.0 + ALL_FAULTS_COST / 2),
    ],
)
def test_a_run_at_a_worker_in_bad_condition_costs_more(reported_requests, factor):
    known = Known()
    known["a"].take_condition(known.clock.now, reported_requests)
    assert condition_factor(known["a"], known.clock.now) == pytest.approx(factor)


def test_the_larger_of_the_reported_and_the_measured_slowness_counts():
    known = Known()
    for _ in range(60):
        known["a"].slowness.sample(known.clock.now, 4 * TOLERATED)
    known["a"].take_condition(known.clock.now, Condition(0.0, 2 * TOLERATED))
    assert condition_factor(known["a"], known.clock.now) == pytest.approx(4.0, rel=0.01)


def test_a_condition_that_control_repeats_is_not_taken_as_new():
    known = Known()
    sick = Condition(0.5, 1.0)
    known["a"].update_control_condition(50.0, sick)
    known["a"].update_control_condition(60.0, replace(sick))
    assert known["a"].condition_at == 50.0
    known["a"].update_control_condition(70.0, WELL)
    assert known["a"].condition_at == 70.0
