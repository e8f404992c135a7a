"""The adapter holds names only, and the product knows none of them."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

from cranklane.controller.process import ControllerSettings
from cranklane.settings import load
from cranklane.sidecar.settings import SidecarSettings

ROOT = Path(__file__).resolve().parent.parent
PLATFORM_NAMES = re.compile(
    r"X-Attempt-Id|X-Deadline-Ms|X-Expected-Instance|X-Instance-Id|X-Caller-Service"
    r"|X-Response-Seal|X-Not-Executed|X-Server-Load|heartbeat-endpoint|/-/|CRANKLANE_BOOT"
)
DECIDING = (ast.While, ast.For, ast.Try, ast.AsyncFunctionDef, ast.Global, ast.Nonlocal)
MOST_LINES = 120

FIELDS = {
    "node-name": "sidecar-a-1",
    "zone": "a",
    "service": "s-1",
    "ip": "10.0.0.1",
    "listen.outbound": "10.0.0.1:1",
    "listen.readiness": "10.0.0.1:2",
    "listen.control-plane": "10.0.0.1:3",
    "port-range.0": "7620",
    "app-address": "10.0.0.1:4",
    "data-dir": "/data/x",
    "bootstrap": "true",
    "heartbeat-ms": "1500",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.retry-window-s": "10",
    "bounds.budget-slack": "57",
    "bounds.grace-s": "6",
    "fault-tolerance.machines": "2",
}


TENANT_FIELDS = {
    "bounds.strict-revoke": "true",
    "bounds.revoke-ms": "5000",
    "bounds.quota-slack": "20",
}


def rendered(name, fields=FIELDS):
    text = (ROOT / "deploy" / name).read_text()
    # A section stands where its field is given, with the field's value in its middle.
    text = re.sub(
        r"\{\{#(bounds[^}]+)\}\}(.*?)\{\{/\1\}\}",
        lambda match: match[2].replace("{{.}}", fields[match[1]]) if match[1] in fields else "",
        text,
        flags=re.DOTALL,
    )
    text = re.sub(
        r"\{\{#seeds\}\}(.*?)\{\{,\}\}\{\{/seeds\}\}",
        lambda match: ",".join(
            match[1].replace("{{.}}", seed) for seed in ("10.0.0.1:8306", "10.0.0.2:8306")
        ),
        text,
    )
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: fields[match[1]], text)


def settings(kind, name, tmp_path, fields=FIELDS):
    path = tmp_path / "settings.toml"
    path.write_text(rendered(name, fields))
    return load(kind, str(path))


def test_nothing_of_the_product_knows_the_platform_s_names():
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in sorted((ROOT / "src").rglob("*.py"))
        if (match := PLATFORM_NAMES.search(path.read_text()))
    ]
    assert found == []


def test_the_adapter_is_small_and_neither_waits_nor_keeps_nor_decides():
    lines = 0
    for path in sorted((ROOT / "platform").rglob("*.py")):
        text = path.read_text()
        lines += len(text.splitlines())
        for node in ast.walk(ast.parse(text)):
            assert not isinstance(node, DECIDING), f"{path}: {type(node).__name__}"
            assert not isinstance(node, ast.ClassDef), f"{path}: {node.name} may keep state"
        assert "sleep" not in text
    assert lines <= MOST_LINES


def test_the_templates_give_settings_that_hold(tmp_path):
    sidecar = settings(SidecarSettings, "sidecar.toml.template", tmp_path)
    controller = settings(ControllerSettings, "controller.toml.template", tmp_path)
    assert sidecar.seeds == ["10.0.0.1:8306", "10.0.0.2:8306"]
    assert (sidecar.heartbeat_seconds, sidecar.listen) == (1.5, "10.0.0.1:7620")
    assert (controller.first_start, controller.tolerated_losses) == (True, 2)
    assert (sidecar.revocation_seconds, controller.quota_slack) == (0.0, 0.0)


def test_the_templates_take_the_bounds_of_tenants_where_there_are_any(tmp_path):
    fields = FIELDS | TENANT_FIELDS
    sidecar = settings(SidecarSettings, "sidecar.toml.template", tmp_path, fields)
    controller = settings(ControllerSettings, "controller.toml.template", tmp_path, fields)
    assert (sidecar.revocation_seconds, controller.quota_slack) == (5.0, 20)


def test_every_process_of_the_deploy_file_has_its_template():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        assert (ROOT / role["template"]).exists()
        assert role["run"].split()[:3] == ["python3", "-S", "platform/start.py"]
