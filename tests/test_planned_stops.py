"""Requests that a stopping sidecar accepts end with the worker's answer; others have not run."""

from __future__ import annotations

from random import Random

import gevent
import pytest

from cranklane.common import planned_stop
from mesh_support import configure_workers, delay
from mesh_support import play as play_mesh

ROUTES = {
    "front": {"prefix": "/front/", "service": "s", "timeout_ms": 30_000, "max_attempts": 1},
    "back": {"prefix": "/back/", "service": "t", "timeout_ms": 30_000, "objective_ms": 1500},
    "sign": {
        "prefix": "/sign/",
        "service": "t",
        "timeout_ms": 30_000,
        "objective_ms": 20_000,
        "repeat": "unsafe",
    },
}
GRACE_SECONDS = 6.0
PARENT_DEADLINE_MS = 6000
LONG_DEADLINE_MS = 20_000
NOT_RUN = 503


def play(script, services=("s", "t"), slots=20, seed=1, network_delay=delay):
    """Return the result of ``script(mesh)`` on a mesh with the routes of these tests."""
    options = {"services": services, "routes": ROUTES, "slots": slots}
    return play_mesh(script, seed, network_delay, **options)


def learn(mesh, entry, count, path="/sign/", seconds=None):
    """Send requests at a machine one after the other, so that it knows how long they take.

    :param seconds: work time of all workers from now on; None leaves it.
    """
    if seconds is not None:
        configure_workers(mesh, seconds=seconds)
    method = "POST" if path == "/sign/" else "GET"
    for number in range(count):
        assert Sent(mesh, entry, path, f"learnt-{number}", method=method).status == 200


def stop_without_control(mesh, machine):
    """Stop a machine's sidecar while no controller can tell others of it."""
    for controller in mesh.controllers:
        controller.process.kill()
    stop(mesh, machine)


def stop(mesh, machine):
    """Stop a machine's sidecar as the platform does: SIGTERM, and its process ends."""
    process = machine.process

    def stop_and_end():
        machine.sidecar.stop()
        gevent.spawn(process.kill)

    return process.spawn(stop_and_end)


class Sent:
    """A request and its answer.

    :ivar began_at: virtual second of its start.
    """

    def __init__(self, mesh, machine, path, name, deadline_ms=LONG_DEADLINE_MS, method="GET"):
        self._mesh = mesh
        self.name = name
        self.began_at = mesh.world.loop.now()
        self.deadline = self.began_at + deadline_ms / 1000
        self.ended_at = self.began_at
        self.answer = None
        self.task = gevent.spawn(self._send, machine, path, deadline_ms, method)

    def _send(self, machine, path, deadline_ms, method):
        try:
            self.answer = self._mesh.request(
                machine, path, method, deadline_ms=deadline_ms, name=self.name
            )
        except OSError:
            # The sidecar's port is closed: its process has ended.
            self.answer = None
        self.ended_at = self._mesh.world.loop.now()

    @property
    def status(self):
        self.task.join()
        return self.answer.status if self.answer is not None else 0

    def was_cut(self):
        """Return whether a worker ran it and its caller got no answer in time from it."""
        ran = bool(self._mesh.instances_that_ran(self.name))
        return ran and self.status in (0, 502, NOT_RUN) and self.ended_at < self.deadline


def calls_during_a_stop(
    sent_after,
    work_seconds,
    deadline_ms=PARENT_DEADLINE_MS,
    learnt_runs=0,
    lead_seconds=0.1,
    later_delay_seconds=0.0,
):
    """Return six calls of runs at a stopping machine, sent some seconds after the SIGTERM.

    :param learnt_runs: requests of the route that the machine has sent before, with that work.
    :param lead_seconds: time from the start of the parents until the SIGTERM.
    :param later_delay_seconds: network delay that is added from the SIGTERM on.
    """
    added = [0.0]

    def script(mesh):
        front, back = mesh.machines
        front.worker.state.seconds = GRACE_SECONDS + 1.0
        back.worker.state.seconds = work_seconds
        learn(mesh, front, learnt_runs, "/back/")
        parents = [Sent(mesh, back, "/front/x", f"p{number}", deadline_ms) for number in range(6)]
        gevent.sleep(lead_seconds)
        stopping = stop(mesh, front)
        added[0] = later_delay_seconds
        gevent.sleep(sent_after)
        left_ms = int((parents[0].deadline - mesh.world.loop.now()) * 1000)
        calls = [Sent(mesh, front, "/back/x", f"{parent.name}.1", left_ms) for parent in parents]
        gevent.joinall([call.task for call in calls])
        ran = [len(mesh.instances_that_ran(call.name)) for call in calls]
        cut = [call.was_cut() for call in calls]
        stopping.kill()
        return [call.answer for call in calls], ran, cut

    def late(source_zone, target_zone):
        return delay(source_zone, target_zone) + added[0]

    return play(script, network_delay=late)


