"""A frame for many subscribers is encoded only once."""

from __future__ import annotations

import gevent

from cranklane.controller.route_store import RouteTableStore
from cranklane.distribution.membership import Membership
from cranklane.distribution.shared_frames import SharedFrameCache
from cranklane_lab.standins.route_tables import route_table
from mesh_support import ROUTES, play

SERVICES = ("s",) * 10 + ("t",) * 5
CONTROLLERS = 3


def record_calls(monkeypatch, owner, name):
    calls = []
    original = getattr(owner, name)

    def recording(self, *arguments):
        calls.append(arguments)
        return original(self, *arguments)

    monkeypatch.setattr(owner, name, recording)
    return calls


def test_a_changed_route_table_is_encoded_once_for_all_subscribers(monkeypatch):
    calls = record_calls(monkeypatch, RouteTableStore, "delta")

    def script(mesh):
        calls.clear()
        changed = {**ROUTES, "more": {"prefix": "/more/", "service": "t"}}
        assert mesh.apply_route_table(route_table(5, 1, changed, ("s", "t"))).status == 200
        gevent.sleep(1.0)
        return {machine.sidecar.adopted.table.version for machine in mesh.machines}

    assert play(script, services=SERVICES) == {5}
    assert len(calls) <= CONTROLLERS


def test_a_member_change_is_encoded_once_for_all_subscribers(monkeypatch):
    calls = record_calls(monkeypatch, Membership, "since")

    def script(mesh):
        calls.clear()
        leaving = mesh.machines[0]
        assert leaving.worker.drain() == 200
        gevent.sleep(1.0)
        remaining_destinations = [machine.sidecar.destinations for machine in mesh.machines[1:]]
        return {
            destinations._by_node[leaving.name].state.name
            for destinations in remaining_destinations
        }

    assert play(script, services=SERVICES) == {"DRAINING"}
    assert len(calls) <= 4 * CONTROLLERS


def test_frames_of_an_older_position_are_encoded_again():
    frames = SharedFrameCache()
    encoded_names = []

    def frame(name):
        def make():
            encoded_names.append(name)
            return name

        return make

    assert frames.get((1, 3), frame(b"1-3")) == b"1-3"
    assert frames.get((1, 3), frame(b"again")) == b"1-3"
    assert frames.get((2, 3), frame(b"2-3")) == b"2-3"
    assert frames.get((1, 4), frame(b"1-4")) == b"1-4"
    assert encoded_names == [b"1-3", b"2-3", b"1-4"]
