"""Operator API of the quarantine: listing, adding and lifting quarantines."""

from __future__ import annotations

import json

import gevent
import pytest

from cranklane.common.secret_digest import secret_digest
from cranklane.common.small_http import SmallAnswer
from cranklane.sidecar.quarantine.api import QuarantineApi
from cranklane.sidecar.quarantine.rules import QuarantineState
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane_lab.simulation.crashes import CrashingRequests
from cranklane_lab.standins.raw_http import exchange
from mesh_support import play
from test_crashing_requests import CRASH, FLEET
from test_request_timeline import explain_request

TOKEN = "an-operator"
DIGEST = secret_digest(TOKEN.encode())
IDENTITY = "ab" * 16


class Log:
    def warning(self, event, **fields):
        pass


@pytest.fixture
def table():
    return Quarantine(lambda: 100.0, lambda _entries: None)


def post_change(table, path, digest=DIGEST, **value):
    api = QuarantineApi(table, lambda: digest, Log(), lambda *_: SmallAnswer(404))
    return api.handle("POST", f"/v1/quarantine/{path}", json.dumps(value).encode())


def test_quarantine_is_added_listed_and_lifted(table):
    added = post_change(table, "hold", token=TOKEN, identity=IDENTITY, service="s", seconds=60)
    assert added.status == 200
    assert table.state(bytes.fromhex(IDENTITY)) is QuarantineState.QUARANTINED
    api = QuarantineApi(table, lambda: "", Log(), lambda *_: SmallAnswer(404))
    held = json.loads(api.handle("GET", "/v1/quarantine", b"").body)["held"]
    assert held == [{"identity": IDENTITY, "service": "s", "seconds_left": 60.0, "ends": 1}]
    assert post_change(table, "lift", token=TOKEN, identity=IDENTITY).status == 200
    assert table.is_empty
    assert post_change(table, "lift", token=TOKEN, identity=IDENTITY).status == 400


@pytest.mark.parametrize("digest", ["", secret_digest(b"another")])
def test_wrong_operator_token_is_rejected(table, digest):
    refused = post_change(
        table, "hold", digest, token=TOKEN, identity=IDENTITY, service="s", seconds=60
    )
    assert refused.status == 403
    assert table.is_empty


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("identity", "xy"),
        ("identity", None),
        ("service", ""),
        ("seconds", -1),
        ("seconds", True),
        ("seconds", 1e9),
    ],
)
def test_error_names_the_invalid_field(table, field, value):
    valid = {"token": TOKEN, "identity": IDENTITY, "service": "s", "seconds": 60}
    refused = post_change(table, "hold", **{**valid, field: value})
    assert refused.status == 400
    assert json.loads(refused.body)["problems"][0].startswith(field)
    assert table.is_empty


def test_lift_takes_effect_at_all_sidecars():
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH)
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        crashing.stop_crashing()
        gevent.sleep(4.0)
        for machine in mesh.machines:
            machine.sidecar.settings.operator_digest = secret_digest(TOKEN.encode())
        operator = mesh.world.process("operator-2", mesh.zones[0])
        machine = mesh.machines[5]
        address = (machine.host, 8003)
        listed = exchange(operator, address, "GET", "/v1/quarantine", {}, b"")
        identity = json.loads(listed.body)["held"][0]["identity"]
        body = json.dumps({"token": TOKEN, "identity": identity}).encode()
        lifted = exchange(operator, address, "POST", "/v1/quarantine/lift", {}, body)
        gevent.sleep(0.05)
        quarantining = [
            node.name for node in mesh.machines if not node.sidecar.quarantine.table.is_empty
        ]
        return lifted.status, quarantining, mesh.request(mesh.machines[1], CRASH).status

    assert play(script, **FLEET) == (200, [], 200)


def test_explanation_of_a_refusal_names_the_quarantine(tmp_path):
    def script(mesh):
        crashing = CrashingRequests(mesh)
        mesh.request(mesh.machines[0], CRASH, name="first-one")
        assert mesh.wait_for(lambda: len(crashing.crashes) == 2, 2.0)
        gevent.sleep(0.1)
        assert mesh.request(mesh.machines[6], CRASH, name="held-one").status == 503

    explanation = explain_request(script, tmp_path, "held-one", **FLEET)
    assert "quarantine_refusal service=s identity=" in explanation
    assert "cause: workers that ran this very request before have ended" in explanation
    assert "it was not run" in explanation
