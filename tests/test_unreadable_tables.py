"""Route tables that cannot be read in full are refused, and end nothing if they are stored."""

from __future__ import annotations

import json
from pathlib import Path

import gevent
import pytest

from cranklane.common.logs import logger
from cranklane.controller.process import Controller, ControllerSettings
from cranklane.controller.route_store import RouteTableStore
from cranklane.distribution.subscriber_updates import SubscriberUpdates
from cranklane.errors import MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import ConfigDelta, ConfigRow
from cranklane.routes.review import review
from cranklane.sidecar.quarantine.api import _json_object
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane.sidecar.worker.api import parse_deregistration, parse_heartbeat
from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.mesh_machines import OPERATOR_PORT, PEER_PORT, ControllerMachine
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table
from mesh_support import ROUTES, play
from test_request_timeline import captured_lines

STORED_DATA = Path(__file__).with_name("stored_data")
HOST = "10.0.0.1"
OLD_ROUTES = {
    "old": {"prefix": "/old/", "service": "s"},
    "moved": {"prefix": "/moved/", "service": "t"},
}
"""Readable routes of the stored version 2; another one is named ``r-`` and two surrogates."""


def delay(_source, _target):
    return 0.0005


def table_text(version, base, routes):
    return json.dumps(route_table(version, base, routes, ("s", "t"))).encode()


UNREADABLE = {
    "surrogates": lambda text: text.replace(b'"extra"', b'"r-\xed\xa0\xbd\xed\xb8\x80"'),
    "latin-1": lambda text: text.replace(b'"extra"', b'"caf\xe9"'),
    "utf-16": lambda text: text.decode().encode("utf-16"),
    "utf-32": lambda text: text.decode().encode("utf-32"),
    "byte order mark": lambda text: b"\xef\xbb\xbf" + text,
    "nan": lambda text: text.replace(b'"priority": 0', b'"priority": 0, "note": NaN', 1),
    "infinity": lambda text: text.replace(b'"priority": 0', b'"priority": 0, "note": 1e999', 1),
    "escaped surrogate": lambda text: text.replace(b'"extra"', b'"r-\\ud800"'),
}


@pytest.mark.parametrize("kind", UNREADABLE)
def test_an_unreadable_table_is_refused_with_the_place_and_later_ones_come_into_force(kind):
    """Guards against acknowledged tables that no sidecar can be told of."""

    def script(mesh):
        extra = {"prefix": "/extra/", "service": "t"}
        unreadable = UNREADABLE[kind](table_text(2, 1, {**ROUTES, "extra": extra}))
        refusal = mesh.apply_route_table(unreadable)
        checked = review(unreadable, 1_000_000)
        next_table = route_table(3, 1, {**ROUTES, "extra": extra}, ("s", "t"))
        assert mesh.apply_route_table(next_table).status == 200
        gevent.sleep(1.0)
        versions = {machine.sidecar.adopted.table.version for machine in mesh.machines}
        return refusal.status, refusal.body, checked.table, versions

    status, body, checked_table, versions = play(script)
    assert status == 400
    assert b"line 1 column" in body
    assert checked_table is None
    assert versions == {3}


@pytest.mark.parametrize("kind", UNREADABLE)
def test_what_workers_and_operators_send_is_read_by_the_same_rules(kind):
    """Guards against one reader of foreign bytes that takes more than the others."""
    fields = {"service": "extra", "slots": 4, "sequence": 1, "born": 5, "priority": 0}
    body = UNREADABLE[kind](json.dumps(fields).encode())
    for parsed in (
        parse_heartbeat("i-1", body),
        parse_deregistration("i-1", body),
        _json_object(body),
    ):
        assert "line 1 column" in parsed.err_value


def start_on_stored_disk(world, folder):
    """Start a controller on the disk that a former release has left, and two sidecars."""
    mesh = Mesh(world)
    process = world.process("controller-0", "a", HOST)
    for file in sorted((STORED_DATA / folder).iterdir()):
        process.storage("controller").replace(file.name, file.read_bytes())
    settings = ControllerSettings(
        name="controller-0",
        zone="a",
        listen=f"{HOST}:{PEER_PORT}",
        http=f"{HOST}:{OPERATOR_PORT}",
        data="controller",
        seeds=[f"{HOST}:{OPERATOR_PORT}"],
        peer_port=PEER_PORT,
        tolerated_losses=0,
    )
    controller = Controller(process, settings)
    world.start(process, controller.start)
    mesh.controllers.append(ControllerMachine(0, HOST, process, controller))
    mesh._seeds = settings.seeds
    for service in ("s", "t"):
        mesh.add_machine(service)
    assert mesh.wait_for(lambda: mesh.voters() == 1, 10)
    gevent.sleep(2.0)
    return mesh


@pytest.mark.parametrize("folder", ["controller-surrogates", "controller-surrogates-snapshot"])
def test_a_stored_table_that_cannot_be_sent_keeps_neither_its_other_rows_nor_later_tables(folder):
    """Guards against one row of a former release after which no table reaches a sidecar."""

    def scenario(world):
        mesh = start_on_stored_disk(world, folder)
        entry = mesh.machines[0].sidecar
        read_back = mesh.read_route_table().body
        stored = {route.name: route for route in entry.adopted.table.routes}
        before = entry.adopted.table.version
        new = {**OLD_ROUTES, "new": {"prefix": "/new/", "service": "t"}}
        status = mesh.apply_route_table(route_table(3, 2, new, ("s", "t"))).status
        gevent.sleep(1.0)
        answers = [mesh.request(mesh.machines[0], path).status for path in ("/old/x", "/new/x")]
        controller = mesh.controllers[0].controller
        assert not world.loop.task_errors
        return {
            "read back": b"\xed\xa0\xbd\xed\xb8\x80" in read_back,
            "rows of version 2": sorted(stored),
            "versions": (before, status, entry.adopted.table.version),
            "answers": answers,
            "age of the table": entry.lease.age < 2.0,
            "counted": controller.unreadable_tables > 0,
        }

    assert simulate(1, delay, scenario) == {
        "read back": True,
        "rows of version 2": ["moved", "old"],
        "versions": (2, 200, 3),
        "answers": [200, 200],
        "age of the table": True,
        "counted": True,
    }


def test_the_next_table_reaches_a_sidecar_that_has_the_one_before_the_unreadable():
    """Guards against changed rows of which one cannot be packed: all of the delta was lost."""
    store = RouteTableStore()
    entry = {"prefix": "/x/", "service": "s"}
    for version, name in ((1, b"first"), (2, b"r-\xed\xa0\xbd\xed\xb8\x80"), (3, b"third")):
        text = table_text(version, version - 1, {"a": entry, "NAME": entry}).replace(b"NAME", name)
        _apply(store, version, text)
    adopted = AdoptedTable(logger(process="test"), lambda: None)
    adopted.adopt(ConfigDelta.unpack(store.delta(0).pack()))
    for base in (1, 2):
        delta = ConfigDelta.unpack(store.delta(base).pack())
        assert "routes/third" in [row.key for row in delta.rows]
    assert sorted(route.name for route in adopted.table.routes) == ["a", "third"]


def _apply(store, version, text):
    from cranklane.records.messages import RouteTableCommand
    from cranklane.routes.document import pack_document

    digest = b"%064d" % version
    command = RouteTableCommand(version, version - 1, digest, pack_document(text))
    store.apply(command.pack())


def test_a_document_of_which_nothing_can_be_read_leaves_the_former_rows_published():
    """Guards against a stored version that takes all routes from the sidecars."""
    problems = []
    store = RouteTableStore(lambda version, found: problems.append((version, found)))
    _apply(store, 1, table_text(1, 0, {"a": {"prefix": "/x/", "service": "s"}}))
    _apply(store, 2, b"\xff\xfe not JSON")
    adopted = AdoptedTable(logger(process="test"), lambda: None)
    adopted.adopt(store.delta(0))
    assert (store.version, store.document) == (2, b"\xff\xfe not JSON")
    assert [route.name for route in adopted.table.routes] == ["a"]
    assert problems[0][0] == 2
    restored = RouteTableStore()
    restored.restore(store.pack())
    assert restored.version == 2


