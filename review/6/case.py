"""Case 6: after a worker's address has gone to another service, requests name the former one."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_fleet import Client, Fleet, RouteTable, Worker, run_case, wait_for

HOST = "app.example"
REQUESTS = 40
DRAIN_SECONDS, REUSE_AFTER_SECONDS = 2.0, 2.0
SETTLE_SECONDS = 5.0
"""Time from the first heartbeat of the new worker to the requests: over contact-ms and three
heartbeats."""


def case(fleet: Fleet, with_trouble: bool) -> bool:
    former, latter, target = "archive", "signing", "glossary"
    machine, other = fleet.new_machine(), fleet.new_machine()
    first = Worker(fleet, machine, former, "i-first", 20)
    glossary = Worker(fleet, other, target, "i-glossary", 40)
    fleet.start_sidecar("side-a", machine, former)
    fleet.start_sidecar("side-b", other, target)
    table = RouteTable(1, 0, (former, latter, target))
    table.route("r-look", "/look/", target)
    table.route("r-sign", "/sign/", latter, repeat="unsafe")
    assert fleet.order(table.document()) == 200
    for ip in (machine, other):
        fleet.wait_ready(ip)
    time.sleep(2.0)

    service = former
    if with_trouble:
        wait_for(lambda: first.depart(), 5.0, "the departure is acknowledged")
        time.sleep(DRAIN_SECONDS + 0.5)
        first.stop()
        time.sleep(REUSE_AFTER_SECONDS + 0.5)
        # The platform writes the settings of the machine anew, and says so by a signal.
        fleet.write_sidecar_settings("side-a", machine, latter)
        fleet.signal("side-a", signal.SIGHUP)
        second = Worker(fleet, machine, latter, "i-second", 20)
        service = latter
        time.sleep(SETTLE_SECONDS)
        # The machine is known as one of the new service: it gets and runs its requests.
        client = Client(fleet, other)
        answer = client.request(HOST, "/sign/a", f"{0xA:016x}", 5000, method="POST")
        client.close()
        served = answer is not None and answer.status == 200 and len(second.runs) == 1
        fleet.record("new_service_served", served=served)

    for number in range(REQUESTS):
        client = Client(fleet, machine)
        client.request(HOST, "/look/a", f"{number:015x}b", 5000)
        client.close()
    callers = [run.caller for run in glossary.runs]
    wrong = sum(caller != service for caller in callers)
    fleet.record("runs", all=len(callers), service_of_machine=service, of_another=wrong)
    return wrong == 0 and len(callers) == REQUESTS


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
