"""The division of a route's requests among services, whatever weights came before."""

from __future__ import annotations

from collections import Counter
from random import Random

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranklane.routes.splitter import MAX_ROUTES, Splitter
from cranklane.routes.table import Route, Share
from cranklane_lab.standins.route_tables import route_table
from mesh_support import ROUTES, play

SERVICES = ("a", "b", "c", "d")
MACHINES = 50


def route(shares, name="r"):
    return Route(name, "h", "/", True, 5000, 1000, 0, 3, tuple(Share(*share) for share in shares))


def chosen(splitter, shares, count):
    """Return how often each service is chosen."""
    divided = route(shares)
    return Counter(splitter.choose(divided) for _ in range(count))


weights = st.one_of(st.integers(0, 3), st.integers(0, 100), st.sampled_from([9_900, 100_000]))
splits = (
    st.permutations(SERVICES)
    .flatmap(
        lambda services: st.lists(weights, min_size=2, max_size=len(services)).map(
            lambda values: list(zip(services, values, strict=False))
        )
    )
    .filter(lambda shares: any(weight for _, weight in shares))
)


@settings(max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    series=st.lists(st.tuples(splits, st.integers(1, 120)), min_size=1, max_size=8),
)
def test_each_service_gets_its_share_and_of_weight_0_nothing_after_any_change(seed, series):
    """Guards against requests that former weights, or the start, give to a service."""
    splitter = Splitter(Random(seed))
    for shares, count in series:
        counts = chosen(splitter, shares, count)
        total = sum(weight for _, weight in shares)
        for service, weight in shares:
            assert weight or not counts[service]
            assert abs(counts[service] - count * weight / total) < len(shares)


@pytest.mark.parametrize("first", [((0, 100), (100, 0)), ((100, 0), (0, 100))])
def test_a_service_of_weight_0_gets_no_request_from_the_start(first):
    """Guards against a cycle that begins with a service which is listed first, weight or not."""
    for seed in range(MACHINES):
        for values in first:
            shares = list(zip("ab", values, strict=True))
            idle = "ab"[values.index(0)]
            assert chosen(Splitter(Random(seed)), shares, 6)[idle] == 0


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ((60, 40, 0), (0, 1, 1)),
        ((100_000, 0, 0), (1, 3, 0)),
        ((9_900, 100, 0), (1, 99, 0)),
        ((1, 1, 1), (1, 1, 100_000)),
    ],
)
@pytest.mark.parametrize("requests_each", [1, 4])
def test_the_first_requests_after_a_change_have_the_new_shares(before, after, requests_each):
    """Guards against credit of old weights, and machines that all begin with one service."""
    machines = 200 // requests_each
    counts = Counter()
    for seed in range(machines):
        splitter = Splitter(Random(seed))
        chosen(splitter, list(zip("abc", before, strict=True)), 7)
        counts += chosen(splitter, list(zip("abc", after, strict=True)), requests_each)
    for service, weight in zip("abc", after, strict=True):
        assert abs(counts[service] / 200 - weight / sum(after)) <= 0.1


def test_a_service_that_was_taken_out_and_put_back_with_weight_0_gets_nothing():
    """Guards against weights that are remembered by the name of a service."""
    for seed in range(MACHINES):
        splitter = Splitter(Random(seed))
        chosen(splitter, [("a", 50), ("b", 50)], 5)
        chosen(splitter, [("b", 1), ("c", 1)], 3)
        assert chosen(splitter, [("a", 0), ("b", 1)], 20) == {"b": 20}


def test_weights_of_a_service_that_is_listed_twice_add_up():
    """Guards against a listing of weight 0 that hides another one, and the reverse."""
    counts = chosen(Splitter(Random(1)), [("a", 0), ("b", 50), ("a", 50)], 100)
    assert counts["a"] == pytest.approx(50, abs=2)


def test_the_number_of_routes_is_bounded():
    """Guards against memory that grows with each route that was ever split."""
    splitter = Splitter(Random(1))
    for number in range(MAX_ROUTES + 5):
        splitter.choose(route([("a", 1), ("b", 1)], f"r-{number}"))
    assert len(splitter._cycles) <= MAX_ROUTES


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_split_turned_over_by_weights_leaves_no_request_to_the_former_service(seed):
    """Guards against requests run by the old service after a change of weights alone."""

    def script(mesh):
        def put(version, base, *values):
            split = [{"service": s, "weight": w} for s, w in zip("st", values, strict=True)]
            routes = {**ROUTES, "split": {"prefix": "/split/", "repeat": "unsafe", "split": split}}
            assert mesh.apply_route_table(route_table(version, base, routes, ("s", "t")))
            gevent.sleep(1.0)

        def send(count):
            for number in range(count):
                mesh.request(mesh.machines[number % 3], "/split/x", "POST")

        put(2, 1, 100, 0)
        send(9)
        to_t = len(mesh.machines[2].worker.state.runs)
        put(3, 2, 0, 1)
        former = sum(len(machine.worker.state.runs) for machine in mesh.machines[:2])
        send(60)
        return to_t, sum(len(machine.worker.state.runs) for machine in mesh.machines[:2]) - former

    assert play(script, seed=seed) == (0, 0)
