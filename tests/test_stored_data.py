"""Guards against changes that make data folders of an earlier release unreadable.

``stored_data`` holds a snapshot and later entries of each program; never regenerate them.
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

STORED_DATA = Path(__file__).with_name("stored_data")
UNREACHABLE_CONTROL = "10.9.9.9:7000"
"""Address without a control process."""


def delay(_source, _target):
    return 0.0005


def start_on_stored_disk(program_name, start):
    """Return the result of ``start`` in a process whose disk holds a program's stored files."""

    def scenario(world):
        process = world.process(program_name, "a", "10.0.0.1")
        for file in sorted((STORED_DATA / program_name).rglob("*")):
            if file.is_file():
                name = str(file.relative_to(STORED_DATA / program_name))
                process.storage(program_name).replace(name, file.read_bytes())
        result = world.start(process, lambda: start(process))
        gevent.sleep(3.0)
        assert not world.loop.task_errors
        return result

    return simulate(1, delay, scenario)


def start_program(program):
    program.start()
    return program


def start_control(process):
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
    return start_program(ControlProcess(process, settings))


def start_ledger(process):
    settings = LedgerSettings(
        name="ledger-0",
        zone="a",
        group="main",
        listen="10.0.0.1:7000",
        controls=[UNREACHABLE_CONTROL],
        data="ledger",
    )
    return start_program(LedgerProcess(process, settings))


def start_controller(process):
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
    return start_program(Controller(process, settings))


def start_node(process):
    settings = NodeSettings(
        name="signing-0",
        zone="a",
        controls=[UNREACHABLE_CONTROL],
        http="10.0.0.1:80",
        data="node",
        tenant="songhan",
        service="signing",
        listen="10.0.0.1:0",
        worker="10.0.0.1:8080",
    )
    return start_program(NodeProcess(process, settings))


def test_control_restores_its_documents():
    program = start_on_stored_disk("control", start_control)
    policy = SMALL.policy()
    assert program.store.revision == 2
    assert program.store.document("songhan").text == policy + "\n"
    assert program.replica.log.snapshot.index > 0
    assert program.replica.log.last_index > program.replica.log.snapshot.index


def test_a_control_backup_is_readable():
    inspection = backup.inspect_backup((STORED_DATA / "control-backup").read_bytes())
    assert (inspection.revision, inspection.documents) == (1, [("songhan", 1)])


def test_a_ledger_returns_its_stored_answers():
    program = start_on_stored_disk("ledger", start_ledger)
    assert len(program.store) == 3

    entries = [LedgerEntry.unpack(packed) for packed in program.store._entries.values()]
    assert {entry.key for entry in entries} == {"key-a", "key-b", "key-c"}
    for entry in entries:
        begin = LedgerBegin(99, 1000, 4000, entry.digest, entry.tenant, entry.service, entry.key)
        grant = program.store.apply(LedgerBatch(program.store.now, [begin], []).pack()).grants[0]
        assert (grant.decision, grant.status) == (LedgerDecision.ANSWERED, 200)
        assert grant.body


def test_a_controller_restores_its_route_table():
    program = start_on_stored_disk("controller", start_controller)
    expected = json.loads((STORED_DATA / "route-table.json").read_text())
    assert program.store.version == expected["version"] == 5
    assert json.loads(program.store.document) == expected


def test_a_node_restores_its_adopted_configuration():
    program = start_on_stored_disk("node", start_node)
    assert program.configuration.version == 2
    service = program.configuration.service("songhan", "signing")
    assert service.route("POST", "/signatures/1") is not None
