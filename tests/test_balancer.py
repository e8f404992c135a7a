"""Load balancing: less loaded of two members, zones, slow start and ejection."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from cranklane.node.balancer import SLOW_START_SECONDS, Balancer
from cranklane.node.ejection import EJECT_AFTER_FAILURES, EJECT_SECONDS, MAX_EJECT_SECONDS
from cranklane.node.members import MemberState, MemberTable
from cranklane.records.messages import AnswerHead, LoadReport, Member, MemberDelta

DRAWS = 4000


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return Clock()


def member(name, zone="a", incarnation=1, sequence=1, state=MemberState.LIVE):
    return Member(incarnation, sequence, state, name, "t", "s", zone, "10.0.0.1:1")


def table_of(clock, *members):
    table = MemberTable(clock)
    table.apply(MemberDelta(True, list(members)))
    return table


def choice_fractions(balancer, members):
    chosen = Counter(balancer.choose(members).node for _ in range(DRAWS))
    return {name: count / DRAWS for name, count in chosen.items()}


def test_overloaded_member_is_not_chosen(clock):
    table = table_of(clock, *(member(f"n{number}") for number in range(4)))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    members[0].reported_load(LoadReport(in_flight=16, limit=8))
    assert "n0" not in choice_fractions(balancer, members)


def test_reported_load_replaces_the_local_call_count(clock):
    table = table_of(clock, member("n0"))
    view = table.of("t", "s")[0]
    for _ in range(5):
        view.opened()
    assert view.load() == 5
    for _ in range(4):
        view.closed()
    view.reported_load(AnswerHead(in_flight=2, limit=4))
    assert view.load() == 0.5


def test_other_zones_are_used_only_when_the_local_zone_is_full(clock):
    table = table_of(clock, member("near"), member("far-1", "b"), member("far-2", "b"))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    assert choice_fractions(balancer, members) == {"near": 1.0}
    members[0].reported_load(LoadReport(in_flight=8, limit=8))
    assert "near" not in choice_fractions(balancer, members)


def test_new_member_gets_fewer_calls_during_slow_start(clock):
    table = table_of(clock, *(member(f"old-{number}") for number in range(3)))
    balancer = Balancer(clock, Random(1), "a")
    clock.now = 100.0
    table.apply(MemberDelta(False, [member("new")]))
    members = table.of("t", "s")
    for view in members:
        view.reported_load(LoadReport(in_flight=2, limit=8))
    assert "new" not in choice_fractions(balancer, members)
    clock.now += SLOW_START_SECONDS
    assert choice_fractions(balancer, members)["new"] > 0.2


def test_members_seen_at_process_start_count_as_warm(clock):
    table = table_of(clock, member("n0"), member("n1"))
    balancer = Balancer(clock, Random(1), "a")
    assert min(choice_fractions(balancer, table.of("t", "s")).values()) > 0.4


def test_ejection_time_grows_with_consecutive_failures(clock):
    table = table_of(clock, *(member(f"n{number}") for number in range(3)))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    ejected = [members[0].failed(clock.now) for _ in range(EJECT_AFTER_FAILURES)]
    assert ejected == [False] * (EJECT_AFTER_FAILURES - 1) + [True]
    assert "n0" not in choice_fractions(balancer, members)
    clock.now = EJECT_SECONDS + 0.1
    assert "n0" in choice_fractions(balancer, members)
    members[0].failed(clock.now)
    assert members[0].ejected_until == pytest.approx(clock.now + 2 * EJECT_SECONDS)
    for _ in range(100):
        members[0].failed(clock.now)
    assert members[0].ejected_until == clock.now + MAX_EJECT_SECONDS
    members[0].answered(0.01)
    assert members[0].failures == 0


def test_ejections_are_ignored_when_most_members_fail(clock):
    table = table_of(clock, *(member(f"n{number}") for number in range(4)))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    for view in members[:3]:
        for _ in range(EJECT_AFTER_FAILURES):
            view.failed(clock.now)
    assert len(choice_fractions(balancer, members)) == 4


def test_draining_or_excluded_member_is_not_chosen(clock):
    table = table_of(clock, member("n0"), member("n1"), member("n2"))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    members[0].reported_load(LoadReport(limit=8, draining=True))
    assert {balancer.choose(members, frozenset({"n1"})).node for _ in range(50)} == {"n2"}
    assert balancer.choose(members, frozenset({"n1", "n2"})) is None


def test_new_incarnation_replaces_a_member_and_stale_deltas_are_ignored(clock):
    table = table_of(clock, member("n0", incarnation=5, sequence=3))
    table.of("t", "s")[0].failures = 2
    table.apply(MemberDelta(False, [member("n0", incarnation=4, sequence=9)]))
    table.apply(
        MemberDelta(False, [member("n0", incarnation=5, sequence=2, state=MemberState.GONE)])
    )
    assert table.of("t", "s")[0].failures == 2
    removed = table.apply(MemberDelta(False, [member("n0", incarnation=6)]))
    assert [view.incarnation for view in removed] == [5]
    assert table.of("t", "s")[0].failures == 0
