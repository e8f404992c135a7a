"""Of a large service each sidecar turns to the same few workers first."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.worker_choice import (
    SUBSET_LOCAL_ZONE_SIZE,
    SUBSET_SIZE,
    WorkerChoice,
)
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


class Caller:
    """What a sidecar knows of the members, and how it chooses among them."""

    def __init__(self, number, members, clock=lambda: 50.0):
        name, zone = f"caller-{number}", ZONES[number % len(ZONES)]
        self.destinations = Destinations(clock, name)
        self.choice = WorkerChoice(self.destinations, clock, Random(number), name, zone)
        self.apply(MemberDelta(True, list(members)))

    def apply(self, delta):
        self.destinations.apply(delta)

    def subset(self):
        return self.choice._subset_of("s")

    def choose(self):
        return self.choice.choose("s", set(), 0)


def everyone():
    return [member(number) for number in range(WORKERS)]


def coverage(callers):
    return Counter(item.node for one in callers for item in one.subset())


def test_together_the_subsets_cover_all_workers_evenly():
    counts = coverage([Caller(number, everyone()) for number in range(CALLERS)])
    mean = sum(counts.values()) / WORKERS
    assert len(counts) == WORKERS
    assert max(counts.values()) <= 1.5 * mean


def test_coverage_stays_even_while_workers_come_and_go():
    callers = [Caller(number, everyone()) for number in range(CALLERS)]
    changes = [member(number, 2, MemberState.GONE) for number in range(0, 40)]
    changes += [member(number) for number in range(WORKERS, WORKERS + 40)]
    for one in callers:
        one.apply(MemberDelta(False, changes))
    counts = coverage(callers)
    assert len(counts) == WORKERS
    assert max(counts.values()) <= 1.5 * sum(counts.values()) / WORKERS


def test_half_of_a_subset_is_of_the_own_zone_and_it_stays_the_same():
    one = Caller(3, everyone())
    subset = one.subset()
    assert len(subset) == SUBSET_SIZE
    assert sum(item.zone == ZONES[3] for item in subset) == SUBSET_LOCAL_ZONE_SIZE
    one.apply(MemberDelta(False, [member(number, 2) for number in range(WORKERS)]))
    assert one.subset() == subset


def choices(one, count):
    return Counter(one.choose().node for _ in range(count))


def test_a_caller_with_little_to_do_meets_few_workers():
    assert len(choices(Caller(1, everyone()), 400)) <= SUBSET_SIZE


def loaded(one, now, running):
    for item in one.subset():
        item.update_load(now, Load(running, 0, SLOTS))


@pytest.mark.parametrize("trouble", ["loaded", "ejected", "sick", "full", "draining"])
def test_a_subset_in_trouble_is_widened(trouble):
    now = 50.0
    one = Caller(1, everyone(), lambda: now)
    for item in one.subset():
        if trouble == "loaded":
            item.update_load(now, Load(SLOTS - 1, 0, SLOTS))
        elif trouble == "ejected":
            item.ejected_until = now + 9.0
        elif trouble == "sick":
            for _ in range(20):
                item.slowness.sample(now, 9.0)
        elif trouble == "full":
            item.record_capacity_refusal(now, 0)
        else:
            item.state = MemberState.DRAINING
    subset = {item.node for item in one.subset()}
    assert all(node not in subset for node in choices(one, 60))


def test_a_new_worker_gets_requests_from_several_callers_at_once():
    callers = [Caller(number, everyone()) for number in range(CALLERS)]
    busy = Load(2, 0, SLOTS)
    asked = 0
    for one in callers:
        for item in one.destinations.members("s"):
            item.update_load(50.0, busy)
        one.apply(MemberDelta(False, [member(WORKERS)]))
        asked += one.choose().node == f"worker-{WORKERS}"
    assert asked >= 10
