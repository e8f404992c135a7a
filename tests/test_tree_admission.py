"""Admission of whole call trees: overload, changes, failures, starvation and light load."""

from __future__ import annotations

from random import Random
from statistics import fmean

import gevent
import pytest

from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.request.call_tree import Root, Run
from cranklane.sidecar.request.tree_ticket import NO_TICKET, RANKS_PER_PRIORITY, TreeTicket
from cranklane.sidecar.tree_admission.level import AdmissionLevel
from cranklane.sidecar.tree_admission.root_admission import RootAdmission
from cranklane.sidecar.tree_admission.ticket import TicketIssuer
from cranklane_lab.simulation.loop import run_virtual
from cranklane_lab.trees.admission_model import AdmissionModel, ModelSettings

OVERLOAD = 1.6


def play(script=None, **settings):
    """Return the result of the model, with the capacity as slot-seconds per second."""

    def run(loop):
        options = {"workers": 4, "slots": 15, "entries": 8, "seconds": 8.0, **settings}
        model = AdmissionModel(ModelSettings(**options), loop.now)
        if script is not None:
            gevent.spawn(script, model)
        return model.run(), model.settings.workers * model.settings.slots

    return run_virtual(run)


def admitted(result, capacity, seconds):
    """Return the slot time of the trees admitted in each of some seconds, over the capacity."""
    return [result.began[second] / capacity for second in seconds]


@pytest.mark.parametrize("seed", [1, 2])
def test_steady_overload_is_admitted_within_a_tenth_of_the_capacity(seed):
    result, capacity = play(load=lambda _: OVERLOAD, seed=seed)
    assert fmean(admitted(result, capacity, range(3, 8))) == pytest.approx(1.0, abs=0.1)
    # A worker has 15 slots and an entry 45 requests a second: noise of single seconds is larger.
    assert all(0.75 < rate < 1.25 for rate in admitted(result, capacity, range(3, 8)))
    assert result.wasted_fraction() < 0.05
    assert result.served_fraction(0) > 0.97


def test_without_levels_all_trees_of_the_overload_are_begun():
    result, capacity = play(load=lambda _: OVERLOAD, uses_levels=False)
    assert min(admitted(result, capacity, range(3, 8))) > 1.4


def test_no_priority_is_starved_while_the_highest_fills_the_service():
    result, _ = play(load=lambda _: 2.5, shares=(0.6, 0.1, 0.3), seconds=12.0)
    for priority in (1, 2):
        assert result.served_fraction(priority) >= result.served_fraction() / 4


def test_the_end_of_a_surge_is_followed_within_a_second():
    result, capacity = play(load=lambda at: OVERLOAD if 2 < at < 5 else 0.6)
    assert fmean(admitted(result, capacity, [6, 7])) == pytest.approx(0.6, abs=0.1)


def test_the_loss_of_a_worker_is_followed_within_a_second():
    def lose_worker(model):
        gevent.sleep(4)
        model.workers[0].slots.resize(0)

    result, capacity = play(lose_worker, load=lambda _: 1.3)
    assert fmean(admitted(result, capacity, [5, 6, 7])) == pytest.approx(0.75, abs=0.1)


def test_one_slow_worker_of_ten_sheds_nothing_that_the_others_can_run():
    def slow_down(model):
        model.workers[0].speed = 3.0

    result, _ = play(slow_down, load=lambda _: 0.8, workers=10)
    assert result.served_fraction() > 0.99


def test_a_lightly_loaded_worker_states_no_level():
    result, _ = play(load=lambda _: 0.7)
    assert set(result.levels) == {MAX_ADMISSION_LEVEL}


class Clock:
    """A clock set by the test."""

    now = 100.0

    def __call__(self):
        return self.now


def test_a_worker_that_refuses_nothing_orders_by_arrival_and_states_nothing():
    level = AdmissionLevel(Clock(), lambda: 10.0, lambda: 0.0)
    assert level.arrived(700, 0.1) == 0
    level.decided(False, 0.1, 0.5)
    assert (level.arrived(700, 0.1), level.stated) == (0, MAX_ADMISSION_LEVEL)
    level.decided(True, 0.0, 0.5)
    assert level.arrived(700, 0.1) == 700 % RANKS_PER_PRIORITY


def test_a_stated_level_ends_when_calls_stop():
    clock = Clock()
    level = AdmissionLevel(clock, lambda: 10.0, lambda: 0.0)
    level.decided(True, 0.0, 0.5)
    for number in range(100):
        clock.now += 0.01
        level.arrived(number, 0.1)
    assert level.stated < 100
    clock.now += 1.5
    assert level.stated == MAX_ADMISSION_LEVEL


def test_requests_get_no_ticket_unless_the_settings_ask_for_it():
    issuer = TicketIssuer(Clock(), Random(1), enabled=False)
    assert issuer.draw(2) is NO_TICKET


def test_an_entry_without_replies_admits_single_probes_and_then_forgets_the_level():
    clock = Clock()
    entry = RootAdmission(clock)
    entry.record("r", "n", 300, True)
    assert (entry.admits("r", 300), entry.admits("r", 700)) == (True, False)
    clock.now += 1.2
    assert [entry.admits("r", 700) for _ in range(3)] == [True, False, False]
    assert entry.level("r") == MAX_ADMISSION_LEVEL
    clock.now += 0.9
    assert [entry.admits("r", 700) for _ in range(3)] == [True, True, True]


def test_the_reply_to_a_probe_confirms_or_ends_the_level():
    clock = Clock()
    entry = RootAdmission(clock)
    entry.record("r", "n", 300, True)
    clock.now += 1.2
    assert entry.admits("r", 700)
    entry.record("r", "n", 310, False)
    assert not entry.admits("r", 700)
    clock.now += 0.1
    entry.record("r", "n", MAX_ADMISSION_LEVEL, True)
    clock.now += 0.1
    assert entry.admits("r", 700)


def test_a_level_of_one_route_does_not_concern_others():
    entry = RootAdmission(Clock())
    entry.record("r", "n", 300, True)
    entry.record("other", "n", MAX_ADMISSION_LEVEL, True)
    assert entry.admits("other", 700)


def test_a_run_passes_on_the_lowest_of_the_latest_levels():
    run = Run(Root(0, 0.0, 1.0, 5.0))
    assert run.admission_level == MAX_ADMISSION_LEVEL
    run.record_admission_level("a", 300)
    run.record_admission_level("b", 500)
    run.record_admission_level("a", MAX_ADMISSION_LEVEL)
    assert run.admission_level == 500


def test_tickets_are_ranked_by_priority_unless_it_is_starved():
    clock = Clock()
    issuer = TicketIssuer(clock, Random(1))
    drawn = [issuer.draw(2).rank for _ in range(200)]
    assert all(rank // RANKS_PER_PRIORITY == 2 for rank in drawn)
    assert len(set(drawn)) > 100
    for _ in range(300):
        clock.now += 0.02
        issuer.record(0, TreeTicket(0), True)
        issuer.record(2, TreeTicket(600), False)
    carried = sum(issuer.draw(2).is_first_priority for _ in range(1000)) / 1000
    assert 0.1 < carried < 0.25
