"""Subsets of large services: even coverage, stability, and widening under load or faults."""

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
    """The destinations and worker selection of one sidecar."""

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


def all_members():
    return [member(number) for number in range(WORKERS)]


def coverage(callers):
    return Counter(worker.node for caller in callers for worker in caller.subset())


def test_the_subsets_of_all_callers_cover_all_workers_evenly():
    counts = coverage([Caller(number, all_members()) for number in range(CALLERS)])
    mean = sum(counts.values()) / WORKERS
    assert len(counts) == WORKERS
    assert max(counts.values()) <= 1.5 * mean


def test_coverage_stays_even_while_workers_come_and_go():
    callers = [Caller(number, all_members()) for number in range(CALLERS)]
    changes = [member(number, 2, MemberState.GONE) for number in range(0, 40)]
    changes += [member(number) for number in range(WORKERS, WORKERS + 40)]
    for caller in callers:
        caller.apply(MemberDelta(False, changes))
    counts = coverage(callers)
    assert len(counts) == WORKERS
    assert max(counts.values()) <= 1.5 * sum(counts.values()) / WORKERS


def test_half_of_a_subset_is_in_the_local_zone_and_updates_keep_it():
    caller = Caller(3, all_members())
    subset = caller.subset()
    assert len(subset) == SUBSET_SIZE
    assert sum(worker.zone == ZONES[3] for worker in subset) == SUBSET_LOCAL_ZONE_SIZE
    caller.apply(MemberDelta(False, [member(number, 2) for number in range(WORKERS)]))
    assert caller.subset() == subset


def choices(caller, count):
    return Counter(caller.choose().node for _ in range(count))


def test_a_lightly_loaded_caller_uses_only_its_subset():
    assert len(choices(Caller(1, all_members()), 400)) <= SUBSET_SIZE


def loaded(caller, now, running):
    for worker in caller.subset():
        worker.update_load(now, Load(running, 0, SLOTS))


@pytest.mark.parametrize("problem", ["loaded", "ejected", "slow", "full", "draining"])
def test_a_loaded_or_failing_subset_is_widened(problem):
    now = 50.0
    caller = Caller(1, all_members(), lambda: now)
    for worker in caller.subset():
        if problem == "loaded":
            worker.update_load(now, Load(SLOTS - 1, 0, SLOTS))
        elif problem == "ejected":
            worker.ejected_until = now + 9.0
        elif problem == "slow":
            for _ in range(20):
                worker.slowness.sample(now, 9.0)
        elif problem == "full":
            worker.record_capacity_refusal(now, 0)
        else:
            worker.state = MemberState.DRAINING
    subset = {worker.node for worker in caller.subset()}
    assert all(node not in subset for node in choices(caller, 60))


def test_a_new_worker_gets_requests_from_several_callers_at_once():
    callers = [Caller(number, all_members()) for number in range(CALLERS)]
    busy = Load(2, 0, SLOTS)
    requests_to_new_worker = 0
    for caller in callers:
        for worker in caller.destinations.members("s"):
            worker.update_load(50.0, busy)
        caller.apply(MemberDelta(False, [member(WORKERS)]))
        requests_to_new_worker += caller.choose().node == f"worker-{WORKERS}"
    assert requests_to_new_worker >= 10
