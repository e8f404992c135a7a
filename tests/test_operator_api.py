"""HTTP API for operators: scopes, conflicts, retries, invalid input and backups."""

from __future__ import annotations

import hashlib

import gevent
import pytest

from cranklane.control import backup
from cranklane.control.process import ControlProcess, ControlSettings
from cranklane.errors import CorruptedLogError
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.operator import SimulatedOperator

TOKENS = {"all": "*", "a-desk": "a", "b-desk": "b"}
TEXT = "tenant a {\n  share 7\n}"


def delay(_source, _target):
    return 0.001


class Control:
    """One control process and operators with different scopes."""

    def __init__(self, world):
        self.world = world
        self.machine = world.process("control", "z")
        self.process = self.start(self.machine, "control")

    def start(self, machine, data):
        operators = [
            f"{name}:{scope}:{hashlib.sha256(name.encode()).hexdigest()}"
            for name, scope in TOKENS.items()
        ]
        settings = ControlSettings(
            name="control",
            zone="z",
            listen=f"{machine.host}:7000",
            http=f"{machine.host}:80",
            data=data,
            operators=operators,
            founder=True,
        )
        process = ControlProcess(machine, settings)
        self.world.start(machine, process.start)
        gevent.sleep(1.0)
        return process

    def operator(self, token, machine=None):
        runtime = self.world.process(f"operator-{self.world.events}-{token}", "z")
        return SimulatedOperator(runtime, [((machine or self.machine).host, 80)], token)

    def ask(self, token, method, path, media=None):
        return self.operator(token).call(method, path, media, seconds=3)


def play(script):
    return simulate(1, delay, lambda world: script(Control(world)))


def test_an_operator_only_accesses_documents_in_its_scope():
    def script(control):
        assert control.operator("all").edit("a", TEXT, 0, "r1").accepted
        assert control.operator("b-desk").edit("b", "tenant b {\n}", 0, "r1").accepted
        listed = control.ask("a-desk", "GET", "/v1/documents").media["documents"]
        assert [document["name"] for document in listed] == ["a"]
        statuses = [
            control.ask("b-desk", "GET", "/v1/documents/a").status,
            control.ask("b-desk", "GET", "/v1/documents/none").status,
            control.ask("b-desk", "GET", "/v1/documents/a/history").status,
            control.operator("b-desk").edit("a", "tenant a {\n}", 1, "r2").status,
            control.ask("b-desk", "GET", "/v1/replicas").status,
            control.ask("b-desk", "GET", "/v1/snapshot").status,
            control.ask("b-desk", "DELETE", "/v1/replicas/control").status,
            control.ask("nobody", "GET", "/v1/documents").status,
        ]
        # A document outside the scope looks like a missing one.
        assert statuses == [404, 404, 404, 404, 403, 403, 403, 401]
        return control.process.store.document("a").text

    assert play(script) == TEXT


def test_a_conflict_returns_the_current_text_and_a_retry_the_first_answer():
    def script(control):
        operator = control.operator("a-desk")
        first = operator.edit("a", TEXT, 0, "r1")
        conflict = operator.edit("a", "tenant a {\n  share 8\n}", 0, "r2")
        second = operator.edit("a", "tenant a {\n  share 9\n}", 1, "r3")
        retry = operator.edit("a", TEXT, 0, "r1")
        return (
            first.media["version"],
            conflict.status,
            conflict.media["text"],
            second.media["version"],
            (retry.status, retry.media["version"], retry.media["repeated"]),
        )

    assert play(script) == (1, 409, TEXT, 2, (200, 1, True))


def test_a_retry_gets_the_first_answer_after_a_restart_from_a_snapshot():
    def script(control):
        operator = control.operator("a-desk")
        operator.edit("a", TEXT, 0, "r1")
        with control.process.replica.state_lock:
            control.process.replica.compact()
        control.machine.kill(power_lost=True)
        machine = control.world.process("control", "z", control.machine.host)
        process = control.start(machine, "control")
        retry = operator.edit("a", TEXT, 0, "r1")
        return retry.media["repeated"], process.replica.log.snapshot.index > 0

    assert play(script) == (True, True)