@pytest.mark.parametrize("later_delay_seconds", [0.0, 0.05, 0.15, 0.3])
@pytest.mark.parametrize("lead_seconds", [0.1, 0.01])
@pytest.mark.parametrize("work_seconds", [0.8, 1.2, 1.4, 1.6, 2.5])
@pytest.mark.parametrize("deadline_ms", [PARENT_DEADLINE_MS, 6300, LONG_DEADLINE_MS])
def test_a_call_taken_late_in_a_stop_is_not_cut_while_its_worker_runs_it(
    deadline_ms, work_seconds, lead_seconds, later_delay_seconds
):
    """Guards against calls accepted by a stopping sidecar that its end breaks off."""
    answers, ran, cut = calls_during_a_stop(
        4.4,
        work_seconds,
        deadline_ms,
        lead_seconds=lead_seconds,
        later_delay_seconds=later_delay_seconds,
    )
    assert not any(cut)
    assert [answer.status == 200 for answer in answers] == [count == 1 for count in ran]


def test_a_call_that_is_known_to_end_just_within_a_stop_is_answered():
    """Guards against a stopping sidecar that refuses all late calls."""
    answers, ran, _ = calls_during_a_stop(4.0, 1.2, LONG_DEADLINE_MS, learnt_runs=4)
    assert [answer.status for answer in answers] == [200] * 6
    assert ran == [1] * 6


@pytest.mark.parametrize(
    ("deadline_ms", "learnt_runs"), [(5500, 0), (LONG_DEADLINE_MS, 1), (LONG_DEADLINE_MS, 4)]
)
@pytest.mark.parametrize(
    ("sent_after", "work_seconds"), [(0.5, 2.5), (3.2, 1.7), (4.0, 1.0), (4.6, 0.1)]
)
def test_calls_that_fit_into_a_stop_are_answered(
    sent_after, work_seconds, deadline_ms, learnt_runs
):
    """Guards against a stopping sidecar that refuses calls which it has the time to finish."""
    answers, _, _ = calls_during_a_stop(sent_after, work_seconds, deadline_ms, learnt_runs)
    assert [answer.status for answer in answers] == [200] * 6


@pytest.mark.parametrize(("sent_after", "work_seconds"), [(3.3, 5.0), (5.0, 1.2), (5.5, 0.7)])
def test_calls_that_outlast_a_stop_are_refused_before_they_are_sent_on(sent_after, work_seconds):
    """Guards against calls that are cut although their run times show that they do not fit."""
    answers, ran, _ = calls_during_a_stop(sent_after, work_seconds, LONG_DEADLINE_MS, 2)
    assert [answer.status for answer in answers] == [NOT_RUN] * 6
    assert ran == [0] * 6
    until_end = GRACE_SECONDS - sent_after
    delays = [float(answer.headers["retry-after"]) for answer in answers]
    assert all(until_end < delay_seconds < until_end + 2.0 for delay_seconds in delays)


@pytest.mark.parametrize(("sent_after", "is_accepted"), [(2.9, True), (3.1, False), (4.0, False)])
def test_a_call_of_unknown_duration_is_accepted_by_its_objective_only_early_in_a_stop(
    sent_after, is_accepted
):
    """Guards against a guess where it may cut the call, and against refusals where it may not."""
    answers, ran, _ = calls_during_a_stop(sent_after, 1.0, LONG_DEADLINE_MS)
    assert [answer.status for answer in answers] == [200 if is_accepted else NOT_RUN] * 6
    assert ran == [int(is_accepted)] * 6


