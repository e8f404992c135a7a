"""Callers refuse calls early only if most members recently refused more critical ones."""

from __future__ import annotations

from random import Random

import pytest

from cranklane.node.early_refusal import REPORT_VALID_SECONDS, EarlyRefusal
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
    member_records = [Member(1, 1, 0, f"n{n}", "t", "s", "z", f"10.0.0.{n}:1") for n in range(1, 4)]
    table.apply(MemberDelta(True, member_records))
    return table


def refused_fraction(clock, members, criticality):
    rule = EarlyRefusal(clock.monotonic, clock.random)
    return sum(rule.refuses(members.of("t", "s"), "t", criticality) for _ in range(200)) / 200


def report_refusal(members, clock, count, highest):
    for member in members.of("t", "s")[:count]:
        member.refusals["t"] = RefusalReport(highest + 1, clock.now)


def test_calls_of_the_highest_refused_criticality_are_sent(clock, members):
    report_refusal(members, clock, 3, Criticality.CRITICAL)
    assert refused_fraction(clock, members, Criticality.CRITICAL) == 0
    assert refused_fraction(clock, members, Criticality.NORMAL) > 0.8
    assert refused_fraction(clock, members, Criticality.BACKGROUND) > 0.8


def test_refusals_by_a_minority_of_members_are_ignored(clock, members):
    report_refusal(members, clock, 1, Criticality.CRITICAL)
    assert refused_fraction(clock, members, Criticality.BACKGROUND) == 0


def test_reports_expire(clock, members):
    report_refusal(members, clock, 3, Criticality.CRITICAL)
    clock.now += REPORT_VALID_SECONDS + 0.01
    assert refused_fraction(clock, members, Criticality.BACKGROUND) == 0


def test_reports_apply_to_their_tenant_only(clock, members):
    for member in members.of("t", "s"):
        member.refusals["other"] = RefusalReport(Criticality.CRITICAL + 1, clock.now)
    assert refused_fraction(clock, members, Criticality.BACKGROUND) == 0
