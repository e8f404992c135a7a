"""Membership leases, precedence of reports, and admission of subscribers."""

from __future__ import annotations

import pytest

from cranklane.distribution.group_contact import GroupContact, NodeServiceTiming
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.membership import (
    LEASE_SECONDS,
    OWNER_LEASE_SECONDS,
    SESSION_SHIFT,
    Membership,
)
from cranklane.records.messages import Heartbeat, Member, MemberReport, Subscribe


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def membership(clock):
    return Membership("own", clock, lambda: None)


def node(name="n", incarnation=1, session=1):
    return Subscribe(incarnation=incarnation, session=session, node=name, service="s")


def member(name="n", incarnation=1, sequence=1 << SESSION_SHIFT, state=MemberState.LIVE):
    return Member(incarnation=incarnation, sequence=sequence, state=state, node=name, service="s")


def report(*members, owner="other", whole=False):
    return MemberReport(whole, owner, list(members), [])


def names(members):
    return [item.node for item in members]


def test_a_subscriber_is_silent_after_its_lease(membership, clock):
    membership.add_subscriber(node())
    clock.now += LEASE_SECONDS
    assert membership.expire() == []
    clock.now += 0.001
    assert names(membership.expire()) == ["n"]
    assert membership.members() == []
    assert membership.since(1)[0][0].state == MemberState.SILENT


def test_a_heartbeat_renews_the_lease_only_of_its_incarnation(membership, clock):
    membership.add_subscriber(node(incarnation=2))
    clock.now += LEASE_SECONDS
    membership.heartbeat(node(incarnation=2), Heartbeat(incarnation=2))
    clock.now += LEASE_SECONDS
    membership.heartbeat(node(incarnation=1), Heartbeat(incarnation=1))
    assert membership.expire() == []
    clock.now += 0.001
    assert names(membership.expire()) == ["n"]


def test_a_reported_member_stays_for_the_lease_of_its_owner(membership, clock):
    membership.apply_report(report(member()))
    clock.now += OWNER_LEASE_SECONDS
    assert membership.expire() == []
    membership.apply_report(report())
    clock.now += OWNER_LEASE_SECONDS
    assert membership.expire() == []
    clock.now += 0.001
    assert names(membership.expire()) == ["n"]


def test_a_member_of_a_silent_owner_returns_with_the_owners_next_report(membership, clock):
    membership.apply_report(report(member()))
    clock.now += OWNER_LEASE_SECONDS + 1
    membership.expire()
    membership.apply_report(report(member()))
    assert names(membership.members()) == ["n"]


def test_a_member_not_listed_by_a_restarted_owner_gets_its_own_lease(membership, clock):
    membership.apply_report(report(member("n"), member("m")))
    membership.apply_report(report(member("m"), whole=True))
    clock.now += LEASE_SECONDS
    assert membership.expire() == []
    clock.now += 0.001
    assert names(membership.expire()) == ["n"]


@pytest.mark.parametrize(
    ("incarnation", "session", "state"),
    [
        (1, 1, MemberState.DRAINING),
        (1, 2, MemberState.LIVE),
        (2, 0, MemberState.LIVE),
    ],
)
def test_the_newest_session_of_the_newest_incarnation_takes_precedence(
    membership, incarnation, session, state
):
    draining = member(sequence=(1 << SESSION_SHIFT) + 1, state=MemberState.DRAINING)
    membership.apply_report(report(draining))
    membership.add_subscriber(node(incarnation=incarnation, session=session))
    assert membership.members()[0].state == state


def test_only_members_of_this_process_are_reported(membership):
    membership.add_subscriber(node("own"))
    membership.apply_report(report(member("others")))
    first, position = membership.report_since(0)
    assert (first.whole, names(first.members)) == (True, ["own"])
    assert membership.report_since(position)[0].members == []


TIMING = NodeServiceTiming(
    out_of_touch_after=3.0, last_resort_stay=10.0, contact_check=0.5, expiry_check=1.0
)


@pytest.mark.parametrize(
    ("out_of_touch", "last_resort", "admitted"),
    [(0.0, False, True), (2.9, False, True), (3.0, False, False), (3.0, True, True)],
)
def test_a_process_out_of_touch_admits_nodes_only_as_a_last_resort(
    clock, out_of_touch, last_resort, admitted
):
    contact = GroupContact(TIMING, clock)
    clock.now += out_of_touch
    assert contact.admits(last_resort) is admitted


def test_a_process_out_of_touch_keeps_only_recent_last_resort_subscriptions(clock):
    contact = GroupContact(TIMING, clock)
    clock.now += 20.0
    assert not contact.in_touch
    assert contact.subscription_cutoffs() == (120.0, 110.0)
    contact.record_contact()
    assert contact.in_touch