def test_requests_of_neighbours_that_do_not_know_of_a_stop_are_not_cut():
    """Guards against runs that a stopping sidecar accepts from others and cannot finish."""

    def script(mesh):
        entry, stopping, _ = mesh.machines
        learn(mesh, entry, 8, seconds=2.0)
        stop_without_control(mesh, stopping)
        sent = []
        for number in range(50):
            gevent.sleep(0.1)
            sent.append(Sent(mesh, entry, "/sign/", f"sent-{number}", method="POST"))
        return [request.status for request in sent], sum(request.was_cut() for request in sent)

    statuses, cut = play(script, ("s", "t", "t"))
    assert cut == 0
    assert statuses == [200] * 50


def test_a_machine_that_refused_while_it_stopped_is_used_again_without_control():
    """Guards against a neighbour that takes a restarted sidecar for a leaving one until told."""

    def script(mesh):
        entry, stopping, _ = mesh.machines
        learn(mesh, entry, 8, seconds=2.0)
        stop_without_control(mesh, stopping)
        for number in range(60):
            gevent.sleep(0.1)
            Sent(mesh, entry, "/sign/", f"during-{number}", method="POST")
        assert stopping.process.dead
        mesh.restart_sidecar(stopping)
        gevent.sleep(6.0)
        before = len(stopping.worker.state.runs)
        statuses = [
            Sent(mesh, entry, "/sign/", f"after-{number}", method="POST").status
            for number in range(8)
        ]
        return statuses, len(stopping.worker.state.runs) > before

    assert play(script, ("s", "t", "t")) == ([200] * 8, True)


def test_a_request_queued_at_a_stopping_machine_is_not_begun_too_late():
    """Guards against a run that begins after a wait and that the end of the process cuts."""

    def script(mesh):
        entry, stopping = mesh.machines
        learn(mesh, entry, 4, seconds=1.5)
        stop_without_control(mesh, stopping)
        gevent.sleep(1.9)
        sent = [Sent(mesh, entry, "/sign/", f"sent-{n}", method="POST") for n in range(6)]
        return [request.was_cut() for request in sent], [request.status for request in sent]

    cut, statuses = play(script, slots=1)
    assert not any(cut)
    assert 200 in statuses


def test_no_retry_begins_that_a_stop_would_cut():
    """Guards against a second attempt begun late in a stop: its run would be wasted."""

    def script(mesh):
        entry = mesh.machines[0]
        learn(mesh, entry, 4, "/back/", seconds=2.4)
        stop(mesh, entry)
        gevent.sleep(1.9)
        for machine in mesh.machines[1:]:
            machine.worker.state.lose_answers = 1
        request = Sent(mesh, entry, "/back/", "sent")
        return request.status, len(mesh.instances_that_ran("sent"))

    assert play(script, ("s", "t", "t")) == (502, 1)


def test_a_second_sigterm_does_not_shorten_a_stop():
    """Guards against a repeated signal that ends the process while requests run."""

    def script(mesh):
        front, back = mesh.machines
        back.worker.state.seconds = 2.0
        stop(mesh, front)
        request = Sent(mesh, front, "/back/", "sent")
        gevent.sleep(0.5)
        front.process.spawn(front.sidecar.stop)
        return request.status

    assert play(script) == 200


def test_the_time_of_a_streamed_response_is_learnt_where_it_enters_and_where_it_runs():
    """Guards against downloads whose time is unknown, so that a stop accepts and cuts them."""

    def script(mesh):
        entry, worker_side = mesh.machines
        worker_side.worker.state.body = bytes(400_000)
        assert Sent(mesh, entry, "/back/", "download").status == 200
        learnt = (
            entry.sidecar.dispatcher.run_times,
            worker_side.sidecar.gate.stop_admission.run_times,
        )
        return [times.longest(("back", "t")) is not None for times in learnt]

    assert play(script) == [True, True]


def delay_timers(mesh, process, seconds):
    """Make the tasks of a process late again and again, as on a busy machine."""

    def freeze():
        while not process.dead:
            process.freeze(seconds)
            gevent.sleep(1.7 * seconds)

    gevent.spawn(freeze)


