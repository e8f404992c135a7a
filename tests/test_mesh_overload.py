"""Full and failing workers: what is refused, and what is sent a second time."""

from __future__ import annotations

import gevent

from cranklane_lab.simulation.mesh import route_table
from mesh_support import ROUTES, each_worker, play


def test_requests_sent_to_a_second_worker_stay_within_the_budget():
    def script(mesh):
        each_worker(mesh, refuse=1000)
        answers = [mesh.request(mesh.machines[2], "/read/x") for _ in range(60)]
        arrivals = sum(machine.worker.state.arrivals for machine in mesh.machines)
        assert {answer.status for answer in answers} == {503}
        assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
        return arrivals - 60

    assert play(script) <= 0.2 * 60 + 4


def test_a_full_worker_is_never_given_more_than_its_slots_and_refusals_come_early():
    def script(mesh):
        each_worker(mesh, seconds=0.4)
        answers = []

        def ask():
            begun = mesh.world.loop.now()
            answer = mesh.request(mesh.machines[0], "/other/x", deadline_ms=5000)
            answers.append((answer.status, mesh.world.loop.now() - begun))

        gevent.joinall([gevent.spawn(ask) for _ in range(30)])
        refused = [seconds for status, seconds in answers if status == 503]
        served = sum(status == 200 for status, _ in answers)
        return mesh.machines[2].worker.state.most_running, served >= 4, max(refused) <= 0.51

    assert play(script) == (4, True, True)


def test_a_failed_run_of_a_repeatable_request_is_tried_once_more_within_the_budget():
    def script(mesh):
        mesh.machines[0].worker.state.fail = 2
        answers = [mesh.request(mesh.machines[2], "/read/x").status for _ in range(60)]
        # A worker that has failed gets less, so the second failure may still be to come.
        failures = 2 - mesh.machines[0].worker.state.fail
        arrivals = sum(machine.worker.state.arrivals for machine in mesh.machines)
        mesh.machines[0].worker.state.fail = 2
        for _ in range(30):
            mesh.request(mesh.machines[2], "/sign/x", "POST", b"b")
        unsafe = sum(machine.worker.state.arrivals for machine in mesh.machines) - arrivals
        return set(answers), arrivals - 60 == failures > 0, unsafe

    assert play(script) == ({200}, True, 30)


def test_requests_whose_runs_fail_are_refused_early_the_least_important_first():
    def script(mesh):
        routes = {**ROUTES, "least": {"prefix": "/least/", "service": "t", "priority": 2}}
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        mesh.machines[2].worker.state.status = 500
        mesh.machines[2].worker.state.seconds = 0.0
        for number in range(300):
            mesh.request(mesh.machines[number % 3], "/least/x")
            gevent.sleep(0.03)
        refused = [mesh.request(mesh.machines[number % 3], "/least/x") for number in range(20)]
        passed = [mesh.request(mesh.machines[0], "/other/x") for _ in range(20)]
        early = [answer for answer in refused if answer.status == 503]
        assert all("retry-after" in answer.headers for answer in early)
        return len(early) > 10, {answer.status for answer in passed}

    assert play(script) == (True, {500})


def test_under_overload_few_requests_are_sent_only_to_be_refused():
    def script(mesh):
        each_worker(mesh, seconds=0.5)
        asked = []
        for machine in mesh.machines:
            original = machine.sidecar.gate.run

            def run(attempt, on_admitted=None, original=original):
                asked.append(attempt.request.request_id)
                return original(attempt, on_admitted)

            machine.sidecar.gate.run = run
            machine.sidecar.peer_server._gate.run = run
        answers = []

        def ask():
            answers.append(mesh.request(mesh.machines[2], "/read/x").status)

        tasks = []
        for _ in range(1000):
            tasks.append(gevent.spawn(ask))
            gevent.sleep(0.001)
        gevent.joinall(tasks)
        return len(asked) < 700, answers.count(200) >= 16, set(answers)

    assert play(script) == (True, True, {200, 503})
