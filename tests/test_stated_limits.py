"""A worker that states a limit on its requests per second gets no more than it allows."""

from __future__ import annotations

import gevent
import pytest

from cranklane_lab.standins.route_tables import route_table
from mesh_support import ROUTES, play

FOUR_OF_ONE_SERVICE = ("s",) * 4 + ("t",)
REQUESTS_PER_SECOND = 150


def send_load(mesh, seconds, answers, path="/read/x", per_second=REQUESTS_PER_SECOND):
    """Send requests from all machines in turn; collect their answers."""

    def send(number):
        machine = mesh.machines[number % len(mesh.machines)]
        answers.append(mesh.request(machine, path, name=f"n{mesh.world.loop.now():.4f}-{number}"))

    for number in range(int(seconds * per_second)):
        gevent.spawn(send, number)
        gevent.sleep(1 / per_second)


def statuses(answers):
    """Return the fraction of answers with status 200."""
    return sum(answer is not None and answer.status == 200 for answer in answers) / len(answers)


def state_limit(mesh, text, numbers=(0,)):
    """Set the limit that some workers state; empty for none."""
    for number in numbers:
        mesh.machines[number].worker.state.rate_limit = text


def arrivals(mesh, number=0):
    """Return the number of requests that a worker has received."""
    return mesh.machines[number].worker.state.arrivals


def play_mesh(script, seed=1):
    return play(script, seed=seed, services=FOUR_OF_ONE_SERVICE, slots=20)


def test_a_worker_gets_no_more_requests_than_its_stated_limit():
    def script(mesh):
        rules = mesh.observe_notices()
        answers = []
        send_load(mesh, 2.0, [])
        state_limit(mesh, b"4")
        send_load(mesh, 10.0, answers)
        gevent.sleep(1.0)
        return rules.violations(), statuses(answers)

    violations, served = play_mesh(script)
    assert violations == []
    assert served > 0.999


def test_few_requests_are_refused_by_the_sidecar_of_a_limited_worker():
    def script(mesh):
        state_limit(mesh, b"8")
        send_load(mesh, 2.0, [])
        before = gate_refusals(mesh), arrivals(mesh)
        send_load(mesh, 6.0, [])
        return gate_refusals(mesh) - before[0], arrivals(mesh) - before[1]

    refused, arrived = play_mesh(script)
    assert refused < 0.05 * 6 * REQUESTS_PER_SECOND
    assert 0.5 * 6 * 8 < arrived < 1.1 * 6 * 8


def gate_refusals(mesh):
    """Return the requests that sidecars have refused by the limits of their workers."""
    name = 'cranklane_admissions_total{reason="worker_limit"}'
    return sum(metric(mesh, number, name) for number in range(len(mesh.machines)))


def metric(mesh, number, name):
    """Return the value of a metric of a sidecar; 0 if it is missing."""
    lines = mesh.machines[number].sidecar.metrics.text().decode().splitlines()
    return sum(float(line.rpartition(" ")[2]) for line in lines if line.startswith(name))


def test_requests_go_to_other_workers_instead_of_waiting_for_a_limited_one():
    def script(mesh):
        state_limit(mesh, b"8")
        send_load(mesh, 2.0, [])
        waits = "cranklane_queue_seconds_count"
        before = metric(mesh, 0, waits), arrivals(mesh)
        send_load(mesh, 6.0, [])
        return metric(mesh, 0, waits) - before[0], arrivals(mesh) - before[1]

    waited, arrived = play_mesh(script)
    assert waited < 0.3 * arrived


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_limit_holds_while_the_sidecar_beside_the_worker_restarts(seed):
    def script(mesh):
        rules = mesh.observe_notices()
        state_limit(mesh, b"4")
        for machine in mesh.machines:
            machine.worker.state.seconds = 0.5
        load = gevent.spawn(send_load, mesh, 14.0, [])
        gevent.sleep(3.0)
        for _ in range(4):
            gevent.sleep(1.0 + mesh.world.random.random())
            mesh.restart_sidecar(mesh.machines[0])
        load.join()
        gevent.sleep(1.0)
        return rules.violations()

    assert play_mesh(script, seed) == []


def test_a_restarted_sidecar_learns_the_limit_from_the_health_check():
    def script(mesh):
        machine = mesh.machines[4]
        state_limit(mesh, b"7", (4,))
        machine.worker.state.states_in_health = True
        mesh.restart_sidecar(machine)
        gevent.sleep(0.3)
        return machine.sidecar.gate.notices.limit.rate, arrivals(mesh, 4)

    assert play_mesh(script) == (7.0, 0)


def test_the_limit_holds_after_a_pause_of_the_sidecar_beside_the_worker():
    def script(mesh):
        rules = mesh.observe_notices()
        state_limit(mesh, b"6")
        load = gevent.spawn(send_load, mesh, 14.0, [])
        for _ in range(3):
            gevent.sleep(3.0)
            mesh.machines[0].process.freeze(1.5)
        load.join()
        gevent.sleep(2.0)
        return rules.violations()

    assert play_mesh(script) == []


