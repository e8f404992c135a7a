"""Stored departures: what snapshots keep, what stays within bounds, and what is written twice."""

from __future__ import annotations

import gevent

from cranklane.controller.controller_state import ControllerStateMachine, encode_departures
from cranklane.controller.departure_store import (
    MAX_DEPARTURES,
    MAX_DEPARTURES_OF_NODE,
    DepartureStore,
)
from cranklane.controller.route_store import RouteTableStore
from cranklane.records.messages import Departure, DepartureCommand
from mesh_support import play


def state_machine():
    departures = DepartureStore()
    return ControllerStateMachine(RouteTableStore(), departures), departures


def test_a_snapshot_keeps_the_departures_and_the_route_table():
    machine, departures = state_machine()
    for instances in (["i-1@1"], ["i-1@1", "i-2@2"]):
        command = DepartureCommand([Departure("n", instance) for instance in instances])
        assert machine.apply(encode_departures(command)) is True
    restored, restored_departures = state_machine()
    restored.restore(machine.pack())
    assert restored_departures.of("n") == departures.of("n") == ["i-1@1", "i-2@2"]
    assert restored.pack() == machine.pack()


def test_a_snapshot_of_a_release_without_departures_is_read():
    machine, departures = state_machine()
    departures.add([Departure("n", "i-1@1")])
    machine.restore(RouteTableStore().pack())
    assert departures.of("n") == []


def test_the_departures_of_a_node_and_of_all_nodes_are_bounded():
    departures = DepartureStore()
    departures.add(Departure("looping", f"i-{number}") for number in range(100))
    assert departures.of("looping") == [f"i-{99 - back}" for back in range(15, -1, -1)]
    assert len(departures.of("looping")) == MAX_DEPARTURES_OF_NODE
    departures.add(Departure(f"n-{number}", "i") for number in range(MAX_DEPARTURES))
    assert departures.of("looping") == []
    assert len(departures.pack()) == MAX_DEPARTURES


def test_a_departure_of_many_heartbeats_is_written_once():
    def script(mesh):
        gevent.sleep(1.0)
        before = mesh.leader().controller.replica.applied_index
        for _ in range(20):
            assert mesh.machines[0].worker.drain() == 200
        return mesh.leader().controller.replica.applied_index - before

    assert play(script) == 1
