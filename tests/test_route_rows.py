"""Updates of a route table carry only the changed rows and yield the same table."""

from __future__ import annotations

import json
from random import Random

import gevent
import pytest

from cranklane.common.logs import logger
from cranklane.controller.route_store import RouteTableStore
from cranklane.controller.row_changes import EXTRA_DELETIONS, RowChanges
from cranklane.records.messages import RouteTableCommand
from cranklane.routes.document import pack_document, read_json, read_table
from cranklane.sidecar.table.adopted_table import AdoptedTable
from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.route_tables import route_table

SERVICES = ("s", "t")


def put(store, document):
    data = json.dumps(document).encode()
    digest = data[:64] + str(document["version"]).encode()
    command = RouteTableCommand(document["version"], store.version, digest, pack_document(data))
    store.apply(command.pack())


def random_table(random, version):
    routes = {
        f"r{number}": {
            "prefix": f"/{number}/",
            "service": random.choice(SERVICES),
            "timeout_ms": random.choice((1000, 2000)),
        }
        for number in random.sample(range(30), random.randint(0, 20))
    }
    document = route_table(version, 0, routes, SERVICES)
    document["limits"]["max_body_bytes"] = random.choice((1000, 2000))
    return document


def parsed(document):
    table = read_json(document).and_then(read_table).unwrap()
    return {route.name: route for route in table.routes}, table.services, table.limits


@pytest.mark.parametrize("seed", range(20))
def test_changed_rows_yield_the_table_of_the_document(seed):
    random = Random(seed)
    store = RouteTableStore()
    adopted = AdoptedTable(logger(process="test"), lambda: None)
    for version in range(1, 40):
        put(store, random_table(random, version))
        if random.random() < 0.1:
            restored = RouteTableStore()
            restored.restore(store.pack())
            store = restored
        if random.random() < 0.6:
            delta = store.delta(adopted.version)
            assert adopted.adopt(delta)
            table = adopted.table
            routes = {route.name: route for route in table.routes}
            assert (routes, table.services, table.limits) == parsed(store.document)
            assert table.version == store.version


def test_rows_are_unknown_after_too_many_deletions():
    changes = RowChanges()
    changes.replace(1, {"a": b"1"})
    last = EXTRA_DELETIONS + 10
    for revision in range(2, last + 1):
        changes.replace(revision, {"a": b"1", f"b{revision}": b"1"})
    assert changes.since(1) is None
    newest = changes.since(last - 1)
    assert {row.key: row.value for row in newest} == {f"b{last - 1}": b"", f"b{last}": b"1"}


def bytes_sent_for_one_change():
    """Return the number of bytes sent to a sidecar for a change of one of 800 routes."""

    def scenario(world):
        mesh = Mesh(world)
        mesh.start_controllers(3)
        machine = mesh.add_machine("s")
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        routes = {f"r{number}": {"prefix": f"/{number}/", "service": "s"} for number in range(800)}
        first = route_table(1, 0, routes, SERVICES)
        assert mesh.wait_for(lambda: mesh.apply_route_table(first).status == 200, 5)
        gevent.sleep(2.0)
        bytes_before = machine.sidecar.control.subscription.bytes_received
        routes["r7"]["timeout_ms"] = 77
        assert mesh.apply_route_table(route_table(2, 1, routes, SERVICES)).status == 200
        gevent.sleep(0.3)
        table = machine.sidecar.adopted.table
        assert (table.version, table.find("shop.example", "/7/x").timeout_ms) == (2, 77)
        return machine.sidecar.control.subscription.bytes_received - bytes_before

    return simulate(1, lambda _source, _target: 0.0005, scenario)


def test_a_change_of_one_route_costs_a_node_a_few_hundred_bytes():
    assert bytes_sent_for_one_change() < 1000
