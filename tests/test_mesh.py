"""Requests through sidecars, from what callers and workers see."""

from __future__ import annotations

import gevent
import pytest

from cranklane_lab.simulation.mesh import HOST, Mesh, route_table
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.raw_http import RawConnection, exchange, request_bytes
from cranklane_lab.standins.routed_worker import NAMES
from mesh_support import ROUTES, delay, each_worker, play, runs


def test_a_request_reaches_a_worker_with_its_target_and_body_unchanged():
    def script(mesh):
        target = "/read/a%2Fb//c?x=%20&y"
        answer = mesh.request(
            mesh.machines[2], target, "POST", b"body \x00", headers={"X-Odd": "Kept As Is"}
        )
        run = runs(mesh)[0]
        return answer, run

    answer, run = play(script)
    assert (answer.status, answer.body, answer.whole) == (200, b"answer", True)
    assert (run.method, run.target, run.body) == (b"POST", b"/read/a%2Fb//c?x=%20&y", b"body \x00")
    assert run.value(b"x-odd") == b"Kept As Is"
    assert run.value(NAMES.caller) == b"t"
    assert 4000 < int(run.value(NAMES.deadline)) <= 5000


def test_what_a_caller_says_of_its_own_service_is_replaced():
    def script(mesh):
        forged = {NAMES.caller.decode(): "t", NAMES.instance.decode(): "i-9"}
        mesh.request(mesh.machines[0], "/other/x", headers=forged)
        run = runs(mesh)[0]
        return [value for name, value in run.headers if name == NAMES.caller], run.value(
            NAMES.instance
        )

    assert play(script) == ([b"s"], b"i-2")


@pytest.mark.parametrize("length", [5, 70_000, 400_000])
def test_bodies_of_all_sizes_travel_whole_both_ways(length):
    def script(mesh):
        body = bytes(range(256)) * (length // 256 + 1)
        body = body[:length]
        each_worker(mesh, body=body[::-1])
        answer = mesh.request(mesh.machines[2], "/read/x", "POST", body)
        return runs(mesh)[0].body == body, answer.body == body[::-1], answer.whole

    assert play(script) == (True, True, True)


def test_a_chunked_body_arrives_whole():
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[2].host)
        connection = RawConnection(process, mesh.machines[2].callers)
        connection.send(
            b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nCranklane-Request-Id: c\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        gevent.sleep(0.1)
        connection.send(b"2\r\nde\r\n0\r\n\r\n")
        return connection.answer().status, runs(mesh)[0].body

    assert play(script) == (200, b"abcde")


def test_a_kept_connection_serves_many_requests_in_order():
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[0].host)
        connection = RawConnection(process, mesh.machines[0].callers)
        for number in range(5):
            headers = {"Host": HOST, NAMES.request.decode(): f"k{number}"}
            connection.send(request_bytes("GET", "/read/x", headers))
        return [connection.answer().headers[NAMES.request.decode().lower()] for _ in range(5)]

    assert play(script) == [f"k{number}" for number in range(5)]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /nowhere/ HTTP/1.1\r\nHost: shop.example\r\n\r\n", 404),
        (b"GET /read/x HTTP/1.1\r\nHost: elsewhere\r\n\r\n", 404),
        (b"GET /read/x HTTP/1.1\r\n\r\n", 400),
        (b"GET /read/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"no request at all\r\n\r\n", 400),
        (
            b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 9999999\r\n\r\n",
            413,
        ),
        (
            b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX: " + b"y" * 9000 + b"\r\n\r\n",
            431,
        ),
    ],
)
def test_requests_that_cannot_be_served_get_a_final_answer_and_run_nowhere(sent, status):
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[0].host)
        connection = RawConnection(process, mesh.machines[0].callers)
        connection.send(sent)
        return connection.answer().status, len(runs(mesh))

    assert play(script) == (status, 0)


def test_a_head_that_does_not_end_is_answered_408():
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[0].host)
        connection = RawConnection(process, mesh.machines[0].callers)
        connection.send(b"GET /read/x HTT")
        begun = mesh.world.loop.now()
        return connection.answer().status, round(mesh.world.loop.now() - begun)

    assert play(script) == (408, 3)


def test_without_a_route_table_the_answer_is_503_and_the_node_is_not_ready():
    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        machine = mesh.add_machine("s")
        gevent.sleep(2.0)
        return mesh.request(machine, "/read/x").status, machine.sidecar.is_ready()

    assert simulate(1, delay, scenario) == (503, False)


@pytest.mark.parametrize(
    "fault", ["lose_answers", "cut_answers", "garbage_answers", "unmarked_answers"]
)
def test_a_repeatable_request_survives_a_spoiled_answer(fault):
    def script(mesh):
        for machine in mesh.machines[:2]:
            setattr(machine.worker.state, fault, 1)
        mesh.machines[1].worker.state.__dict__[fault] = 0
        answers = [mesh.request(mesh.machines[2], "/read/x", name=f"r{n}") for n in range(4)]
        return [(answer.status, answer.body) for answer in answers]

    assert play(script) == [(200, b"answer")] * 4


@pytest.mark.parametrize(
    "fault", ["lose_answers", "cut_answers", "garbage_answers", "unmarked_answers"]
)
def test_an_unrepeatable_request_is_never_sent_twice_nor_called_not_run(fault):
    def script(mesh):
        each_worker(mesh, **{fault: 5})
        answers = [
            mesh.request(mesh.machines[2], "/sign/x", "POST", b"b", name=f"r{n}") for n in range(4)
        ]
        times = [len(mesh.instances_that_ran(f"r{n}")) for n in range(4)]
        return {answer.status for answer in answers}, times

    assert play(script) == ({502}, [1, 1, 1, 1])


