"""Formation and repair of a group of controllers, on a virtual clock."""

from __future__ import annotations

import json

import gevent
import pytest

from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table

ROUTES = {"read": {"prefix": "/read/", "service": "s"}}


def delay(_source, _target):
    return 0.0005


def table(version, base, routes=ROUTES):
    return route_table(version, base, routes, ("s",))


def play(script, controllers=5, tolerated=2, seed=1):
    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(controllers, tolerated)
        assert mesh.wait_for(lambda: mesh.voters() == controllers, 9), mesh.voters()
        result = script(mesh)
        assert not world.loop.task_errors
        return result

    return simulate(seed, delay, scenario)


def put(mesh, version, base):
    """Send a table until the response has a status below 500; return the status."""
    for _ in range(60):
        answer = mesh.apply_route_table(table(version, base))
        if answer is not None and answer.status < 500:
            return answer.status
        gevent.sleep(0.2)
    return 0


def read_version(mesh, seconds=20):
    def read():
        answer = mesh.read_route_table()
        return answer is not None and answer.status == 200

    assert mesh.wait_for(read, seconds)
    return json.loads(mesh.read_route_table().body)["version"]


@pytest.mark.parametrize("seed", range(1, 6))
def test_five_controllers_form_one_group(seed):
    def script(mesh):
        leaders = [machine.controller.replica.leader for machine in mesh.controllers]
        return len(set(leaders)), put(mesh, 1, 0)

    assert play(script, seed=seed) == (1, 200)


def test_a_repeated_table_is_accepted_again_and_a_stale_base_is_refused():
    def script(mesh):
        statuses = [put(mesh, 3, 0), put(mesh, 3, 0), put(mesh, 9, 3), put(mesh, 3, 0)]
        statuses += [put(mesh, 10, 3), put(mesh, 9, 9), put(mesh, 8, 9)]
        return statuses, read_version(mesh)

    assert play(script) == ([200, 200, 200, 200, 412, 400, 400], 9)


def test_one_of_two_concurrent_tables_is_accepted():
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        statuses = []

        def send(version):
            statuses.append(mesh.apply_route_table(table(version, 1)).status)

        gevent.joinall([gevent.spawn(send, version) for version in (2, 3)])
        return sorted(statuses)

    assert play(script) == [200, 412]


@pytest.mark.parametrize(
    "change",
    [
        {"routes": {"r": {"prefix": "/r/", "service": "unknown"}}},
        {"routes": {"r": {"prefix": "/r/", "service": "s", "host": ""}}},
        {"routes": {"r": {"prefix": "/r/", "service": "s", "max_attempts": 0}}},
        {"routes": {"r": {"prefix": "/r/", "service": "s", "timeout_ms": 600_001}}},
        {"routes": {"r": {"prefix": "/r/", "service": "s", "objective_ms": 65_000}}},
        {"routes": {"r": {"prefix": "r/", "service": "s"}}},
        {
            "routes": {
                "a": {"prefix": "/r/", "service": "s"},
                "b": {"prefix": "/r/", "service": "s"},
            }
        },
    ],
)
def test_an_invalid_table_changes_nothing(change):
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        status = mesh.apply_route_table(table(2, 1, change["routes"])).status
        truncated = mesh.apply_route_table(json.dumps(table(2, 1)).encode()[:-9]).status
        return status, truncated, read_version(mesh)

    assert play(script) == (400, 400, 1)


def test_followers_redirect_to_the_leader():
    def script(mesh):
        leader = mesh.leader().number
        follower = (leader + 1) % 5
        return mesh.apply_route_table(table(1, 0), follower).status, mesh.read_route_table(
            follower
        ).status

    assert play(script) == (200, 200)


@pytest.mark.parametrize("seed", range(1, 4))
def test_two_lost_disks_and_a_loss_of_all_power_lose_nothing(seed):
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        assert put(mesh, 2, 1) == 200
        leader = mesh.leader().number
        wiped = {leader, (leader + 1) % 5}
        for machine in mesh.controllers:
            machine.process.kill(power_lost=True)
        for number in range(5):
            mesh.restart_controller(number, empty=number in wiped)
        return read_version(mesh), put(mesh, 5, 2)

    assert play(script, seed=seed) == (2, 200)


@pytest.mark.parametrize("power_lost", [False, True])
@pytest.mark.parametrize("seed", range(1, 4))
def test_after_all_were_killed_the_former_leader_leads_at_once(seed, power_lost):
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        gevent.sleep(2.0)
        former = mesh.leader().number
        for machine in mesh.controllers:
            machine.process.kill(power_lost=power_lost)
        gevent.sleep(1.0)
        for number in range(5):
            mesh.restart_controller(number)
        assert mesh.wait_for(lambda: mesh.leader() is not None, 0.5)
        return mesh.leader().number == former, mesh.leader().controller.store.version

    assert play(script, seed=seed) == (True, 1)


@pytest.mark.parametrize("seed", range(1, 7))
def test_after_all_were_killed_and_the_leader_lost_its_disk_another_leads_at_once(seed):
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        gevent.sleep(2.0)
        former = mesh.leader().number
        lost = {former, (former + 1) % 5}
        for machine in mesh.controllers:
            machine.process.kill(power_lost=True)
        gevent.sleep(1.0)
        for number in range(5):
            mesh.restart_controller(number, empty=number in lost)
        assert mesh.wait_for(lambda: mesh.leader() is not None, 0.8)
        return mesh.leader().controller.store.version, mesh.wait_for(lambda: mesh.voters() == 5, 5)

    assert play(script, seed=seed) == (1, True)


def test_a_restarted_voter_keeps_the_lease_of_a_leader_it_has_not_voted_for():
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        leader = mesh.leader()
        follower = mesh.controllers[(leader.number + 1) % 5]
        replica = follower.controller.replica
        # The follower voted for another candidate in the term that the leader won.
        replica.votes.save(replica.term, 77)
        gevent.sleep(1.0)
        follower.process.kill(power_lost=True)
        mesh.restart_controller(follower.number)
        votes = mesh.controllers[follower.number].controller.replica.votes.state
        return votes.term, votes.voted_for, replica.term, leader.controller.replica.identity

    term, voted_for, former_term, leader = play(script)
    assert (term, voted_for) == (former_term, leader)


def test_wiped_replicas_rejoin_one_after_the_other():
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        for number in (0, 1, 2, 3, 4, 0, 1):
            mesh.controllers[number].process.kill(power_lost=True)
            gevent.sleep(1.0)
            mesh.restart_controller(number, empty=True)
            gevent.sleep(4.0)
        return read_version(mesh), mesh.voters(), put(mesh, 2, 1)

    assert play(script) == (1, 5, 200)


def test_machines_gone_for_good_are_replaced_within_seconds():
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        for number in (4, 0, 1, 2, 3):
            mesh.controllers[number].process.kill(power_lost=True)
            gevent.sleep(1.0)
            mesh.replace_controller(number)
            gevent.sleep(8.0)
            alive = {machine.host for machine in mesh.controllers}
            members = mesh.leader().controller.replica.members.voters()
            assert {member.address.split(":")[0] for member in members} == alive
        return read_version(mesh), put(mesh, 2, 1)

    assert play(script) == (1, 200)


def test_an_absent_voter_is_not_removed_without_a_replacement():
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        away = (mesh.leader().number + 1) % 5
        mesh.controllers[away].process.kill(power_lost=True)
        gevent.sleep(60.0)
        voters = mesh.voters()
        mesh.restart_controller(away)
        gevent.sleep(5.0)
        return voters, mesh.voters(), read_version(mesh)

    assert play(script) == (5, 5, 1)


def test_sidecars_of_an_isolated_controller_get_a_new_table():
    def script(mesh):
        machine = mesh.add_machine("s")
        assert put(mesh, 1, 0) == 200
        gevent.sleep(2.0)
        subscribed = next(
            candidate.number
            for candidate in mesh.controllers
            if machine.name in candidate.controller.publisher.subscribers
        )
        isolated = mesh.controllers[subscribed].process.name
        for peer in mesh.controllers:
            if peer.process.name != isolated:
                mesh.world.network.cut(isolated, peer.process.name)
                mesh.world.network.cut(peer.process.name, isolated)
        gevent.sleep(1.0)
        assert put(mesh, 2, 1) == 200
        gevent.sleep(3.0)
        return machine.sidecar.adopted.table.version

    assert play(script) == 2