@pytest.mark.parametrize(
    ("media", "expected"),
    [
        (None, "expected an object"),
        ({"text": 3, "base": 0, "request": "r"}, "text: found 3"),
        ({"text": "", "base": "0", "request": "r"}, "base: found '0'"),
        ({"text": "", "base": 0}, "request: found None"),
        ({"text": "", "base": 0, "request": ""}, "request: is empty"),
        ({"text": "x" * 1_100_000, "base": 0, "request": "r"}, "longer than"),
    ],
)
def test_invalid_input_is_refused_with_the_reason(media, expected):
    def script(control):
        answer = control.ask("a-desk", "PUT", "/v1/documents/a", media or [])
        return answer.status, expected in answer.media["description"]

    assert play(script) == (400, True)


def test_a_syntax_error_names_line_and_column_and_changes_nothing():
    def script(control):
        answer = control.operator("a-desk").edit("a", "tenant a {\n  slots\n}", 0, "r1")
        return answer.status, answer.media["problems"][0], control.process.store.revision

    status, problem, revision = play(script)
    assert (status, revision) == (422, 0)
    assert problem.startswith("line 2, column 3")


def test_a_document_longer_than_64_kib_is_stored_completely():
    text = TEXT + "\n" + "# comment\n" * 10_000

    def script(control):
        assert control.operator("a-desk").edit("a", text, 0, "r1").accepted
        return control.ask("a-desk", "GET", "/v1/documents/a").media["text"]

    assert play(script) == text


def test_wait_names_the_nodes_that_are_behind():
    def script(control):
        answer = control.ask("all", "GET", "/v1/wait?version=9&seconds=0.2")
        return answer.media

    assert play(script) == {"version": 9, "in_force": True, "behind": []}


def test_a_restored_backup_forms_a_new_group_with_its_state():
    def script(control):
        control.operator("a-desk").edit("a", TEXT, 0, "r1")
        data = backup.create(control.process.replica)
        control.operator("a-desk").edit("a", "tenant a {\n}", 1, "r2")

        machine = control.world.process("other", "z")
        restored = backup.restore(machine.storage("restored"), data)
        inspection = backup.inspect_folder(machine.storage("restored"))
        process = control.start(machine, "restored")
        answer = control.operator("a-desk", machine).edit("a", "tenant a {\n}", 1, "r3")
        return (
            restored.members,
            inspection.documents,
            process.replica.is_leader,
            answer.accepted,
            process.store.document("a").version,
        )

    assert play(script) == ([], [("a", 1)], True, True, 1 + backup.REVISIONS_SKIPPED + 1)


def test_restoring_refuses_a_corrupted_backup_and_a_folder_in_use():
    def script(control):
        data = bytearray(backup.create(control.process.replica))
        storage = control.machine.storage("control")
        with pytest.raises(FileExistsError):
            backup.restore(storage, bytes(data))
        data[len(data) // 2] ^= 1
        with pytest.raises(CorruptedLogError):
            backup.restore(control.machine.storage("empty"), bytes(data))
        return control.machine.storage("empty").names()

    assert play(script) == []


def test_a_restored_group_replaces_newer_configuration_of_nodes():
    """Guards against nodes that keep rows of edits made after the backup."""

    def script(control):
        operator = control.operator("a-desk")
        operator.edit("a", TEXT, 0, "r1")
        data = backup.create(control.process.replica)
        version = 1
        for share in range(20, 30):
            text = f"tenant a {{\n  share {share}\n}}"
            version = operator.edit("a", text, version, f"r{share}").media["version"]
        node = AdoptedPolicy()
        node.adopt(control.process.store.delta(0))

        machine = control.world.process("other", "z")
        backup.restore(machine.storage("restored"), data)
        process = control.start(machine, "restored")
        delta = process.store.delta(node.version)
        return node.share("a"), delta.whole, node.adopt(delta), node.share("a")

    assert play(script) == (29, True, True, 7)
