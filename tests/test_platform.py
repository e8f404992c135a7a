"""The platform adapter only maps names; the product contains no platform names."""

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
FORBIDDEN_STATEMENTS = (ast.While, ast.For, ast.Try, ast.AsyncFunctionDef, ast.Global, ast.Nonlocal)
MAX_LINES = 120

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


LIMIT_FIELDS = {"limits.memory-mb": "300", "limits.max-fds": "4100"}

TENANT_FIELDS = {
    "bounds.strict-revoke": "true",
    "bounds.revoke-ms": "5000",
    "bounds.quota-slack": "20",
}


def render_template(name, fields=FIELDS):
    text = (ROOT / "deploy" / name).read_text()
    # Renders a section only if its field is set, and inserts the value.
    text = re.sub(
        r"\{\{#((?:bounds|limits)[^}]+)\}\}(.*?)\{\{/\1\}\}",
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


def load_settings(kind, name, tmp_path, fields=FIELDS):
    path = tmp_path / "settings.toml"
    path.write_text(render_template(name, fields))
    return load(kind, str(path))


def test_product_contains_no_platform_names():
    matches = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in sorted((ROOT / "src").rglob("*.py"))
        if (match := PLATFORM_NAMES.search(path.read_text()))
    ]
    assert matches == []


def test_adapter_is_small_and_has_no_loops_waits_or_classes():
    lines = 0
    for path in sorted((ROOT / "platform").rglob("*.py")):
        text = path.read_text()
        lines += len(text.splitlines())
        for node in ast.walk(ast.parse(text)):
            assert not isinstance(node, FORBIDDEN_STATEMENTS), f"{path}: {type(node).__name__}"
            assert not isinstance(node, ast.ClassDef), f"{path}: {node.name} may keep state"
        assert "sleep" not in text
    assert lines <= MAX_LINES


def test_templates_render_valid_settings(tmp_path):
    sidecar = load_settings(SidecarSettings, "sidecar.toml.template", tmp_path)
    controller = load_settings(ControllerSettings, "controller.toml.template", tmp_path)
    assert sidecar.seeds == ["10.0.0.1:8306", "10.0.0.2:8306"]
    assert (sidecar.heartbeat_seconds, sidecar.listen) == (1.5, "10.0.0.1:7620")
    assert (controller.first_start, controller.tolerated_losses) == (True, 2)
    assert (sidecar.revocation_seconds, controller.quota_slack) == (0.0, 0.0)


def test_templates_use_tenant_bounds_if_present(tmp_path):
    fields = FIELDS | TENANT_FIELDS
    sidecar = load_settings(SidecarSettings, "sidecar.toml.template", tmp_path, fields)
    controller = load_settings(ControllerSettings, "controller.toml.template", tmp_path, fields)
    assert (sidecar.revocation_seconds, controller.quota_slack) == (5.0, 20)


def test_each_role_of_the_deploy_file_has_a_template():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        assert (ROOT / role["template"]).exists()
        assert role["run"].split()[:3] == ["python3", "-S", "platform/start.py"]


def test_templates_use_the_limits_of_the_machine_if_present(tmp_path):
    """Guards against settings that cannot be read where the platform states no limits."""
    fields = FIELDS | LIMIT_FIELDS
    limited = load_settings(SidecarSettings, "sidecar.toml.template", tmp_path, fields)
    assert (limited.memory_mb, limited.max_descriptors) == (300, 4100)
    unlimited = load_settings(SidecarSettings, "sidecar.toml.template", tmp_path)
    assert (unlimited.memory_mb, unlimited.max_descriptors) == (0, 0)
