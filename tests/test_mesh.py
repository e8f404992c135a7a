"""Requests and responses through sidecars, as seen by callers and workers."""

from __future__ import annotations

import gevent
import pytest

from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.raw_http import RawConnection, exchange, request_bytes
from cranklane_lab.standins.route_tables import HOST, route_table
from cranklane_lab.standins.routed_answers import NAMES
from mesh_support import ROUTES, configure_workers, delay, play, runs


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


def test_forged_identity_headers_of_a_caller_are_replaced():
    def script(mesh):
        forged = {NAMES.caller.decode(): "t", NAMES.instance.decode(): "i-9"}
        mesh.request(mesh.machines[0], "/other/x", headers=forged)
        run = runs(mesh)[0]
        return [value for name, value in run.headers if name == NAMES.caller], run.value(
            NAMES.instance
        )

    assert play(script) == ([b"s"], b"i-2")


@pytest.mark.parametrize("length", [5, 70_000, 400_000])
def test_request_and_answer_bodies_of_all_sizes_arrive_intact(length):
    def script(mesh):
        body = bytes(range(256)) * (length // 256 + 1)
        body = body[:length]
        configure_workers(mesh, body=body[::-1])
        answer = mesh.request(mesh.machines[2], "/read/x", "POST", body)
        return runs(mesh)[0].body == body, answer.body == body[::-1], answer.whole

    assert play(script) == (True, True, True)


def test_a_chunked_request_body_arrives_intact():
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


def test_pipelined_requests_are_answered_in_order():
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[0].host)
        connection = RawConnection(process, mesh.machines[0].callers)
        for number in range(5):
            headers = {"Host": HOST, NAMES.request.decode(): f"k{number}"}
            connection.send(request_bytes("GET", "/read/x", headers))
        return [connection.answer().headers[NAMES.request.decode().lower()] for _ in range(5)]

    assert play(script) == [f"k{number}" for number in range(5)]


@pytest.mark.parametrize(
    ("raw_request", "status"),
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
def test_invalid_requests_get_a_final_answer_and_reach_no_worker(raw_request, status):
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[0].host)
        connection = RawConnection(process, mesh.machines[0].callers)
        connection.send(raw_request)
        return connection.answer().status, len(runs(mesh))

    assert play(script) == (status, 0)


def test_an_incomplete_request_head_times_out_with_408():
    def script(mesh):
        process = mesh.client_process("client", mesh.machines[0].host)
        connection = RawConnection(process, mesh.machines[0].callers)
        connection.send(b"GET /read/x HTT")
        started_at = mesh.world.loop.now()
        return connection.answer().status, round(mesh.world.loop.now() - started_at)

    assert play(script) == (408, 3)


def test_a_sidecar_without_a_route_table_answers_503_and_is_not_ready():
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
def test_a_repeatable_request_is_retried_after_a_lost_or_invalid_answer(fault):
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
def test_an_unsafe_request_gets_502_and_no_retry_after_a_lost_or_invalid_answer(fault):
    def script(mesh):
        configure_workers(mesh, **{fault: 5})
        answers = [
            mesh.request(mesh.machines[2], "/sign/x", "POST", b"b", name=f"r{n}") for n in range(4)
        ]
        run_counts = [len(mesh.instances_that_ran(f"r{n}")) for n in range(4)]
        return {answer.status for answer in answers}, run_counts

    assert play(script) == ({502}, [1, 1, 1, 1])


def test_surplus_and_late_answers_never_reach_another_caller():
    def script(mesh):
        configure_workers(mesh, surplus_answers=3, late_answers=3)
        answers = [mesh.request(mesh.machines[2], "/sign/x", "POST", b"b") for _ in range(12)]
        return {(answer.status, answer.body) for answer in answers}

    assert play(script) == {(200, b"answer")}


def test_an_answer_without_content_length_is_forwarded_with_one():
    def script(mesh):
        configure_workers(mesh, unframed_answers=1)
        answer = mesh.request(mesh.machines[2], "/read/x")
        return answer.body, answer.headers.get("content-length")

    assert play(script) == (b"answer", "6")


def test_a_truncated_large_answer_does_not_appear_complete():
    def script(mesh):
        configure_workers(mesh, body=b"z" * 300_000, cut_answers=3)
        answer = mesh.request(mesh.machines[2], "/read/x")
        return answer.whole

    assert play(script) is False


