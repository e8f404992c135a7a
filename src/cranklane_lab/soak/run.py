"""Runs one seed of the soak: load, operators and faults at once, then the checks."""

from __future__ import annotations

import json
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import gevent

from cranklane.runtime.interface import Address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.simulation.mesh import HOST, route_table
from cranklane_lab.soak.checks import Observations
from cranklane_lab.soak.faults import Faults
from cranklane_lab.soak.site import CONTROLLERS, SERVICES, SoakSite
from cranklane_lab.standins.raw_http import RawAnswer, exchange
from cranklane_lab.standins.routed_worker import NAMES

START_SECONDS = 20.0
RECOVERY_SECONDS = 15.0
CALLERS = 10
PAUSE_SECONDS = 0.02
EDIT_SECONDS = 0.7
FINAL_REQUESTS = 60

CRASH_KINDS = 2
CRASH_PAUSE_SECONDS = 0.7
"""Mean pause between two of the same request that ends workers."""
ROUTES: dict[str, dict[str, Any]] = {
    "read": {"prefix": "/read/", "service": "s"},
    "sign": {"prefix": "/sign/", "service": "t", "repeat": "unsafe"},
    "both": {
        "prefix": "/both/",
        "split": [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}],
    },
}


@dataclass
class SoakResult:
    """One seed's result.

    :ivar folder: where the logs of its processes stand.
    :ivar ends: workers that ended under each request that ends them.
    """

    seed: int
    seconds: float
    broken: list[str]
    requests: int
    statuses: dict[str, int]
    tables: int
    faults: list[str] = field(default_factory=list)
    folder: str = ""
    ends: dict[str, int] = field(default_factory=dict)