def test_surplus_and_late_answers_never_reach_another_caller():
    def script(mesh):
        each_worker(mesh, surplus_answers=3, late_answers=3)
        answers = [mesh.request(mesh.machines[2], "/sign/x", "POST", b"b") for _ in range(12)]
        return {(answer.status, answer.body) for answer in answers}

    assert play(script) == {(200, b"answer")}


def test_an_answer_without_length_is_passed_on_with_one():
    def script(mesh):
        each_worker(mesh, unframed_answers=1)
        answer = mesh.request(mesh.machines[2], "/read/x")
        return answer.body, answer.headers.get("content-length")

    assert play(script) == (b"answer", "6")


def test_a_large_answer_that_is_cut_does_not_look_whole():
    def script(mesh):
        each_worker(mesh, body=b"z" * 300_000, cut_answers=3)
        answer = mesh.request(mesh.machines[2], "/read/x")
        return answer.whole

    assert play(script) is False


def test_a_caller_that_leaves_ends_the_work_within_half_a_second():
    def script(mesh):
        each_worker(mesh, seconds=4.0)
        process = mesh.client_process("client", mesh.machines[2].host)
        connection = RawConnection(process, mesh.machines[2].callers)
        headers = {"Host": HOST, NAMES.request.decode(): "gone"}
        connection.send(request_bytes("GET", "/read/x", headers))
        gevent.sleep(0.5)
        connection.close()
        gevent.sleep(0.5)
        return [run.cancelled for run in runs(mesh)]

    assert play(script) == [True]


def test_a_route_s_time_limit_ends_with_a_final_answer():
    def script(mesh):
        each_worker(mesh, seconds=9.0)
        begun = mesh.world.loop.now()
        answer = mesh.request(mesh.machines[0], "/other/x")
        return answer.status, round(mesh.world.loop.now() - begun, 1)

    assert play(script) == (504, 0.7)


def test_a_planned_stop_cuts_nothing_and_is_out_of_use_at_once():
    def script(mesh):
        each_worker(mesh, seconds=3.0)
        statuses = []

        def ask(machine):
            answer = mesh.request(machine, "/read/x")
            statuses.append(answer.status if answer is not None else 0)

        def stop():
            finished = mesh.machines[0].sidecar.stop()
            gevent.spawn(mesh.machines[0].process.kill)
            return finished

        asking = [gevent.spawn(ask, machine) for machine in mesh.machines for _ in range(2)]
        gevent.sleep(0.3)
        stopping = mesh.machines[0].process.spawn(stop)
        gevent.sleep(0.1)
        ready = mesh.machines[0].sidecar.is_ready()
        asking += [gevent.spawn(ask, mesh.machines[0]) for _ in range(2)]
        gevent.joinall(asking)
        return ready, stopping.get(), set(statuses)

    assert play(script, slots=8) == (False, True, {200})


def test_a_planned_stop_cuts_nothing_though_callers_go_on_sending():
    """As where most machines of a zone stop at once, and callers have nowhere else to go."""

    def script(mesh):
        each_worker(mesh, seconds=0.9)
        machine = mesh.machines[0]
        answers = {}

        def ask(name):
            answers[name] = mesh.request(machine, "/read/x", name=name)

        def stop():
            machine.sidecar.stop()
            gevent.spawn(machine.process.kill)

        machine.process.spawn(stop)
        asking = []
        for number in range(70):
            asking.append(gevent.spawn(ask, f"sent-{number}"))
            gevent.sleep(0.1)
        gevent.joinall(asking)
        ran = {name for name in answers if mesh.instances_that_ran(name)}
        cut = sorted(name for name in ran if answers[name] is None)
        return len(ran) > 10, cut

    assert play(script, slots=16) == (True, [])


def test_a_split_keeps_its_shares():
    def script(mesh):
        split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
        routes = {**ROUTES, "split": {"prefix": "/split/", "split": split}}
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        for number in range(200):
            mesh.request(mesh.machines[number % 3], "/split/x")
        return len(mesh.machines[2].worker.state.runs)

    assert 17 <= play(script) <= 23


def test_an_answer_goes_no_further_than_its_route_s_time():
    def script(mesh):
        machine = mesh.machines[2]
        process = mesh.client_process("client", machine.host)
        each_worker(mesh, body=b"z" * 3_000_000)
        connection = RawConnection(process, machine.callers)
        headers = {"Host": HOST, NAMES.request.decode(): "slow"}
        connection.send(request_bytes("GET", "/other/x", headers))
        gevent.sleep(1.5)
        answer = connection.answer()
        return answer.whole, len(answer.body) < 3_000_000

    assert play(script) == (False, True)


def test_the_longest_prefix_goes_first():
    def script(mesh):
        routes = {**ROUTES, "deep": {"prefix": "/other/deep/", "service": "s"}}
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        for path in ("/other/deep/x/y", "/other/deepx", "/other/deep"):
            mesh.request(mesh.machines[2], path)
        return [len(machine.worker.state.runs) for machine in mesh.machines]

    ran = play(script)
    assert (ran[0] + ran[1], ran[2]) == (1, 2)


def test_counters_and_readiness_are_served_at_their_addresses():
    def script(mesh):
        machine = mesh.machines[0]
        mesh.request(machine, "/read/x")
        process = mesh.client_process("scraper", machine.host)
        ready = exchange(process, machine.readiness, "GET", "/v1/ready", {})
        text = exchange(process, (machine.host, 8003), "GET", "/metrics", {}).body.decode()
        other = exchange(process, (machine.host, 8003), "GET", "/elsewhere", {}).status
        return ready.status, "cranklane_requests_total{" in text, other

    assert play(script) == (200, True, 404)
