"""Starts a small deployment of the project's own programs on loopback addresses.

Each machine has a loopback address of its own and the same ports, as the platform gives them.
Settings files are filled from the templates that the deploy file names.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
SYSTEM = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
METRICS_PORT = 9464
START_SECONDS = 30.0
"""Time allowed for the first route table and for all sidecars to become ready."""

RESTART_SECONDS = 0.5
"""Delay after which the platform starts a process again that has ended by itself."""

GRACE_SECONDS = 6
BOUNDS: dict[str, Any] = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": GRACE_SECONDS,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 57,
    "recovery-s": 15,
}
"""The bounds of the first deployment's sheet."""


class CannotRunError(Exception):
    """The case could not be set up."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill a template: values, lists and conditional parts, as the deployment pages describe."""

    def look_up(name: str, scope: dict[str, Any]) -> Any:
        value: Any = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def text(value: Any) -> str:
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match: re.Match[str]) -> str:
        value, body = look_up(match[1], fields), match[2]
        if isinstance(value, list):
            last = len(value) - 1
            parts = [
                body.replace("{{.}}", text(item)).replace("{{,}}", "," if i < last else "")
                for i, item in enumerate(value)
            ]
            return "".join(parts)
        if value is None or value is False:
            return ""
        return body.replace("{{.}}", text(value))

    filled = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda m: text(look_up(m[1], fields)), filled)


