"""Callers refuse early only what is less critical than what is refused below."""

from __future__ import annotations

from random import Random

import pytest

from cranklane.node.early_refusal import REPORT_SECONDS, EarlyRefusal
from cranklane.node.members import MemberTable, RefusalReport
from cranklane.outcome import Criticality
from cranklane.records.messages import Member, MemberDelta


class Clock:
    random = Random(1)

    def __init__(self) -> None:
        self.now = 10.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def members(clock):
    table = MemberTable(clock.monotonic)
    rows = [Member(1, 1, 0, f"n{n}", "t", "s", "z", f"10.0.0.{n}:1") for n in range(1, 4)]
    table.apply(MemberDelta(True, rows))
    return table


def refused_part(clock, members, criticality):
    rule = EarlyRefusal(clock.monotonic, clock.random)
    return sum(rule.refuses(members.of("t", "s"), "t", criticality) for _ in range(200)) / 200


def refuse(members, clock, count, highest):
    for member in members.of("t", "s")[:count]:
        member.refusals["t"] = RefusalReport(highest + 1, clock.now)


def test_the_refused_level_itself_still_goes_out(clock, members):
    refuse(members, clock, 3, Criticality.CRITICAL)
    assert refused_part(clock, members, Criticality.CRITICAL) == 0
    assert refused_part(clock, members, Criticality.NORMAL) > 0.8
    assert refused_part(clock, members, Criticality.BACKGROUND) > 0.8


def test_one_member_of_three_is_not_enough(clock, members):
    refuse(members, clock, 1, Criticality.CRITICAL)
    assert refused_part(clock, members, Criticality.BACKGROUND) == 0


def test_the_word_of_a_member_is_soon_forgotten(clock, members):
    refuse(members, clock, 3, Criticality.CRITICAL)
    clock.now += REPORT_SECONDS + 0.01
    assert refused_part(clock, members, Criticality.BACKGROUND) == 0


def test_another_tenant_is_not_touched(clock, members):
    for member in members.of("t", "s"):
        member.refusals["other"] = RefusalReport(Criticality.CRITICAL + 1, clock.now)
    assert refused_part(clock, members, Criticality.BACKGROUND) == 0
