"""Refusals and retries with saturated or failing workers."""

from __future__ import annotations

import gevent

from cranklane_lab.standins.route_tables import route_table
from mesh_support import ROUTES, configure_workers, play


def test_retries_after_refusals_stay_within_the_budget():
    def script(mesh):
        configure_workers(mesh, refuse=1000)
        answers = [mesh.request(mesh.machines[2], "/read/x") for _ in range(60)]
        arrivals = sum(machine.worker.state.arrivals for machine in mesh.machines)
        assert {answer.status for answer in answers} == {503}
        assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
        return arrivals - 60

    assert play(script) <= 0.2 * 60 + 4


def test_a_saturated_worker_stays_within_its_slots_and_refusals_come_early():
    def script(mesh):
        configure_workers(mesh, seconds=0.4)
        answers = []

        def send_request():
            started_at = mesh.world.loop.now()
            answer = mesh.request(mesh.machines[0], "/other/x", deadline_ms=5000)
            answers.append((answer.status, mesh.world.loop.now() - started_at))

        gevent.joinall([gevent.spawn(send_request) for _ in range(30)])
        refusal_seconds = [seconds for status, seconds in answers if status == 503]
        served = sum(status == 200 for status, _ in answers)
        return mesh.machines[2].worker.state.most_running, served >= 4, max(refusal_seconds) <= 0.51

    assert play(script) == (4, True, True)


def test_a_failed_repeatable_request_is_retried_within_the_budget():
    def script(mesh):
        mesh.machines[0].worker.state.fail = 2
        answers = [mesh.request(mesh.machines[2], "/read/x").status for _ in range(60)]
        # A failed worker gets fewer requests, so its second failure may not occur.
        failures = 2 - mesh.machines[0].worker.state.fail
        arrivals = sum(machine.worker.state.arrivals for machine in mesh.machines)
        mesh.machines[0].worker.state.fail = 2
        for _ in range(30):
            mesh.request(mesh.machines[2], "/sign/x", "POST", b"b")
        unsafe_arrivals = sum(machine.worker.state.arrivals for machine in mesh.machines) - arrivals
        return set(answers), arrivals - 60 == failures > 0, unsafe_arrivals

    assert play(script) == ({200}, True, 30)


def test_failing_requests_of_the_lowest_priority_are_refused_early():
    def script(mesh):
        routes = {**ROUTES, "least": {"prefix": "/least/", "service": "t", "priority": 2}}
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        mesh.machines[2].worker.state.status = 500
        mesh.machines[2].worker.state.seconds = 0.0
        for number in range(300):
            mesh.request(mesh.machines[number % 3], "/least/x")
            gevent.sleep(0.03)
        least_answers = [
            mesh.request(mesh.machines[number % 3], "/least/x") for number in range(20)
        ]
        other_answers = [mesh.request(mesh.machines[0], "/other/x") for _ in range(20)]
        early_refusals = [answer for answer in least_answers if answer.status == 503]
        assert all("retry-after" in answer.headers for answer in early_refusals)
        return len(early_refusals) > 10, {answer.status for answer in other_answers}

    assert play(script) == (True, {500})


def test_under_overload_few_requests_are_sent_to_a_gate_that_refuses_them():
    def script(mesh):
        configure_workers(mesh, seconds=0.5)
        gate_request_ids = []
        for machine in mesh.machines:
            original = machine.sidecar.gate.run

            def run(attempt, on_admitted=None, original=original):
                gate_request_ids.append(attempt.request.request_id)
                return original(attempt, on_admitted)

            machine.sidecar.gate.run = run
            machine.sidecar.peer_server._gate.run = run
        answers = []

        def send_request():
            answers.append(mesh.request(mesh.machines[2], "/read/x").status)

        tasks = []
        for _ in range(1000):
            tasks.append(gevent.spawn(send_request))
            gevent.sleep(0.001)
        gevent.joinall(tasks)
        return len(gate_request_ids) < 700, answers.count(200) >= 16, set(answers)

    assert play(script) == (True, True, {200, 503})
