"""Simulated replicas: joining, elections, leases, snapshots and membership changes."""

from __future__ import annotations

from dataclasses import replace

import gevent
import pytest
from result import Ok

from cranklane.control.process import OUT_OF_TOUCH_SECONDS
from cranklane.distribution.publisher import Publisher
from cranklane.replication import applier
from cranklane.replication.membership_change import ChangeFailure
from cranklane_lab.deployments import chain
from cranklane_lab.scenarios.base import Run
from cranklane_lab.scenarios.control import cut_from_others, leader_number
from cranklane_lab.simulation.fleet import SimulatedFleet
from cranklane_lab.simulation.world import simulate

DEPLOYMENT = chain(1, workers=1)


def play(script, controls=3, seed=1):
    def scenario(world):
        fleet = SimulatedFleet(world, DEPLOYMENT)
        run = Run(world, fleet)
        fleet.start(controls)
        result = script(run)
        assert not world.loop.task_errors
        return result

    return simulate(seed, DEPLOYMENT.between_zones, scenario)


def edit(run, number, base):
    text = f"{run.fleet.deployment.policy()}\n# {number}\n"
    answer = run.fleet.operator(f"o{number}").edit(DEPLOYMENT.name, text, base, f"r{number}")
    assert answer.accepted, answer
    return answer.media["version"]


def replica(run, number):
    return run.fleet.controls[number].replica


def test_a_partition_leaves_at_most_one_leader_with_a_lease():
    def script(run):
        old = leader_number(run)
        cut_from_others(run, old)
        lease_counts = []
        for _ in range(100):
            gevent.sleep(0.05)
            lease_counts.append(sum(replica(run, number).may_read for number in range(3)))
        return max(lease_counts), replica(run, old).may_read, run.fleet.leader() is not None

    for seed in range(1, 6):
        assert play(script, seed=seed) == (1, False, True)


def test_a_resumed_leader_has_no_lease():
    def script(run):
        old = leader_number(run)
        run.fleet.control_processes[old].freeze(120.0)
        gevent.sleep(10.0)
        version = edit(run, 1, 1)
        gevent.sleep(110.0)
        had_lease = replica(run, old).may_read
        gevent.sleep(5.0)
        return had_lease, run.fleet.controls[old].store.revision == version

    assert play(script) == (False, True)


def test_clock_rate_drift_leaves_at_most_one_leader_with_a_lease():
    def script(run):
        for number, process in enumerate(run.fleet.control_processes):
            process.clock_rate = (0.8, 1.0, 1.2)[number]
        max_leases = 0
        for _ in range(60):
            gevent.sleep(0.3)
            max_leases = max(max_leases, sum(replica(run, number).may_read for number in range(3)))
            if run.world.random.random() < 0.1:
                cut_from_others(run, leader_number(run))
                gevent.sleep(2.0)
                run.world.network.heal_all()
        return max_leases

    assert {play(script, seed=seed) for seed in range(1, 5)} == {1}


def test_a_partitioned_replica_does_not_disrupt_the_leader_on_return():
    def script(run):
        leader = leader_number(run)
        cut_from_others(run, (leader + 1) % 3)
        term = replica(run, leader).term
        gevent.sleep(60.0)
        run.world.network.heal_all()
        gevent.sleep(3.0)
        return replica(run, leader).term - term, leader_number(run) == leader

    assert play(script) == (0, True)


def test_a_lagging_replica_gets_a_snapshot(monkeypatch):
    monkeypatch.setattr(applier, "MIN_SNAPSHOT_BYTES", 4096)

    def script(run):
        behind = (leader_number(run) + 1) % 3
        cut_from_others(run, behind)
        version = 1
        for number in range(20):
            version = edit(run, number, version)
        leader = leader_number(run)
        assert replica(run, leader).log.snapshot.index > replica(run, behind).log.last_index
        run.world.network.heal_all()
        gevent.sleep(4.0)
        return run.fleet.controls[behind].store.pack() == run.fleet.controls[leader].store.pack()

    assert play(script)


def test_a_wiped_founder_does_not_found_a_second_group():
    def script(run):
        process = run.fleet.control_processes[0]
        process.kill(power_lost=True)
        process.disk.wipe()
        cut_names = [peer.name for peer in run.fleet.control_processes[1:]]
        for name in cut_names:
            run.world.network.cut("control-0", name)
        run.fleet.start_control(0, process.host)
        gevent.sleep(20.0)
        joined_while_partitioned = replica(run, 0).is_member
        run.world.network.heal_all()
        gevent.sleep(10.0)
        return (
            joined_while_partitioned,
            replica(run, 0).is_member,
            len(replica(run, 1).members.voters()),
        )

    assert play(script) == (False, True, 3)


