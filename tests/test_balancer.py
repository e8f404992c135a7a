"""Routing: the less loaded of two, zones, slow start, ejection with a floor."""

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


def parts(balancer, members):
    chosen = Counter(balancer.choose(members).node for _ in range(DRAWS))
    return {name: count / DRAWS for name, count in chosen.items()}


def test_a_loaded_member_gets_few_calls(clock):
    table = table_of(clock, *(member(f"n{number}") for number in range(4)))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    members[0].reported_load(LoadReport(in_flight=16, limit=8))
    assert "n0" not in parts(balancer, members)


def test_the_members_own_word_goes_before_what_was_sent_there(clock):
    table = table_of(clock, member("n0"))
    view = table.of("t", "s")[0]
    for _ in range(5):
        view.opened()
    assert view.load() == 5
    for _ in range(4):
        view.closed()
    view.reported_load(AnswerHead(in_flight=2, limit=4))
    assert view.load() == 0.5


def test_the_own_zone_goes_first_until_it_is_full(clock):
    table = table_of(clock, member("near"), member("far-1", "b"), member("far-2", "b"))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    assert parts(balancer, members) == {"near": 1.0}
    members[0].reported_load(LoadReport(in_flight=8, limit=8))
    assert "near" not in parts(balancer, members)


def test_a_member_that_is_new_warms_up(clock):
    table = table_of(clock, *(member(f"old-{number}") for number in range(3)))
    balancer = Balancer(clock, Random(1), "a")
    clock.now = 100.0
    table.apply(MemberDelta(False, [member("new")]))
    members = table.of("t", "s")
    for view in members:
        view.reported_load(LoadReport(in_flight=2, limit=8))
    assert "new" not in parts(balancer, members)
    clock.now += SLOW_START_SECONDS
    assert parts(balancer, members)["new"] > 0.2


def test_after_a_start_of_its_own_every_member_is_warm(clock):
    table = table_of(clock, member("n0"), member("n1"))
    balancer = Balancer(clock, Random(1), "a")
    assert min(parts(balancer, table.of("t", "s")).values()) > 0.4


def test_failures_in_a_row_eject_a_member_for_longer_each_time(clock):
    table = table_of(clock, *(member(f"n{number}") for number in range(3)))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    ejected = [members[0].failed(clock.now) for _ in range(EJECT_AFTER_FAILURES)]
    assert ejected == [False] * (EJECT_AFTER_FAILURES - 1) + [True]
    assert "n0" not in parts(balancer, members)
    clock.now = EJECT_SECONDS + 0.1
    assert "n0" in parts(balancer, members)
    members[0].failed(clock.now)
    assert members[0].ejected_until == pytest.approx(clock.now + 2 * EJECT_SECONDS)
    for _ in range(100):
        members[0].failed(clock.now)
    assert members[0].ejected_until == clock.now + MAX_EJECT_SECONDS
    members[0].answered(0.01)
    assert members[0].failures == 0


def test_never_more_than_half_are_ejected(clock):
    table = table_of(clock, *(member(f"n{number}") for number in range(4)))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    for view in members[:3]:
        for _ in range(EJECT_AFTER_FAILURES):
            view.failed(clock.now)
    assert len(parts(balancer, members)) == 4


def test_a_draining_or_excluded_member_is_not_chosen(clock):
    table = table_of(clock, member("n0"), member("n1"), member("n2"))
    balancer = Balancer(clock, Random(1), "a")
    members = table.of("t", "s")
    members[0].reported_load(LoadReport(limit=8, draining=True))
    assert {balancer.choose(members, frozenset({"n1"})).node for _ in range(50)} == {"n2"}
    assert balancer.choose(members, frozenset({"n1", "n2"})) is None


def test_a_replaced_machine_is_a_new_member_and_old_news_change_nothing(clock):
    table = table_of(clock, member("n0", incarnation=5, sequence=3))
    table.of("t", "s")[0].failures = 2
    table.apply(MemberDelta(False, [member("n0", incarnation=4, sequence=9)]))
    table.apply(
        MemberDelta(False, [member("n0", incarnation=5, sequence=2, state=MemberState.GONE)])
    )
    assert table.of("t", "s")[0].failures == 2
    gone = table.apply(MemberDelta(False, [member("n0", incarnation=6)]))
    assert [view.incarnation for view in gone] == [5]
    assert table.of("t", "s")[0].failures == 0
