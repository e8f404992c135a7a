"""Data folders of an earlier release are read by the programs of today.

``stored_data`` holds what each program that stores something left behind: a snapshot and
entries after it, so that both are read. The files are never written again.
"""

from __future__ import annotations

import json
from pathlib import Path

import gevent

from cranklane.control import backup
from cranklane.control.process import ControlProcess, ControlSettings
from cranklane.controller.process import Controller, ControllerSettings
from cranklane.ledger.process import LedgerProcess, LedgerSettings
from cranklane.ledger.store import LedgerDecision
from cranklane.node.process import NodeProcess
from cranklane.node.settings import NodeSettings
from cranklane.records.messages import LedgerBatch, LedgerBegin, LedgerEntry
from cranklane_lab.scenarios.library import SMALL
from cranklane_lab.simulation.world import simulate

STORED = Path(__file__).with_name("stored_data")
NOBODY = "10.9.9.9:7000"
"""Address at which no control process answers."""


def delay(_source, _target):
    return 0.0005


def on_stored_disk(program, start):
    """Return what ``start`` returns in a process whose disk holds a program's stored files."""

    def scenario(world):
        process = world.process(program, "a", "10.0.0.1")
        for file in sorted((STORED / program).rglob("*")):
            if file.is_file():
                name = str(file.relative_to(STORED / program))
                process.storage(program).replace(name, file.read_bytes())
        result = world.start(process, lambda: start(process))
        gevent.sleep(3.0)
        assert not world.loop.task_errors
        return result

    return simulate(1, delay, scenario)


def started(program):
    program.start()
    return program


def control(process):
    settings = ControlSettings(
        name="control-0",
        zone="a",
        listen="10.0.0.1:7000",
        http="10.0.0.1:80",
        data="control",
        operators=[],
        replicas=["10.0.0.1:7000"],
        founder=True,
    )
    return started(ControlProcess(process, settings))


def ledger(process):
    settings = LedgerSettings(
        name="ledger-0",
        zone="a",
        group="main",
        listen="10.0.0.1:7000",
        controls=[NOBODY],
        data="ledger",
    )
    return started(LedgerProcess(process, settings))


def controller(process):
    settings = ControllerSettings(
        name="controller-0",
        zone="a",
        listen="10.0.0.1:7000",
        http="10.0.0.1:80",
        data="controller",
        seeds=["10.0.0.1:80"],
        peer_port=7000,
        tolerated_losses=0,
    )
    return started(Controller(process, settings))


def node(process):
    settings = NodeSettings(
        name="signing-0",
        zone="a",
        controls=[NOBODY],
        http="10.0.0.1:80",
        data="node",
        tenant="songhan",
        service="signing",
        listen="10.0.0.1:0",
        worker="10.0.0.1:8080",
    )
    return started(NodeProcess(process, settings))


def test_control_comes_back_with_its_documents():
    process = on_stored_disk("control", control)
    text = SMALL.policy()
    assert process.store.revision == 2
    assert process.store.document("songhan").text == text + "\n"
    assert process.replica.log.snapshot.index > 0
    assert process.replica.log.last_index > process.replica.log.snapshot.index


def test_a_back_up_of_control_is_read():
    inspection = backup.inspect_backup((STORED / "control-backup").read_bytes())
    assert (inspection.revision, inspection.documents) == (1, [("songhan", 1)])


def test_a_ledger_gives_the_answers_that_it_stored():
    process = on_stored_disk("ledger", ledger)
    assert len(process.store) == 3

    entries = [LedgerEntry.unpack(packed) for packed in process.store._entries.values()]
    assert {entry.key for entry in entries} == {"key-a", "key-b", "key-c"}
    for entry in entries:
        begin = LedgerBegin(99, 1000, 4000, entry.digest, entry.tenant, entry.service, entry.key)
        grant = process.store.apply(LedgerBatch(process.store.now, [begin], []).pack()).grants[0]
        assert (grant.decision, grant.status) == (LedgerDecision.ANSWERED, 200)
        assert grant.body


def test_a_controller_comes_back_with_its_route_table():
    process = on_stored_disk("controller", controller)
    expected = json.loads((STORED / "route-table.json").read_text())
    assert process.store.version == expected["version"] == 5
    assert json.loads(process.store.document) == expected


def test_a_node_comes_back_with_the_configuration_it_had_adopted():
    process = on_stored_disk("node", node)
    assert process.configuration.version == 2
    service = process.configuration.service("songhan", "signing")
    assert service.route("POST", "/signatures/1") is not None