def test_an_entry_that_a_sidecar_cannot_read_does_not_hold_back_the_others():
    """Guards against a delta that is dropped whole although its version counts as adopted."""
    adopted = AdoptedTable(logger(process="test"), lambda: None)
    store = RouteTableStore()
    _apply(store, 1, table_text(1, 0, {"a": {"prefix": "/x/", "service": "s"}}))
    adopted.adopt(store.delta(0))
    route = json.dumps({**route_table(1, 0, {"a": {}}, ())["routes"]["a"], "prefix": "/y/"})
    rows = [
        ConfigRow(2, "routes/a", b'{"repeat": "sometimes"}'),
        ConfigRow(2, "routes/b", b"\xff"),
        ConfigRow(2, "routes/c", route.replace('"host"', '"service": "s", "host"').encode()),
        ConfigRow(2, "version", b"2"),
    ]
    assert adopted.adopt(ConfigDelta(1, 2, False, rows))
    assert sorted((route.name, route.prefix) for route in adopted.table.routes) == [
        ("a", "/x/"),
        ("c", "/y/"),
    ]
    assert adopted.unreadable_entries == 2


@pytest.mark.parametrize("update", ["_send_members", "_send_shares", "_send_departures"])
def test_an_update_that_raises_keeps_nothing_else_from_the_subscribers(monkeypatch, update):
    """Guards against the silent end of the task that publishes to a subscriber."""
    original = getattr(SubscriberUpdates, update)

    def raising(self, subscriber):
        if subscriber.identity.node == "sidecar-0":
            raise ValueError("an unexpected value")
        return original(self, subscriber)

    def script(mesh):
        monkeypatch.setattr(SubscriberUpdates, update, raising)
        changed = {**ROUTES, "more": {"prefix": "/more/", "service": "t"}}
        assert mesh.apply_route_table(route_table(2, 1, changed, ("s", "t"))).status == 200
        gevent.sleep(3.0)
        failed = sum(machine.controller.publisher.failed_updates for machine in mesh.controllers)
        versions = {machine.sidecar.adopted.table.version for machine in mesh.machines}
        ages = [machine.sidecar.lease.age < 2.0 for machine in mesh.machines]
        return versions, failed > 0, all(ages)

    assert play(script) == ({2}, True, True)


@pytest.mark.parametrize("record", ["ControlReplicas", "Departures"])
def test_an_update_that_failed_once_is_sent_the_next_time(monkeypatch, record):
    """Guards against an update that counts as sent although it was not."""
    original = RecordConnection.send
    failed = []

    def send_failing_once(self, message, *arguments):
        if type(message).__name__ == record and not failed:
            failed.append(message)
            raise MalformedRecordError("cannot be packed this time")
        return original(self, message, *arguments)

    monkeypatch.setattr(RecordConnection, "send", send_failing_once)

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(1, 0)
        machine = mesh.add_machine("s")
        assert mesh.wait_for(lambda: mesh.voters() == 1, 10)
        gevent.sleep(3.0)
        subscription = machine.sidecar.control.subscription
        return len(failed), bool(subscription._announced)

    with captured_lines() as lines:
        assert simulate(1, delay, scenario) == (1, True)
    known = [json.loads(line) for line in lines if "departures_known" in line]
    assert [line["learned_from"] for line in known] == ["control"]


def test_an_entry_of_the_log_that_cannot_be_applied_does_not_stop_the_later_ones(capsys):
    """Guards against a replica whose task that applies entries has ended."""

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        proposed = mesh.leader().controller.replica.propose(b"no command")
        status = mesh.apply_route_table(route_table(1, 0, ROUTES, ("s", "t"))).status
        gevent.sleep(1.0)
        return (
            proposed.is_err(),
            status,
            [machine.controller.store.version for machine in mesh.controllers],
            len(world.loop.task_errors),
        )

    assert simulate(1, delay, scenario) == (True, 200, [1, 1, 1], 3)
    capsys.readouterr()