@pytest.mark.parametrize("grace_seconds", [2.0, 6.0, 20.0])
@pytest.mark.parametrize("delay_seconds", [0.0, 0.05, 0.2])
def test_a_stop_ends_before_the_process_is_killed_though_its_timers_are_late(
    delay_seconds, grace_seconds
):
    """Guards against a stop that takes the time of its signal and of its timers for exact."""

    def script(mesh):
        front, back = mesh.machines
        front.sidecar.settings.stop_seconds = grace_seconds
        back.worker.state.seconds = min(4.0, 0.6 * grace_seconds)
        learn(mesh, front, 4, "/back/")
        front.worker.state.seconds = 2 * grace_seconds
        Sent(mesh, back, "/front/", "outlasts", int(3000 * grace_seconds))
        gevent.sleep(0.1)
        if delay_seconds:
            delay_timers(mesh, front.process, delay_seconds)
        signalled_at = mesh.world.loop.now()
        ended = []

        def stop_and_end():
            front.sidecar.stop()
            ended.append(mesh.world.loop.now() - signalled_at)
            gevent.spawn(front.process.kill)

        front.process.spawn(stop_and_end)
        calls = []
        for number in range(10):
            gevent.sleep(0.09 * grace_seconds)
            left_ms = int((signalled_at + grace_seconds - mesh.world.loop.now()) * 1000)
            calls.append(Sent(mesh, front, "/back/", f"outlasts.{number}", left_ms))
        gevent.sleep(signalled_at + grace_seconds - mesh.world.loop.now())
        return ended, [call.name for call in calls if call.was_cut()]

    ended, cut = play(script)
    assert len(ended) == 1
    assert ended[0] <= grace_seconds - planned_stop.EXIT_SECONDS / 2
    assert cut == []


def test_a_response_takes_longer_where_timers_are_late():
    """Guards against a deadline that is promised although its response comes after the end."""
    stop = planned_stop.PlannedStop(lambda: 100.0)
    stop.begin(ends_at=105.0)
    latest = 105.0 - planned_stop.RESPONSE_SECONDS
    assert stop.can_finish(latest, 10.0)
    assert stop.start_within(106.0, 1.0) == pytest.approx(latest - 101.0)
    stop.timer_delay.longest = 0.2
    assert stop.ends_at == pytest.approx(104.8)
    assert not stop.can_finish(latest, 10.0)
    assert not stop.can_finish(latest - 0.39, 10.0)
    assert stop.can_finish(latest - 0.41, 10.0)
    assert stop.start_within(106.0, 1.0) == pytest.approx(latest - 101.4)


def test_a_parent_whose_client_has_gone_does_not_prolong_a_stop():
    """Guards against a stop that waits for calls whose answers nobody can use."""

    def script(mesh):
        front, back = mesh.machines
        front.worker.state.seconds = 20.0
        parent = Sent(mesh, back, "/front/", "parent")
        gevent.sleep(0.1)
        stopping = stop(mesh, front)
        parent.task.kill()
        began_at = mesh.world.loop.now()
        stopping.join()
        return mesh.world.loop.now() - began_at

    assert play(script) < GRACE_SECONDS / 2


@pytest.mark.parametrize("seed", range(1, 7))
def test_no_run_is_cut_while_machines_of_a_tree_stop_one_after_another(seed):
    """Guards against cut calls of calls: machines of both services stop one after another."""

    def script(mesh):
        random = Random(seed)
        sent = []

        def call(run):
            if "." not in run.request and run.target.startswith(b"/front"):
                machine = mesh.machines[machine_of[run.request]]
                sent.append(Sent(mesh, machine, "/back/", f"{run.request}.1", 5000))
                return 200 if sent[-1].status == 200 else 500
            return 200

        machine_of = {}
        fronts, backs = mesh.machines[:2], mesh.machines[2:]
        for number, machine in enumerate(fronts):

            def work(run, number=number):
                machine_of[run.request] = number
                return call(run)

            machine.worker.state.work = work
            machine.worker.state.seconds = 0.3
        for machine in backs:
            machine.worker.state.seconds = 0.8
        stops = {random.randrange(20): machine for machine in (fronts[0], backs[0])}
        for number in range(80):
            if number in stops:
                stop(mesh, stops[number])
            sent.append(Sent(mesh, backs[1], "/front/", f"root-{number}", 5000))
            gevent.sleep(0.1)
        gevent.sleep(8.0)
        return [request.name for request in sent if request.was_cut()], len(sent)

    cut, count = play(script, ("s", "s", "t", "t"), seed=seed)
    assert cut == []
    assert count > 100
