"""Runs the soak test: requests, route table changes and faults at once, then the checks."""

from __future__ import annotations

import json
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent.event import Event

from cranklane.runtime.interface import Address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.evidence.departure_rules import DepartureRules
from cranklane_lab.evidence.notice_rules import NoticeRules
from cranklane_lab.soak.callers import Caller
from cranklane_lab.soak.checks import Observations
from cranklane_lab.soak.departures import Departures
from cranklane_lab.soak.faults import FaultInjector
from cranklane_lab.soak.loads import (
    MAX_BODY_BYTES,
    NOT_IDEMPOTENT_ROUTES,
    ROUTE_CHOICES,
    ROUTES,
    TENANTS,
    TURNED_ROUTE,
    UNLIMITED,
    UNREADABLE_FRACTION,
    UNREADABLE_PARTS,
    UPLOAD_PAUSES_SECONDS,
    UPLOAD_ROUTE,
    SoakTenant,
    random_upload_size,
    tenant_entries,
    turned_split,
)
from cranklane_lab.soak.run_times import SlowPeriods
from cranklane_lab.soak.site import CONTROLLERS, SERVICES, SoakSite
from cranklane_lab.soak.worker_needs import WorkerNeeds
from cranklane_lab.standins.raw_http import RawAnswer, exchange
from cranklane_lab.standins.route_tables import route_table

START_TIMEOUT_SECONDS = 20.0
RECOVERY_SECONDS = 15.0
SIDECAR_FAULT_TASKS = 2
"""Faults on sidecars that may be in progress at once."""

MAX_CALLER_PAUSE_SECONDS = 0.02
EDIT_INTERVAL_SECONDS = 0.7
FINAL_REQUESTS = 60

APPLY_SECONDS = 2.5
"""Time after the acknowledgement of a table from which only it may be used."""

CRASH_TARGETS = 2
MEAN_CRASH_PAUSE_SECONDS = 0.7
"""Mean time between two requests to the same crashing target."""


