"""Tokens of the retry budget go to the call trees that are most likely to succeed."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.attempt import Reply, refusal
from cranklane.sidecar.request.call import CallProgress
from cranklane.sidecar.request.call_tree import CallFailure, CallTree, Root
from cranklane.sidecar.request.route_calls import RouteCalls
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.routing.retry_spending import RetryDecision, RetrySpending
from cranklane.sidecar.routing.retry_value import HOPELESS, retry_value
from cranklane.sidecar.routing.token_demand import TokenDemand
from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table
from retry_replay import CHAINS, PRIORITIES, REFUSALS_END, Replay
from test_call_tree import ROUTES as TREE_ROUTES
from test_retry_budget import PHASES, Fleet
from test_retry_policy import CALL, NOW

SHED = refusal(Reason.WORKER_SHED, arrived=True)
ANSWER = Reply(Outcome.ANSWERED, arrived=True, status=200)


def call_of_run(needed=4, completed=0, priority=0, failed=False):
    """Return a call of a run that needs four calls to the service, each of 40 ms."""
    root = Root(priority, NOW - 0.3, NOW + 1.0, NOW + 4.0)
    run = CallTree().begin("r", root, "", "route")
    run.route_calls.learn({"s": needed}, succeeded=True, call_failed=False)
    work = SlotWork()
    for _ in range(completed):
        work.add("s", 40)
        run.record_completed_call("s")
    run.record_call_end(CallFailure("s", Reason.NONE) if failed else None, False, work)
    return CALL._replace(root=root, run=run, deadline=NOW + 4.0)


def value_of(call, refused=0.55):
    return retry_value(call, lambda _service: refused, 0.04, NOW)


def test_a_retry_is_worth_more_the_closer_the_tree_is_to_its_end():
    values = [value_of(call_of_run(completed=completed)) for completed in range(4)]
    assert values == sorted(set(values))
    assert value_of(CALL) < values[3]


@pytest.mark.parametrize("completed", range(4))
def test_at_the_same_cost_a_lower_priority_is_never_preferred(completed):
    values = [value_of(call_of_run(completed=completed, priority=p)) for p in (*PRIORITIES, 9)]
    assert values == sorted(set(values), reverse=True)
    for tokens in (0.5, 1.5, 4.0):
        demand = TokenDemand(0.0)
        for _ in range(30):
            shares = [demand.granted_share(value, tokens, 0.0) for value in values]
        assert shares == sorted(shares, reverse=True)


def test_a_tree_that_fails_anyway_gets_no_token():
    assert value_of(call_of_run(completed=3, failed=True)) == HOPELESS
    assert value_of(call_of_run()._replace(deadline=NOW + 0.03)) == HOPELESS
    many = call_of_run(needed=110)
    assert value_of(many) == HOPELESS
    many.run.calls_in_flight = 2
    assert value_of(many) > HOPELESS
    tolerant = call_of_run(failed=True)
    tolerant.run.route_calls.learn({"s": 3}, succeeded=True, call_failed=True)
    assert value_of(tolerant) > HOPELESS


def test_a_wrong_number_of_calls_is_corrected_by_runs_that_end_well():
    calls = RouteCalls()
    calls.learn({"s": 8}, succeeded=True, call_failed=False)
    for _ in range(25):
        calls.learn({"s": 1}, succeeded=False, call_failed=True)
        calls.learn({"s": 2}, succeeded=True, call_failed=False)
    assert dict(calls.needed("s", {}))["s"] < 2.5
    assert dict(calls.needed("s", {"s": 5}))["s"] == 1.0


class Spending(RetrySpending):
    """Spends a budget of three tokens at a settable time."""

    def __init__(self):
        self.now, self.left, self.decisions = NOW, 3, []
        budget = SimpleNamespace(
            take=self.take, take_for_value=self.take, tokens=lambda _service: float(self.left)
        )
        super().__init__(
            budget, lambda: self.now, lambda: Random(1), lambda _route: 0.04, self.decisions.append
        )

    def take(self, _service):
        self.left -= self.left > 0
        return self.left > 0

    def replies(self, reply, seconds, per_second=20):
        for _ in range(round(seconds * per_second)):
            self.now += 1 / per_second
            self.record_reply("s", reply)


@pytest.mark.parametrize("per_second", [5, 50])
def test_tokens_are_reserved_within_a_second_of_refusals_and_not_a_second_after(per_second):
    spending = Spending()
    doomed = call_of_run(failed=True)
    spending.replies(ANSWER, 3)
    assert spending.allows(doomed)
    spending.replies(SHED, 1, per_second)
    assert not spending.allows(doomed)
    spending.replies(ANSWER, 1, per_second)
    assert spending.allows(doomed)
    assert [report.decision for report in spending.decisions] == [
        RetryDecision.GRANTED,
        RetryDecision.HOPELESS,
        RetryDecision.GRANTED,
    ]


def test_nothing_is_reserved_once_no_requests_are_sent_any_more():
    spending = Spending()
    spending.replies(SHED, 1)
    spending.now += 1.5
    assert spending.allows(call_of_run(failed=True))


def test_calls_of_runs_are_learned_and_retried_by_value_in_the_mesh():
    """Guards the way from the worker's runs and replies to the counter and the log line."""

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        top, *deep = [mesh.add_machine(name) for name in ("top", "deep", "deep", "deep", "deep")]
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        table = route_table(1, 0, TREE_ROUTES, ("top", "deep"))
        assert mesh.wait_for(lambda: mesh.apply_route_table(table).status == 200, 5)
        gevent.sleep(2.0)
        top.worker.state.seconds = 0.5
        for number in range(30):
            for machine in deep:
                machine.worker.state.shed_fraction = 0.5 if number >= 10 else 0.0
            run = gevent.spawn(mesh.request, top, "/pay/", name=f"r{number}")
            gevent.sleep(0.1)
            for call in range(3):
                mesh.request(top, "/look/", name=f"r{number}.{call}")
            run.join()
        arrivals = sum(machine.worker.state.arrivals for machine in deep)
        return top.sidecar.metrics.text().decode(), arrivals - 90

    text, retries = simulate(1, lambda _source, _target: 0.0005, scenario)
    granted, denied = (
        sum(
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith("cranklane_retry_decisions_total") and f'"{name}"' in line
        )
        for name in ("granted_by_value", "hopeless")
    )
    assert 0 < granted <= retries <= 0.2 * 90 + 60
    # Clients go on after a failed call; their run still ends well, which is learned.
    assert denied < 5