def test_a_join_with_the_name_of_an_alive_replica_is_refused():
    def script(run):
        settings = run.fleet.controls[1].settings
        process = run.world.process("impostor", settings.zone)
        settings = type(settings)(**{**vars(settings), "listen": f"{process.host}:7000"})
        settings.http = f"{process.host}:80"
        from cranklane.control.process import ControlProcess

        impostor = ControlProcess(process, settings)
        run.world.start(process, impostor.start)
        gevent.sleep(10.0)
        return impostor.replica.is_member, replica(run, 1).is_member

    assert play(script) == (False, True)


def test_a_removal_that_risks_the_quorum_is_refused():
    def script(run):
        leader = leader_number(run)
        followers = [number for number in range(3) if number != leader]
        run.fleet.control_processes[followers[0]].kill()
        gevent.sleep(5.0)
        changes = run.fleet.controls[leader].changes
        return changes.remove(run.fleet.controls[followers[1]].settings.name).err_value

    assert play(script) is ChangeFailure.QUORUM_AT_RISK


def test_a_lost_replica_can_be_removed():
    def script(run):
        leader = leader_number(run)
        lost = (leader + 1) % 3
        run.fleet.control_processes[lost].kill(power_lost=True)
        gevent.sleep(5.0)
        removed = run.fleet.controls[leader].changes.remove(f"control-{lost}")
        edit(run, 1, 1)
        return removed, len(replica(run, leader).members.voters())

    assert play(script) == (Ok(None), 2)


def test_a_control_process_out_of_touch_serves_nodes_only_as_a_last_resort():
    def script(run):
        gevent.sleep(2.0)
        old = leader_number(run)
        cut_from_others(run, old)
        gevent.sleep(OUT_OF_TOUCH_SECONDS + 4.0)
        return len(run.fleet.controls[old].publisher.subscribers)

    assert play(script) == 0


@pytest.mark.parametrize("controls", [1, 3, 5])
def test_groups_of_several_sizes_form_and_accept_edits(controls):
    assert play(lambda run: edit(run, 1, 1), controls=controls) == 2


def test_a_node_leaves_a_control_process_that_is_behind_its_peers(monkeypatch):
    """Guards against nodes that keep following a control process unaware of its partition."""
    monkeypatch.setattr(Publisher, "end_subscriptions", lambda _self, *_limits: 0)
    # One zone, so that every node gets calls with the newer version.
    deployment = replace(chain(2, workers=2), zones=("zone-a",))

    def scenario(world):
        fleet = SimulatedFleet(world, deployment)
        run = Run(world, fleet)
        fleet.start(3)
        traffic = run.traffic(fleet.client(), 20, 20.0)
        old = leader_number(run)
        cut_from_others(run, old)
        text = f"{deployment.policy()}\n# newer\n"
        answer = fleet.operator("o").edit(deployment.name, text, 1, "r")
        # Each hop of a call path may take up to 6 s to detect the newer version.
        gevent.sleep(16.0)
        behind = [pair.name for pair in fleet.pairs if pair.node.configuration.version < 2]
        traffic.join()
        return answer.accepted, behind

    assert simulate(1, deployment.between_zones, scenario) == (True, [])


def test_a_partitioned_learner_is_out_of_touch():
    """Guards against a restart of the election timer counting as a leader's heartbeat."""

    def script(run):
        fleet = run.fleet
        host = run.world.new_host()
        fleet.control_addresses.append((host, 7000))
        fleet.start_control(3, host, voter=False)
        gevent.sleep(5.0)
        learner = fleet.controls[3]
        before = learner.in_touch, learner.replica.is_member
        cut_from_others(run, 3)
        gevent.sleep(OUT_OF_TOUCH_SECONDS + 2.0)
        return before, learner.in_touch

    assert play(script) == ((True, True), False)


def test_a_removed_leader_steps_down():
    def script(run):
        leader = leader_number(run)
        removed = run.fleet.controls[leader].changes.remove(f"control-{leader}")
        gevent.sleep(5.0)
        new = leader_number(run)
        edit(run, 1, 1)
        return removed, replica(run, leader).is_leader, new != leader

    assert play(script) == (Ok(None), False, True)


def test_a_leader_starts_no_new_term():
    def script(run):
        leader = replica(run, leader_number(run))
        term = leader.term
        return leader.begin_term(), leader.term - term

    assert play(script) == (False, 0)