class Soak:
    """One seed."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._random = Random(seed)
        self._runtime = RealRuntime()
        self._site = SoakSite(folder)
        self._seen = Observations()
        self._faults: list[str] = []
        self._ended = False
        self._requests = 0

    def run(self) -> SoakResult:
        """Run it; every process that was started has ended when this returns."""
        try:
            self._site.start()
            if self._form():
                self._strike()
                self._check_recovery()
                self._check_table()
                self._seen.check_runs(self._site.workers)
                self._seen.check_crashes(self._site.crashes, self._site.workers)
        finally:
            self._ended = True
            self._site.stop()
        return SoakResult(
            self._seed,
            self._seconds,
            self._seen.broken,
            self._requests,
            dict(self._seen.statuses),
            self._seen.acknowledged,
            self._faults,
            str(self._folder),
            dict(Counter(crash.target.decode() for crash in self._site.crashes)),
        )

    def _note(self, text: str) -> None:
        self._faults.append(text)

    # Phases.

    def _form(self) -> bool:
        """Put the first table in force; return whether that went well."""
        if not self._put(1, 0, START_SECONDS):
            self._seen.break_promise("no first table within the time to start")
            return False
        gevent.sleep(2.0)
        return True

    def _strike(self) -> None:
        faults = Faults(self._site, Random(self._random.random()), self._note)
        tasks = [gevent.spawn(self._call) for _ in range(CALLERS)]
        tasks.append(gevent.spawn(self._edit))
        tasks += [gevent.spawn(self._crash, kind) for kind in range(CRASH_KINDS)]
        striking = [
            gevent.spawn(faults.strike_sidecars, lambda: self._ended),
            gevent.spawn(faults.strike_controllers, lambda: self._ended),
        ]
        gevent.sleep(self._seconds)
        self._ended = True
        gevent.joinall(striking + tasks, timeout=60.0)

    def _check_recovery(self) -> None:
        """Everything must be served some time after the last fault."""
        gevent.sleep(RECOVERY_SECONDS)
        failed = 0
        for number in range(FINAL_REQUESTS):
            answer = self._ask(number % len(SERVICES), "read", f"final-{number}")
            failed += answer is None or answer.status != 200
        if failed:
            self._seen.break_promise(f"{failed} of {FINAL_REQUESTS} not served after recovery")

    def _check_table(self) -> None:
        read = self._read(10.0)
        if read is None:
            self._seen.break_promise("the route table could not be read at the end")
            return
        self._seen.read(self._seen.acknowledged, read["version"])
        expected = self._seen.taken.get(read["version"])
        if expected is not None and expected != json.dumps(read, sort_keys=True):
            self._seen.break_promise(f"version {read['version']} is not as it was sent")

    # Callers.

    def _call(self) -> None:
        random = Random(self._random.random())
        while not self._ended:
            route = random.choice(("read", "sign", "both"))
            self._requests += 1
            name = f"{route}-{self._seed}-{self._requests}"
            answer = self._ask(random.randrange(len(SERVICES)), route, name)
            self._seen.answered(name, route != "sign", answer)
            gevent.sleep(PAUSE_SECONDS * random.random())

    def _crash(self, kind: int) -> None:
        """Send the same request, which ends workers, at one machine after the other."""
        random = Random(self._random.random())
        while not self._ended:
            gevent.sleep(CRASH_PAUSE_SECONDS * 2 * random.random())
            name = f"crash-{kind}-{random.getrandbits(32)}"
            self._ask(random.randrange(len(SERVICES)), "read", name, f"crash-{kind}")

    def _ask(self, machine: int, route: str, name: str, rest: str = "x") -> RawAnswer | None:
        headers = {
            "Host": HOST,
            NAMES.request.decode(): name,
            NAMES.deadline.decode(): "4000",
        }
        address = self._site.callers_address(machine)
        body = b"x" * 500 if route == "sign" else b""
        method = "POST" if body else "GET"
        return exchange(self._runtime, address, method, f"/{route}/{rest}", headers, body, 5.0)

    # Operators.

    def _edit(self) -> None:
        version = 1
        while not self._ended:
            gevent.sleep(EDIT_SECONDS)
            if self._put(version + 2, version, 30.0):
                version += 2
            acknowledged = self._seen.acknowledged
            read = self._read(0.0)
            if read is not None:
                self._seen.read(acknowledged, read["version"])

    def _put(self, version: int, base: int, seconds: float) -> bool:
        """Send a table until it is acknowledged or refused for certain."""
        routes = {**ROUTES, f"v{version}": {"prefix": f"/v{version}/", "service": "s"}}
        document = route_table(version, base, routes, ("s", "t"))
        self._seen.taken[version] = json.dumps(document, sort_keys=True)
        body = json.dumps(document).encode()
        until = self._runtime.monotonic() + seconds
        number = 0
        while self._runtime.monotonic() < until:
            number += 1
            answer = self._operator("POST", body, number % CONTROLLERS)
            if answer is not None and answer.status == 200:
                self._seen.acknowledged = max(self._seen.acknowledged, version)
                return True
            if answer is not None and 400 <= answer.status < 500:
                self._seen.break_promise(f"version {version} on {base} got {answer.status}")
                return False
            gevent.sleep(0.1)
        return False

    def _read(self, seconds: float) -> dict[str, Any] | None:
        until = self._runtime.monotonic() + seconds
        while True:
            for number in range(CONTROLLERS):
                answer = self._operator("GET", b"", number)
                if answer is not None and answer.status == 200 and answer.whole:
                    return json.loads(answer.body)
            if self._runtime.monotonic() >= until:
                return None
            gevent.sleep(0.2)

    def _operator(self, method: str, body: bytes, number: int) -> RawAnswer | None:
        address: Address = self._site.operators_address(number)
        for _ in range(3):
            answer = exchange(self._runtime, address, method, "/v1/route-table", {}, body, 2.0)
            if answer is None or answer.status != 307:
                return answer
            host, _, port = answer.headers["location"].split("/")[2].partition(":")
            address = (host, int(port))
        return None


def run_soak(seeds: range, seconds: float, folder: str) -> list[SoakResult]:
    """Run seeds one after the other.

    :param folder: where logs are kept; empty: a new temporary folder.
    """
    base = Path(folder or tempfile.mkdtemp(prefix="cranklane-soak-"))
    return [Soak(seed, seconds, base / f"seed-{seed}").run() for seed in seeds]
