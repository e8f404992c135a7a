"""Workers that share machines: their slow periods are avoided, and leave no trace afterwards."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import gevent
import pytest

from cranklane.common.http1.header_block import HeaderBlock
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.capacity.advertisement import NO_ADVERTISEMENT, Advertisement
from cranklane.sidecar.capacity.destination_pace import DestinationPaces
from cranklane.sidecar.capacity.pace import MAX_PERIOD_SECONDS
from cranklane.sidecar.capacity.worker_capacity import WorkerCapacity
from cranklane.sidecar.routing.cost import SLOW_PERIOD_COST, cost
from cranklane.sidecar.worker.answer_notice import AnswerNoticeReader
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.shared_machine import SlowPeriods
from mesh_support import configure_workers, play
from test_worker_choice import Clock, LocalSidecar

WORKERS, CALLERS = 12, 6
REQUESTS_PER_SECOND = 600
FIRST, SECOND = WorkerInstance("i-1", 1000), WorkerInstance("i-1", 2000)


def replay(seconds, seed=1, periods=None):
    """Return the runs, the latencies and the machines of workers with slow periods."""
    periods = periods or SlowPeriods()

    def script(mesh):
        random = Random(seed)
        now = mesh.world.loop.now
        configure_workers(mesh, seconds=0.05)
        for machine in mesh.machines[:WORKERS]:
            gevent.spawn(periods.apply, machine.worker.state, Random(random.random()))
        latencies = []

        def send(number):
            began_at = now()
            answer = mesh.request(mesh.machines[WORKERS + number % CALLERS], "/read/x")
            assert answer is not None and answer.status == 200
            latencies.append(now() - began_at)

        ends_at = now() + seconds
        while now() < ends_at:
            gevent.spawn(send, random.randrange(CALLERS))
            gevent.sleep(random.expovariate(REQUESTS_PER_SECOND))
        gevent.sleep(1.0)
        workers = mesh.machines[:WORKERS]
        runs = [run for machine in workers for run in machine.worker.state.runs]
        slowness = [machine.sidecar.condition.now().slowness for machine in workers]
        return SimpleNamespace(runs=runs, latencies=sorted(latencies), slowness=slowness)

    return play(script, seed=seed, services=("s",) * WORKERS + ("t",) * CALLERS)


def test_few_runs_begin_in_a_slow_period_and_it_leaves_no_trace():
    result = replay(15.0)
    slow = sum(run.work_time_factor > 1.0 for run in result.runs) / len(result.runs)
    assert slow <= 0.035
    assert result.latencies[int(0.99 * len(result.latencies))] <= 0.12
    assert max(result.slowness) < 1.2


class StatedPace:
    """A worker that states its relative run time, and the capacity that its sidecar knows."""

    def __init__(self):
        self.clock = Clock()
        self.changes = []
        self.capacity = WorkerCapacity(self.clock, self.changes.append)
        self.capacity.pace.follow(FIRST)

    def answer(self, percent, after=0.0, instance=FIRST):
        """Deliver an answer after some seconds; return what replies then state."""
        self.clock.now += after
        self.capacity.pace.answered(instance, percent)
        return self.capacity.advertisement()

    def after(self, seconds):
        """Return what replies state some seconds later."""
        self.clock.now += seconds
        return self.capacity.advertisement()


def test_a_worker_that_never_states_its_run_time_is_not_advertised():
    worker = StatedPace()
    assert worker.answer(None) == worker.after(1.0) == NO_ADVERTISEMENT
    assert worker.capacity.pace.usual_seconds(0.3, worker.capacity.pace.lost_seconds()) == 0.3


def test_a_restart_under_the_same_id_starts_anew():
    worker = StatedPace()
    assert worker.answer(250, 1.0).run_time_percent == 250
    worker.capacity.pace.follow(SECOND)
    assert worker.after(0.0) == NO_ADVERTISEMENT
    assert worker.answer(250, 0.0, FIRST) == NO_ADVERTISEMENT
    assert worker.answer(300, 0.0, SECOND).run_time_percent == 300


def test_a_figure_expires_when_the_header_disappears():
    worker = StatedPace()
    worker.answer(100)
    worker.answer(250, 3.0)
    assert worker.after(0.3).run_time_percent == 250
    assert worker.after(1.0) == NO_ADVERTISEMENT


def test_a_figure_that_stops_changing_counts_for_a_limited_time():
    worker = StatedPace()
    advertised = [worker.answer(250, 0.1) for _ in range(100)]
    slow_seconds = 0.1 * sum(one.run_time_percent == 250 for one in advertised)
    assert slow_seconds == pytest.approx(MAX_PERIOD_SECONDS, abs=0.2)
    assert worker.answer(100).run_time_percent == 100


@pytest.mark.parametrize("text", [b"0", b"-250", b"999999999999", b"10001", b"often", b""])
def test_false_figures_are_not_taken(text):
    head = SimpleNamespace(headers=HeaderBlock.of([(NAMES.load, b"1,0,8," + text)]))
    assert AnswerNoticeReader(NAMES).read(head).run_time_percent is None


@pytest.mark.parametrize("percent", [1, 80, 10_000])
def test_a_false_figure_neither_attracts_requests_nor_stops_them_for_long(percent):
    worker = StatedPace()
    assert 100 <= worker.answer(percent).run_time_percent <= 1600
    assert worker.after(1.0).run_time_percent == 100


def test_the_length_of_slow_periods_is_learned():
    worker = StatedPace()
    for _ in range(20):
        for percent in (100, 250, 250, 250, 250, 250, 250):
            worker.answer(percent, 0.3)
    worker.answer(100, 0.3)
    worker.answer(250, 0.3)
    assert worker.after(1.5).run_time_percent == 250
    assert worker.after(1.0) == NO_ADVERTISEMENT


def test_only_the_slow_part_of_a_run_is_divided():
    worker = StatedPace()
    pace = worker.capacity.pace
    worker.answer(100)
    worker.answer(250, 0.1)
    before = pace.lost_seconds()
    worker.answer(100, 0.25)
    worker.after(0.1)
    assert pace.usual_seconds(0.35, before) == pytest.approx(0.2)
    assert pace.usual_seconds(0.1, pace.lost_seconds()) == pytest.approx(0.1)


def test_a_slow_period_multiplies_the_expected_wait():
    slots = Slots(Clock())
    slots.resize(1)
    slots.running = 1
    usual = slots.expected_wait(slots.rank(0, 0.0))
    slots.run_time_factor = lambda: 2.5
    assert slots.expected_wait(slots.rank(0, 0.0)) == pytest.approx(2.5 * usual)


def test_a_caller_avoids_a_slow_worker_unless_others_cost_more_until_the_figure_expires():
    callers_side = LocalSidecar()
    paces, clock = DestinationPaces(), callers_side.clock
    slow = callers_side["a"]
    usual_cost = cost(slow, "z", clock.now)
    slow.pace = paces.record("s", None, clock.now, Advertisement(250, 100))
    assert cost(slow, "z", clock.now) == pytest.approx((1 + 1.5 * SLOW_PERIOD_COST) * usual_cost)
    assert callers_side.chosen_nodes() == {"b", "c"}
    assert callers_side.chosen_nodes(tried=("b", "c")) == {"a"}
    # Its sidecar has restarted and states nothing: the figure holds until its expiry.
    slow.pace = paces.record("s", slow.pace, clock.now, NO_ADVERTISEMENT)
    assert callers_side.chosen_nodes() == {"b", "c"}
    clock.now += 1.0
    assert callers_side.chosen_nodes() == {"a", "b", "c"}


def test_requests_are_handed_back_at_most_once_and_served_when_all_workers_are_slow():
    def script(mesh):
        configure_workers(mesh, seconds=0.05, run_time_percent=b"100")
        for number in range(12):
            assert mesh.request(mesh.machines[number % 3], "/read/x").status == 200
        configure_workers(mesh, work_time_factor=2.5, run_time_percent=b"250")
        mesh.restart_sidecar(mesh.machines[0])
        gevent.sleep(0.3)
        callers = [mesh.machines[1 + number % 2] for number in range(12)]
        statuses = [mesh.request(caller, "/read/x").status for caller in callers]
        lines = [
            line
            for machine in mesh.machines
            for line in machine.sidecar.metrics.text().decode().splitlines()
            if line.startswith('cranklane_admissions_total{reason="slow_period"}')
        ]
        return statuses, sum(float(line.split()[-1]) for line in lines)

    statuses, handed_back = play(script)
    assert statuses == [200] * 12
    # Each of the two callers learns of each of the three workers at most once.
    assert 1 <= handed_back <= 6


@pytest.mark.parametrize(("latency_us", "expected"), [(0, False), (2000, False), (50_000, True)])
def test_only_runs_that_lose_more_than_another_attempt_takes_are_handed_back(latency_us, expected):
    worker = StatedPace()
    worker.answer(100)
    assert not worker.capacity.is_better_elsewhere(50_000)
    worker.answer(250, 1.0)
    assert worker.capacity.is_better_elsewhere(latency_us) is expected
    worker.after(MAX_PERIOD_SECONDS)
    assert not worker.capacity.is_better_elsewhere(50_000)


def test_a_worker_whose_health_check_alone_states_the_figure_is_known():
    worker = StatedPace()
    head = SimpleNamespace(headers=HeaderBlock.of([(NAMES.load, b"1,0,8,250")]))
    notice = AnswerNoticeReader(NAMES).read(head)
    assert worker.answer(notice.run_time_percent).run_time_percent == 250
