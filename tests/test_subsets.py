"""Of a large service each sidecar turns to the same few workers first."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.destinations import CHOICES, OWN_ZONE_CHOICES, Destinations
from cranklane_lab.evidence.trial import ZONES

CALLERS = 195
WORKERS = 93
SLOTS = 10


def member(number, sequence=1, state=MemberState.LIVE):
    return Member(
        incarnation=1,
        sequence=sequence,
        state=state,
        slots=SLOTS,
        node=f"worker-{number}",
        service="s",
        zone=ZONES[number % len(ZONES)],
        address=f"10.0.0.{number + 1}:80",
        instance=f"i-{number}",
    )


def caller(number, members, clock=lambda: 50.0):
    zone = ZONES[number % len(ZONES)]
    destinations = Destinations(clock, Random(number), f"caller-{number}", zone)
    destinations.apply(MemberDelta(True, list(members)))
    return destinations


def everyone():
    return [member(number) for number in range(WORKERS)]


def coverage(callers):
    return Counter(item.node for one in callers for item in one._subset_of("s"))


def test_together_the_subsets_cover_all_workers_evenly():
    counts = coverage([caller(number, everyone()) for number in range(CALLERS)])
    mean = sum(counts.values()) / WORKERS
    assert len(counts) == WORKERS
    assert max(counts.values()) <= 1.5 * mean


def test_coverage_stays_even_while_workers_come_and_go():
    callers = [caller(number, everyone()) for number in range(CALLERS)]
    changes = [member(number, 2, MemberState.GONE) for number in range(0, 40)]
    changes += [member(number) for number in range(WORKERS, WORKERS + 40)]
    for one in callers:
        one.apply(MemberDelta(False, changes))
    counts = coverage(callers)
    assert len(counts) == WORKERS
    assert max(counts.values()) <= 1.5 * sum(counts.values()) / WORKERS


def test_half_of_a_subset_is_of_the_own_zone_and_it_stays_the_same():
    one = caller(3, everyone())
    subset = one._subset_of("s")
    assert len(subset) == CHOICES
    assert sum(item.zone == ZONES[3] for item in subset) == OWN_ZONE_CHOICES
    one.apply(MemberDelta(False, [member(number, 2) for number in range(WORKERS)]))
    assert one._subset_of("s") == subset


def choices(one, count):
    return Counter(one.choose("s", set(), 0).node for _ in range(count))


def test_a_caller_with_little_to_do_meets_few_workers():
    assert len(choices(caller(1, everyone()), 400)) <= CHOICES


def loaded(one, now, running):
    for item in one._subset_of("s"):
        item.take_load(now, Load(running, 0, SLOTS))


@pytest.mark.parametrize("trouble", ["loaded", "ejected", "sick", "full", "draining"])
def test_a_subset_in_trouble_is_widened(trouble):
    now = 50.0
    one = caller(1, everyone(), lambda: now)
    for item in one._subset_of("s"):
        if trouble == "loaded":
            item.take_load(now, Load(SLOTS - 1, 0, SLOTS))
        elif trouble == "ejected":
            item.ejected_until = now + 9.0
        elif trouble == "sick":
            for _ in range(20):
                item.slowness.sample(now, 9.0)
        elif trouble == "full":
            item.no_room(now, 0)
        else:
            item.state = MemberState.DRAINING
    subset = {item.node for item in one._subset_of("s")}
    assert all(node not in subset for node in choices(one, 60))


def test_a_new_worker_gets_requests_from_several_callers_at_once():
    callers = [caller(number, everyone()) for number in range(CALLERS)]
    busy = Load(2, 0, SLOTS)
    asked = 0
    for one in callers:
        for item in one._by_service["s"]:
            item.take_load(50.0, busy)
        one.apply(MemberDelta(False, [member(WORKERS)]))
        asked += one.choose("s", set(), 0).node == f"worker-{WORKERS}"
    assert asked >= 10