def partition(mesh, minority):
    names = [machine.process.name for machine in mesh.controllers]
    for inside in (names[number] for number in minority):
        for outside in (name for i, name in enumerate(names) if i not in minority):
            mesh.world.network.cut(inside, outside)
            mesh.world.network.cut(outside, inside)


@pytest.mark.parametrize("seed", range(1, 4))
def test_sidecars_leave_a_cut_off_leader_and_its_follower_and_keep_their_members(seed):
    def script(mesh):
        leader = mesh.leader().number
        minority = {leader, (leader + 1) % 5}
        machines = [mesh.add_machine("s") for _ in range(6)]
        assert put(mesh, 1, 0) == 200
        gevent.sleep(2.0)
        partition(mesh, minority)
        assert mesh.wait_for(lambda: mesh.leader() and mesh.leader().number not in minority, 5)
        assert put(mesh, 2, 1) == 200
        gevent.sleep(2.0)
        versions = {machine.sidecar.adopted.table.version for machine in machines}
        fewest = 6
        for _ in range(100):
            gevent.sleep(0.2)
            counts = [machine.sidecar.destinations.count("s") for machine in machines]
            fewest = min(fewest, *counts)
        return versions, fewest

    assert play(script, seed=seed) == ({2}, 6)


def test_a_restarted_group_without_members_removes_none_from_sidecars():
    def script(mesh):
        machines = [mesh.add_machine("s") for _ in range(4)]
        assert put(mesh, 1, 0) == 200
        gevent.sleep(2.0)
        for machine in mesh.controllers:
            machine.process.kill()
        fewest = 4
        for number in range(5):
            mesh.restart_controller(number)
        for _ in range(100):
            gevent.sleep(0.05)
            counts = [machine.sidecar.destinations.count("s") for machine in machines]
            fewest = min(fewest, *counts)
        return fewest

    assert play(script) == 4


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_sidecar_connects_with_most_seeds_unreachable(seed):
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        # Controllers 0 to 2 are the seeds; only 2 stays reachable.
        for number in (0, 1):
            mesh.world.network.cut("sidecar-0", mesh.controllers[number].process.name)
        machine = mesh.add_machine("s")
        return mesh.wait_for(lambda: machine.sidecar.adopted.table.version == 1, 0.7)

    assert play(script, seed=seed)


def test_a_sidecar_restarted_with_an_earlier_clock_rejoins():
    def script(mesh):
        machines = [mesh.add_machine("s") for _ in range(2)]
        assert put(mesh, 1, 0) == 200
        gevent.sleep(2.0)
        first = machines[0]
        first.process.kill()
        process = mesh.world.process(first.name, first.zone, first.host)
        process.wall_offset = -3600.0
        machines[0].process, machines[0].sidecar = mesh.start_sidecar(
            first.name, first.service, first.zone, first.host, process
        )
        gevent.sleep(12.0)
        return machines[1].sidecar.destinations.count("s")

    assert play(script) == 2


def test_a_full_disk_neither_stops_a_replica_nor_corrupts_its_log():
    def script(mesh):
        assert put(mesh, 1, 0) == 200
        leader = mesh.leader().number
        full = [
            mesh.world.disk(mesh.controllers[number].host) for number in (leader, (leader + 1) % 5)
        ]
        for disk in full:
            disk.full = True
        assert put(mesh, 2, 1) == 200
        gevent.sleep(3.0)
        for disk in full:
            disk.full = False
        assert put(mesh, 3, 2) == 200
        gevent.sleep(2.0)
        for machine in mesh.controllers:
            machine.process.kill(power_lost=True)
        for number in range(5):
            mesh.restart_controller(number)
        versions = read_version(mesh)
        gevent.sleep(2.0)
        return versions, {machine.controller.store.version for machine in mesh.controllers}

    assert play(script) == (3, {3})


def cut_off(mesh, number):
    """Cut a controller off from all other controllers."""
    network = mesh.world.network
    name = mesh.controllers[number].process.name
    for machine in mesh.controllers:
        if machine.number != number:
            network.cut(name, machine.process.name)
            network.cut(machine.process.name, name)