def test_a_caller_disconnect_cancels_the_run_within_half_a_second():
    def script(mesh):
        configure_workers(mesh, seconds=4.0)
        process = mesh.client_process("client", mesh.machines[2].host)
        connection = RawConnection(process, mesh.machines[2].callers)
        headers = {"Host": HOST, NAMES.request.decode(): "gone"}
        connection.send(request_bytes("GET", "/read/x", headers))
        gevent.sleep(0.5)
        connection.close()
        gevent.sleep(0.5)
        return [run.cancelled for run in runs(mesh)]

    assert [play(script, seed) for seed in range(1, 11)] == [[True]] * 10


def test_a_route_timeout_is_answered_504():
    def script(mesh):
        configure_workers(mesh, seconds=9.0)
        started_at = mesh.world.loop.now()
        answer = mesh.request(mesh.machines[0], "/other/x")
        return answer.status, round(mesh.world.loop.now() - started_at, 1)

    assert play(script) == (504, 0.7)


def test_a_drain_completes_requests_in_flight_and_ends_readiness_at_once():
    def script(mesh):
        configure_workers(mesh, seconds=3.0)
        statuses = []

        def send_request(machine):
            answer = mesh.request(machine, "/read/x")
            statuses.append(answer.status if answer is not None else 0)

        def drain():
            drained = mesh.machines[0].sidecar.stop()
            gevent.spawn(mesh.machines[0].process.kill)
            return drained

        requests = [
            gevent.spawn(send_request, machine) for machine in mesh.machines for _ in range(2)
        ]
        gevent.sleep(0.3)
        drain_task = mesh.machines[0].process.spawn(drain)
        gevent.sleep(0.1)
        ready = mesh.machines[0].sidecar.is_ready()
        requests += [gevent.spawn(send_request, mesh.machines[0]) for _ in range(2)]
        gevent.joinall(requests)
        return ready, drain_task.get(), set(statuses)

    assert play(script, slots=8) == (False, True, {200})


def test_a_drain_completes_started_requests_while_callers_keep_sending():
    """Guards against lost requests while most machines of a zone drain at once."""

    def script(mesh):
        configure_workers(mesh, seconds=0.9)
        machine = mesh.machines[0]
        answers = {}

        def send_request(name):
            answers[name] = mesh.request(machine, "/read/x", name=name)

        def drain():
            machine.sidecar.stop()
            gevent.spawn(machine.process.kill)

        machine.process.spawn(drain)
        requests = []
        for number in range(70):
            requests.append(gevent.spawn(send_request, f"sent-{number}"))
            gevent.sleep(0.1)
        gevent.joinall(requests)
        started = {name for name in answers if mesh.instances_that_ran(name)}
        unanswered = sorted(name for name in started if answers[name] is None)
        return len(started) > 10, unanswered

    assert play(script, slots=16) == (True, [])


def test_a_split_route_distributes_requests_by_weight():
    def script(mesh):
        split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
        routes = {**ROUTES, "split": {"prefix": "/split/", "split": split}}
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        for number in range(200):
            mesh.request(mesh.machines[number % 3], "/split/x")
        return len(mesh.machines[2].worker.state.runs)

    assert 17 <= play(script) <= 23


def test_an_answer_still_in_transfer_at_the_route_timeout_is_cut_off():
    def script(mesh):
        machine = mesh.machines[2]
        process = mesh.client_process("client", machine.host)
        configure_workers(mesh, body=b"z" * 3_000_000)
        connection = RawConnection(process, machine.callers)
        headers = {"Host": HOST, NAMES.request.decode(): "slow"}
        connection.send(request_bytes("GET", "/other/x", headers))
        gevent.sleep(1.5)
        answer = connection.answer()
        return answer.whole, len(answer.body) < 3_000_000

    assert play(script) == (False, True)


def test_the_route_with_the_longest_matching_prefix_is_chosen():
    def script(mesh):
        routes = {**ROUTES, "deep": {"prefix": "/other/deep/", "service": "s"}}
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        for path in ("/other/deep/x/y", "/other/deepx", "/other/deep"):
            mesh.request(mesh.machines[2], path)
        return [len(machine.worker.state.runs) for machine in mesh.machines]

    run_counts = play(script)
    assert (run_counts[0] + run_counts[1], run_counts[2]) == (1, 2)


def test_metrics_and_readiness_are_served_at_their_addresses():
    def script(mesh):
        machine = mesh.machines[0]
        mesh.request(machine, "/read/x")
        process = mesh.client_process("scraper", machine.host)
        readiness = exchange(process, machine.readiness, "GET", "/v1/ready", {})
        metrics = exchange(process, (machine.host, 8003), "GET", "/metrics", {}).body.decode()
        unknown_path = exchange(process, (machine.host, 8003), "GET", "/elsewhere", {}).status
        return readiness.status, "cranklane_requests_total{" in metrics, unknown_path

    assert play(script) == (200, True, 404)