# Replays of the load.


@pytest.fixture
def former_rules(monkeypatch):
    """The first caller gets the tokens, and refusals count as attempts."""
    monkeypatch.setattr(RetrySpending, "allows", lambda self, call: self._budget.take(call.service))
    monkeypatch.setattr(CallProgress, "runs", property(lambda self: self.attempts))


def trees(replays):
    return sum(count for replay in replays for tree, count in replay.ended.items() if tree[2])


def succeeded(replays, chain, priorities=PRIORITIES):
    return sum(replay.succeeded(chain, priorities) for replay in replays) / len(replays)


def test_more_trees_succeed_and_higher_priorities_first(request):
    after = [Replay(seed=seed).play() for seed in (1, 2, 3)]
    request.getfixturevalue("former_rules")
    before = [Replay(seed=seed).play() for seed in (1, 2, 3)]
    assert succeeded(after, 4) > 1.4 * succeeded(before, 4)
    for chain in CHAINS[:-1]:
        assert succeeded(after, chain) > 1.03 * succeeded(before, chain)
        assert succeeded(after, chain, (0,)) > succeeded(after, chain, (2,))
    for replay in after:
        assert replay.excess() <= 0
        by_value = {second for second, decision in replay.decisions if decision != "GRANTED"}
        assert max(by_value) <= REFUSALS_END + 1


@pytest.mark.parametrize(("sidecars", "rate"), [(2, 100), (25, 800), (200, 400), (1200, 400)])
def test_the_bound_holds_at_any_fleet_size(sidecars, rate):
    replay = Replay(sidecars, rate)
    replay.refused_fraction = 0.9
    assert replay.play().excess() <= 0


class ValueFleet(Fleet):
    """The fleet of the budget's own tests, with all retries by value."""

    def start(self):
        super().start()
        self.budgets = [
            SimpleNamespace(earn=budget.earn, take=budget.take_for_value) for budget in self.budgets
        ]


@settings(max_examples=40, deadline=None, derandomize=True)
@given(size=st.sampled_from([1, 17, 195, 1200]), phases=PHASES, seed=st.integers(0, 1000))
def test_the_bound_holds_for_retries_by_value_in_every_window(size, phases, seed):
    fleet = ValueFleet(size, seed)
    for phase in phases:
        fleet.run(phase)
    assert fleet.excess() <= 0


@pytest.mark.parametrize("load", [{"correlated": False}, {"one_route": True}, {"restart_at": 8.0}])
def test_without_useful_counts_no_fewer_trees_succeed(load, request):
    """Calls are not correlated, runs of one route differ, or all sidecars restart."""
    after = [Replay(seed=seed, **load).play() for seed in (1, 2)]
    request.getfixturevalue("former_rules")
    before = [Replay(seed=seed, **load).play() for seed in (1, 2)]
    assert trees(after) > 0.95 * trees(before)
    assert max(replay.excess() for replay in after) <= 0