@dataclass
class SoakResult:
    """Result of one seed.

    :ivar broken: one line per violated invariant.
    :ivar tables: newest acknowledged version of the route table.
    :ivar folder: folder of the process logs.
    :ivar ends: number of worker crashes by request target.
    :ivar served: number of runs by tenant.
    :ivar departures: number of workers whose departure was acknowledged.
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
    served: dict[str, int] = field(default_factory=dict)
    departures: int = 0


class Soak:
    """Soak run of one seed."""

    def __init__(self, seed: int, seconds: float, folder: Path, machines: int) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._random = Random(seed)
        self._runtime = RealRuntime()
        self._rules = NoticeRules()
        self._departure_rules = DepartureRules()
        self._observations = Observations()
        self._site = SoakSite(
            folder,
            self._rules,
            self._departure_rules,
            self._observations.record_run,
            self._observations.record_late_body,
            machines,
        )
        self._caller = Caller(self._runtime, self._site, self._rules, UNLIMITED)
        self._faults: list[str] = []
        self._stopping = False
        self._may_send = Event()
        self._may_send.set()
        self._request_count = 0

    def run(self) -> SoakResult:
        """Run the seed and kill all its processes before returning."""
        try:
            self._site.start()
            if self._apply_first_table():
                self._run_with_faults()
                self._check_recovery()
                self._check_table()
                self._check_turned_route()
                self._observations.check_runs(self._site.workers)
                self._observations.check_quarantine(self._site.crashes, self._site.workers)
                self._check_notices()
                self._observations.check_processes(self._site.exited_unexpectedly())
        finally:
            self._stopping = True
            self._site.stop()
        return SoakResult(
            self._seed,
            self._seconds,
            self._observations.violations,
            self._request_count,
            dict(self._observations.statuses),
            self._observations.acknowledged_version,
            self._faults,
            str(self._folder),
            dict(Counter(crash.target.decode() for crash in self._site.crashes)),
            dict(self._observations.served),
            self._departure_rules.departures,
        )

    def _record_fault(self, text: str) -> None:
        self._faults.append(text)

    def _apply_first_table(self) -> bool:
        """Apply the first route table; return whether it was acknowledged in time."""
        if not self._put_table(1, 0, START_TIMEOUT_SECONDS):
            self._observations.record_violation(
                "the first route table was not acknowledged in time"
            )
            return False
        gevent.sleep(2.0)
        return True

    def _check_notices(self) -> None:
        """Check the rules on workers that stated a limit or a departure."""
        for violation in [*self._rules.violations(), *self._departure_rules.violations()]:
            self._observations.record_violation(violation)

    def _machine_disturbed(self, machine: int) -> None:
        now = self._runtime.monotonic()
        self._rules.excuse(f"sidecar-{machine}", now)
        self._departure_rules.disturbed(f"sidecar-{machine}", now)

    def _run_with_faults(self) -> None:
        injector = FaultInjector(
            self._site, Random(self._random.random()), self._record_fault, self._machine_disturbed
        )
        departures = Departures(
            self._site,
            self._departure_rules,
            injector,
            self._may_send,
            Random(self._random.random()),
            self._runtime.monotonic,
            self._record_fault,
        )
        needs = WorkerNeeds(self._site, Random(self._random.random()), self._record_fault)
        tasks = [
            gevent.spawn(self._run_caller, tenant)
            for tenant in TENANTS
            for _ in range(tenant.callers)
        ]
        tasks.append(gevent.spawn(self._run_operator))
        tasks += [gevent.spawn(self._run_crash_sender, number) for number in range(CRASH_TARGETS)]
        fault_tasks = [
            *(
                gevent.spawn(injector.inject_sidecar_faults, lambda: self._stopping)
                for _ in range(SIDECAR_FAULT_TASKS)
            ),
            gevent.spawn(needs.run, lambda: self._stopping),
            gevent.spawn(departures.run, lambda: self._stopping),
            gevent.spawn(injector.inject_controller_faults, lambda: self._stopping),
        ]
        periods = SlowPeriods(self._site, Random(self._random.random()))
        period_tasks = [gevent.spawn(periods.run, number) for number in range(self._site.machines)]
        gevent.sleep(self._seconds)
        self._stopping = True
        gevent.joinall(fault_tasks + tasks, timeout=60.0)
        gevent.killall(period_tasks)
        periods.end()

    def _check_recovery(self) -> None:
        """Check that all requests succeed once the site had time to recover."""
        gevent.sleep(RECOVERY_SECONDS)
        failed = 0
        for number in range(FINAL_REQUESTS):
            answer = self._caller.send(number % self._site.machines, "read", f"final-{number}")
            failed += answer is None or answer.status != 200
        if failed:
            self._observations.record_violation(
                f"{failed} of {FINAL_REQUESTS} requests failed after recovery"
            )

    def _check_table(self) -> None:
        table = self._read_table(10.0)
        if table is None:
            self._observations.record_violation("the route table could not be read after the run")
            return
        self._observations.record_read(self._observations.acknowledged_version, table["version"])
        expected = self._observations.sent_tables.get(table["version"])
        if expected is not None and expected != json.dumps(table, sort_keys=True):
            self._observations.record_violation(
                f"version {table['version']} differs from the document that was sent"
            )

    def _check_turned_route(self) -> None:
        """Turn a split over; check that the service whose weight is 0 then gets no request."""
        version = self._observations.acknowledged_version
        if not self._put_table(version + 2, version, 30.0):
            self._observations.record_violation("the last route table was not acknowledged in time")
            return
        gevent.sleep(APPLY_SECONDS)
        runs_before = {id(run) for worker in self._site.workers for run in worker.state.runs}
        for number in range(FINAL_REQUESTS):
            self._caller.send(number % self._site.machines, TURNED_ROUTE, f"turned-{number}")
        _, service = turned_split(version + 2)
        for worker in self._site.workers:
            runs = [run for run in worker.state.runs if id(run) not in runs_before]
            turned = [run.request for run in runs if run.request.startswith(TURNED_ROUTE)]
            if worker.service != service and turned:
                self._observations.record_violation(
                    f"{len(turned)} requests went to {worker.service}, whose weight is 0"
                )

    def _run_caller(self, tenant: SoakTenant) -> None:
        random = Random(self._random.random())
        caller = Caller(self._runtime, self._site, self._rules, tenant)
        while not self._stopping:
            self._may_send.wait()
            route = random.choice(ROUTE_CHOICES)
            self._request_count += 1
            request_id = f"{route}-{self._seed}-{self._request_count}"
            machine = random.randrange(self._site.machines)
            if route == UPLOAD_ROUTE:
                size = random_upload_size(random)
                is_chunked = random.random() < 0.5
                pause = random.choice(UPLOAD_PAUSES_SECONDS)
                answer = caller.upload(machine, request_id, size, is_chunked, pause)
            else:
                answer = caller.send(machine, route, request_id)
            idempotent = route not in NOT_IDEMPOTENT_ROUTES
            self._observations.record_answer(request_id, idempotent, answer)
            gevent.sleep(MAX_CALLER_PAUSE_SECONDS * random.random())

    def _run_crash_sender(self, target_number: int) -> None:
        """Send requests that crash workers to random machines, all with the same target."""
        random = Random(self._random.random())
        caller = Caller(self._runtime, self._site, self._rules, UNLIMITED)
        while not self._stopping:
            gevent.sleep(MEAN_CRASH_PAUSE_SECONDS * 2 * random.random())
            request_id = f"crash-{target_number}-{random.getrandbits(32)}"
            machine = random.randrange(self._site.machines)
            caller.send(machine, "read", request_id, f"crash-{target_number}")

    def _run_operator(self) -> None:
        version = 1
        while not self._stopping:
            gevent.sleep(EDIT_INTERVAL_SECONDS)
            if self._random.random() < UNREADABLE_FRACTION:
                self._put_unreadable_table(version + 1, version)
            if self._put_table(version + 2, version, 30.0):
                version += 2
            acknowledged_version = self._observations.acknowledged_version
            table = self._read_table(0.0)
            if table is not None:
                self._observations.record_read(acknowledged_version, table["version"])

    def _put_table(self, version: int, base: int, seconds: float) -> bool:
        """Send a route table until it is acknowledged, rejected or out of time.

        :return: whether it was acknowledged.
        """
        document = self._document(version, base)
        self._observations.sent_tables[version] = json.dumps(document, sort_keys=True)
        body = json.dumps(document).encode()
        deadline = self._runtime.monotonic() + seconds
        number = 0
        while self._runtime.monotonic() < deadline:
            number += 1
            answer = self._send_to_controller("POST", body, number % CONTROLLERS)
            if answer is not None and answer.status == 200:
                self._observations.acknowledged_version = max(
                    self._observations.acknowledged_version, version
                )
                return True
            if answer is not None and 400 <= answer.status < 500:
                self._observations.record_violation(
                    f"version {version} based on {base} was rejected: status {answer.status}"
                )
                return False
            gevent.sleep(0.1)
        return False

    @staticmethod
    def _document(version: int, base: int) -> dict[str, Any]:
        turned, _ = turned_split(version)
        routes = {
            **ROUTES,
            TURNED_ROUTE: turned,
            f"v{version}": {"prefix": f"/v{version}/", "service": "s"},
        }
        document = route_table(version, base, routes, ("s", "t"), tenant_entries())
        document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        return document

    def _put_unreadable_table(self, version: int, base: int) -> None:
        """Send a route table that cannot be read in full; it must not be acknowledged."""
        body = json.dumps(self._document(version, base)).encode()
        part = self._random.choice(UNREADABLE_PARTS)
        unreadable = body.replace(b"/v%d/" % version, b"/v%s/" % part)
        answer = self._send_to_controller("POST", unreadable, version % CONTROLLERS)
        if answer is not None and answer.status < HTTPStatus.BAD_REQUEST:
            self._observations.record_violation(
                f"an unreadable version {version} was answered with {answer.status}"
            )

    def _read_table(self, seconds: float) -> dict[str, Any] | None:
        deadline = self._runtime.monotonic() + seconds
        while True:
            for number in range(CONTROLLERS):
                answer = self._send_to_controller("GET", b"", number)
                if answer is not None and answer.status == 200 and answer.whole:
                    return json.loads(answer.body)
            if self._runtime.monotonic() >= deadline:
                return None
            gevent.sleep(0.2)

    def _send_to_controller(self, method: str, body: bytes, number: int) -> RawAnswer | None:
        address: Address = self._site.operators_address(number)
        for _ in range(3):
            answer = exchange(self._runtime, address, method, "/v1/route-table", {}, body, 2.0)
            if answer is None or answer.status != 307:
                return answer
            host, _, port = answer.headers["location"].split("/")[2].partition(":")
            address = (host, int(port))
        return None


def run_soak(
    seeds: range, seconds: float, folder: str, machines: int = len(SERVICES)
) -> list[SoakResult]:
    """Run the seeds one after the other.

    :param folder: folder for logs; a new temporary folder if empty.
    :param machines: number of sidecars, each with a worker.
    """
    base = Path(folder or tempfile.mkdtemp(prefix="cranklane-soak-"))
    return [Soak(seed, seconds, base / f"seed-{seed}", machines).run() for seed in seeds]