def lose_power(mesh, lost_disks):
    """Power off all controllers, and start them again, some of them with empty disks."""
    for machine in mesh.controllers:
        machine.process.kill(power_lost=True)
    mesh.world.network.heal_all()
    for number in range(len(mesh.controllers)):
        mesh.restart_controller(number, empty=number in lost_disks)


def put_while_the_disk_of_a_follower_fails(mesh, begin_fault, end_fault):
    """Accept a table that three of five controllers have; return the two that are not the last.

    :param begin_fault: called with the number of one follower, before the table is sent.
    :param end_fault: called with it once the table is in its log.
    """
    assert put(mesh, 1, 0) == 200
    gevent.sleep(2.0)
    leader = mesh.leader().number
    follower, other, *cut = [(leader + step) % 5 for step in range(1, 5)]
    for number in cut:
        cut_off(mesh, number)
    begin_fault(follower)
    accepted = gevent.spawn(put, mesh, 2, 1)
    log = mesh.controllers[follower].controller.replica.log
    length = log.last_index
    assert mesh.wait_for(lambda: log.last_index > length, 1.0)
    gevent.sleep(0.1)
    end_fault(follower)
    assert accepted.get(timeout=20.0) == 200
    return leader, other


SEEDS = range(1, 6)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_table_acknowledged_by_a_follower_that_ended_during_its_sync_survives_a_loss_of_power(
    seed,
):
    def script(mesh):
        def disk(follower):
            return mesh.world.disk(mesh.controllers[follower].host)

        def stall(follower):
            disk(follower).stalled = True

        def restart(follower):
            mesh.controllers[follower].process.kill()
            disk(follower).stalled = False
            mesh.restart_controller(follower)

        lose_power(mesh, put_while_the_disk_of_a_follower_fails(mesh, stall, restart))
        return read_version(mesh)

    assert play(script, seed=seed) == 2


@pytest.mark.parametrize("seed", SEEDS)
def test_a_table_acknowledged_by_a_follower_whose_sync_failed_survives_a_loss_of_power(seed):
    def script(mesh):
        def fail(follower):
            mesh.world.disk(mesh.controllers[follower].host).failing_syncs = 1

        numbers = put_while_the_disk_of_a_follower_fails(mesh, fail, lambda _follower: None)
        lose_power(mesh, numbers)
        return read_version(mesh)

    assert play(script, seed=seed) == 2


@pytest.mark.parametrize("after_seconds", [0.0, 0.001, 0.002, 0.004, 0.006])
def test_an_order_in_the_hand_of_a_stopping_controller_is_answered(after_seconds):
    """Guards against an operator's order that a planned stop cuts while it is being committed."""

    def script(mesh):
        assert put(mesh, 1, 0) == 200
        leader = mesh.leader()
        order = gevent.spawn(mesh.apply_route_table, table(2, 1))
        server = leader.controller.http._server
        assert mesh.wait_for(lambda: server.requests_in_flight > 0, 1.0, 0.0005)
        gevent.sleep(after_seconds)

        def stop_and_end():
            leader.controller.stop()
            gevent.spawn(leader.process.kill)

        leader.process.spawn(stop_and_end)
        answer = order.get()
        return answer.status if answer is not None else 0

    assert play(script) == 200


def test_a_stopping_controller_ends_before_it_is_killed_though_an_order_is_in_its_hand():
    """Guards against a wait for an order that lasts beyond the kill of the process."""

    def script(mesh):
        assert put(mesh, 1, 0) == 200
        leader = mesh.leader()
        leader.controller.settings.stop_seconds = 2.0
        for other in mesh.controllers:
            if other is not leader:
                other.process.kill()
        gevent.spawn(
            mesh.send_to_controller, "POST", json.dumps(table(2, 1)).encode(), leader.number
        )
        server = leader.controller.http._server
        assert mesh.wait_for(lambda: server.requests_in_flight > 0, 1.0, 0.0005)
        began_at = mesh.world.loop.now()
        finished = leader.process.spawn(leader.controller.stop).get()
        return finished, mesh.world.loop.now() - began_at

    finished, seconds = play(script)
    assert not finished
    assert seconds < 2.0