def test_the_limit_holds_while_machines_are_cut_off_and_return():
    def script(mesh):
        rules = mesh.observe_notices()
        state_limit(mesh, b"6")
        network = mesh.world.network
        load = gevent.spawn(send_load, mesh, 14.0, [])
        limited = mesh.machines[0].name
        for peer in mesh.machines[1:4]:
            gevent.sleep(1.5)
            network.cut(limited, peer.name)
            network.cut(peer.name, limited)
            gevent.sleep(1.5)
            network.heal(limited, peer.name)
            network.heal(peer.name, limited)
        load.join()
        gevent.sleep(2.0)
        return rules.violations()

    assert play_mesh(script) == []


def test_limits_of_all_workers_are_used_and_refusals_come_early_with_a_delay():
    def script(mesh):
        rules = mesh.observe_notices()
        state_limit(mesh, b"8", range(4))
        send_load(mesh, 4.0, [])
        answers = []
        before = sum(arrivals(mesh, number) for number in range(4))
        refusals_before = gate_refusals(mesh)
        send_load(mesh, 8.0, answers)
        refusals = gate_refusals(mesh) - refusals_before
        used = sum(arrivals(mesh, number) for number in range(4)) - before
        gevent.sleep(2.0)
        delays = [
            float(refused.headers["retry-after"]) for refused in answers if refused.status == 503
        ]
        found = {answer.status for answer in answers}
        reasons = 'cranklane_requests_total{outcome="not_run",reason="queue_full"'
        assert sum(metric(mesh, number, reasons) for number in range(5)) == 0
        return rules.violations(), used / (4 * 8 * 8), refusals / len(answers), found, delays

    violations, used, refusals_per_request, found, delays = play_mesh(script)
    assert violations == []
    assert used > 0.85
    assert refusals_per_request < 0.3
    assert found == {200, 503}
    assert min(delays) >= 0.05
    assert max(delays) <= 1.5


def test_a_limited_service_serves_its_most_important_requests_first():
    def script(mesh):
        routes = {
            **ROUTES,
            "first": {"prefix": "/first/", "service": "s", "priority": 0},
            "least": {"prefix": "/least/", "service": "s", "priority": 2},
        }
        assert mesh.apply_route_table(route_table(5, 1, routes, ("s", "t"))).status == 200
        state_limit(mesh, b"8", range(4))
        send_load(mesh, 3.0, [], "/least/x")
        first, least = [], []
        tasks = [
            gevent.spawn(send_load, mesh, 8.0, first, "/first/x", 15),
            gevent.spawn(send_load, mesh, 8.0, least, "/least/x", 100),
        ]
        gevent.joinall(tasks)
        gevent.sleep(2.0)
        return statuses(first), statuses(least)

    first, least = play_mesh(script)
    assert first > 0.95
    assert 0.05 < least < 0.25


def test_a_worker_whose_limit_has_ended_is_used_again():
    def script(mesh):
        send_load(mesh, 2.0, [])
        usual = arrivals(mesh) / 2.0
        state_limit(mesh, b"1")
        send_load(mesh, 5.0, [])
        state_limit(mesh, b"")
        send_load(mesh, 2.0, [])
        before = arrivals(mesh)
        send_load(mesh, 2.0, [])
        return (arrivals(mesh) - before) / 2.0 / usual

    assert play_mesh(script) > 0.7


def test_a_limit_of_zero_leaves_requests_that_show_its_end():
    def script(mesh):
        rules = mesh.observe_notices()
        state_limit(mesh, b"0")
        send_load(mesh, 3.0, [])
        before = arrivals(mesh)
        send_load(mesh, 8.0, [])
        during = arrivals(mesh) - before
        state_limit(mesh, b"")
        send_load(mesh, 4.0, [])
        return rules.violations(), during, arrivals(mesh) - before - during

    violations, during, after = play_mesh(script)
    assert violations == []
    assert 0 < during <= 5
    assert after > 20


def test_a_changed_limit_holds():
    def script(mesh):
        rules = mesh.observe_notices()
        for text in (b"20", b"3", b"12.5", b"0.3", b"40", b"5"):
            state_limit(mesh, text, (0, 2))
            send_load(mesh, 5.0, [])
        return rules.violations()

    assert play_mesh(script) == []


def test_the_only_worker_of_a_service_serves_all_that_its_limit_allows():
    def script(mesh):
        state_limit(mesh, b"12", (4,))
        answers = []
        send_load(mesh, 10.0, answers, "/other/x", 10)
        gevent.sleep(1.0)
        return statuses(answers)

    assert play_mesh(script) > 0.95


def test_a_start_of_the_worker_under_its_id_has_no_limit():
    def script(mesh):
        state_limit(mesh, b"1")
        send_load(mesh, 3.0, [])
        machine = mesh.machines[0]
        machine.worker.end()
        gevent.sleep(0.5)
        state_limit(mesh, b"")
        mesh.restart_worker(machine, same_id=True)
        gevent.sleep(1.0)
        before = arrivals(mesh)
        send_load(mesh, 2.0, [])
        return arrivals(mesh) - before

    assert play_mesh(script) > 30


@pytest.mark.parametrize(("limit", "is_at_fault"), [(b"", True), (b"8", False)])
def test_a_worker_that_refuses_requests_is_at_fault_unless_it_states_a_limit(limit, is_at_fault):
    def script(mesh):
        state_limit(mesh, limit)
        mesh.machines[0].worker.state.refuse = 10_000
        send_load(mesh, 1.0, [])
        return mesh.machines[0].sidecar.condition.now().faults > 0.1

    assert play_mesh(script) is is_at_fault