class Machine:
    """One machine with one process of the project.

    :ivar process: the running process; None while the machine is down.
    """

    def __init__(self, role: str, name: str, ip: str, fields: dict[str, Any], folder: Path) -> None:
        self.role, self.name, self.ip = role, name, ip
        self.fields = fields
        self.folder = folder
        self.settings = folder / f"{name}.settings"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.own_ends = 0

    def address(self, port_name: str) -> tuple[str, int]:
        """Return an address of the settings, such as ``outbound``."""
        return self.ip, int(self.fields["listen"][port_name].rpartition(":")[2])

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = SYSTEM["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, self.fields))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CRANKLANE_BOOT"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def kill(self) -> None:
        """End the process with SIGKILL."""
        process, self.process = self.process, None
        if process is not None:
            process.kill()
            process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        try:
            connection = http.client.HTTPConnection(*self.address("readiness"), timeout=1)
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False


class Deployment:
    """Controllers, and sidecars with the services beside them.

    :param services: service of each sidecar machine.
    :param controllers: number of controllers; 2f+1 for f tolerated losses.
    :param bounds: bounds beside those of the first deployment's sheet.
    """

    def __init__(
        self, services: list[str], controllers: int = 3, bounds: dict[str, Any] | None = None
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cranklane-review-"))
        network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        ips = [f"{network}.{10 + i}" for i in range(controllers + len(services))]
        ports = self._free_ports(ips)
        seeds = [f"{ip}:{ports['control-plane']}" for ip in ips[:3]]
        names = [f"core-{i + 1}" for i in range(controllers)]
        names += [f"sidecar-{i + 1}" for i in range(len(services))]
        self.controllers: list[Machine] = []
        self.sidecars: list[Machine] = []
        for i, (name, ip) in enumerate(zip(names, ips, strict=True)):
            is_core = i < controllers
            role = "controller" if is_core else "sidecar"
            data = self.folder / f"{name}.data"
            data.mkdir()
            fields = {
                "node-name": name,
                "role": role,
                "ip": ip,
                "zone": "zone-a",
                "listen": {
                    key: f"{ip}:{ports[key]}"
                    for key in ("inbound", "outbound", "readiness", "control-plane")
                },
                "port-range": [ports["first"], ports["first"] + 15],
                "seeds": seeds,
                "bootstrap": True,
                "heartbeat-ms": 1500,
                "fault-tolerance": {"machines": (controllers - 1) // 2},
                "bounds": {**BOUNDS, **(bounds or {})},
                "data-dir": str(data) if is_core else "",
                "app-address": "" if is_core else f"{ip}:{ports['app']}",
                "service": "" if is_core else services[i - controllers],
            }
            machine = Machine(role, name, ip, fields, self.folder)
            (self.controllers if is_core else self.sidecars).append(machine)
        self.app_port = ports["app"]
        self._stopping = threading.Event()
        self._supervisor: threading.Thread | None = None

    @staticmethod
    def _free_ports(ips: list[str]) -> dict[str, int]:
        """Return ports that are free on all machines' addresses."""
        for _ in range(50):
            base = random.randint(10_000, 30_000)
            wanted = [*range(base, base + 24), METRICS_PORT]
            if all(_is_free(ip, port) for ip in ips for port in wanted):
                keys = ("inbound", "app", "readiness", "outbound", "control-plane")
                return {**{key: base + i for i, key in enumerate(keys)}, "first": base + 8}
        raise CannotRunError("no free ports on loopback")

    def start(self, table: dict[str, Any]) -> None:
        """Start all processes and put the first route table in force."""
        for machine in [*self.controllers, *self.sidecars]:
            machine.start()
        self.put(table)
        ends_at = time.monotonic() + START_SECONDS
        while not all(machine.is_ready() for machine in self.sidecars):
            if time.monotonic() > ends_at:
                raise CannotRunError("the sidecars did not become ready")
            time.sleep(0.2)
        for machine in [*self.controllers, *self.sidecars]:
            machine.fields["bootstrap"] = False

    def supervise(self, record: Callable[[str], None]) -> None:
        """Start processes again that end by themselves, until :meth:`stop`."""

        def run() -> None:
            while not self._stopping.wait(0.1):
                for machine in [*self.controllers, *self.sidecars]:
                    process = machine.process
                    status = process.poll() if process is not None else None
                    if status is None or machine.process is not process:
                        continue
                    machine.own_ends += 1
                    lines = machine.log.read_text().strip().splitlines()
                    reason = lines[-1] if lines else ""
                    record(f"{machine.name} has ended by itself with code {status}: {reason}")
                    if not self._stopping.wait(RESTART_SECONDS):
                        machine.start()

        self._supervisor = threading.Thread(target=run, daemon=True)
        self._supervisor.start()

    def own_ends(self) -> dict[str, int]:
        """Return how often processes have ended by themselves."""
        machines = [*self.controllers, *self.sidecars]
        return {machine.name: machine.own_ends for machine in machines if machine.own_ends}

    def put(self, table: dict[str, Any]) -> None:
        """Send a route table as the operator does, until it is acknowledged."""
        body = json.dumps(table)
        ends_at = time.monotonic() + START_SECONDS
        address = self.controllers[0].address("control-plane")
        while time.monotonic() < ends_at:
            try:
                connection = http.client.HTTPConnection(*address, timeout=2)
                connection.request(
                    "POST", "/v1/route-table", body, {"Content-Type": "application/json"}
                )
                answer = connection.getresponse()
                answer.read()
                if answer.status == 200:
                    return
                location = answer.getheader("Location")
                if answer.status == 307 and location:
                    host, _, port = location.split("/")[2].rpartition(":")
                    address = host, int(port)
                    continue
                if answer.status < 500:
                    raise CannotRunError(f"the table was refused with {answer.status}")
            except OSError:
                pass  # The process is still starting: the next one is asked.
            address = random.choice(self.controllers).address("control-plane")
            time.sleep(0.2)
        raise CannotRunError("the table was not acknowledged")

    def stop(self) -> None:
        """End all processes and remove the files."""
        self._stopping.set()
        if self._supervisor is not None:
            self._supervisor.join()
        for machine in [*self.sidecars, *self.controllers]:
            machine.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True


def route_table(version: int, base: int, routes: dict[str, Any], services: list[str]) -> Any:
    """Return a route table in the names of ``deploy/wire.toml``."""
    return {
        "version": version,
        "base": base,
        "routes": routes,
        "services": {
            name: {
                "health_path": "/healthz",
                "max_connections": 364,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(prefix: str, service: str, kind: str, timeout_ms: int = 6000) -> dict[str, Any]:
    """Return a route of the host ``shop.example``."""
    return {
        "host": "shop.example",
        "prefix": prefix,
        "repeat": kind,
        "timeout_ms": timeout_ms,
        "objective_ms": 1500,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }
