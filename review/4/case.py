"""Case 4: a configuration that cannot be read whole is taken, and stops all later ones."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_fleet import CONFIG_APPLY_SECONDS, Client, Fleet, RouteTable, Worker, run_case

HOST = "app.example"
REQUESTS = 40

MARKER = "r-MARKER"
UNREADABLE = b"r-\xed\xa0\xbd\xed\xb8\x80"
"""A name in bytes that are not UTF-8: an emoji as two encoded surrogates."""


def case(fleet: Fleet, with_trouble: bool) -> bool:
    services = ("old", "new")
    for service in services:
        ip = fleet.new_machine()
        Worker(fleet, ip, service, f"i-{service}", 20)
        fleet.start_sidecar(f"side-{service}", ip, service)
    first = RouteTable(1, 0, services).route("r-moved", "/moved/", "old")
    assert fleet.order(first.document()) == 200
    for worker in fleet.workers:
        fleet.wait_ready(worker.ip)
    time.sleep(2.0)

    # The order in question: the same table and one more route.
    second = RouteTable(2, 1, services).route("r-moved", "/moved/", "old")
    document = second.route(MARKER, "/other/", "old").document()
    name = UNREADABLE if with_trouble else b"r-other"
    status = fleet.order(document.replace(MARKER.encode(), name))
    fleet.record("second_order", status=status)

    # A sound order on top of what is in force: the route moves to the other service.
    base = 2 if status == 200 else 1
    third = RouteTable(3, base, services).route("r-moved", "/moved/", "new")
    assert fleet.order(third.document()) == 200
    fleet.record("third_order_acknowledged")
    time.sleep(CONFIG_APPLY_SECONDS + 0.5)

    answers = []
    for number in range(REQUESTS):
        client = Client(fleet, fleet.workers[number % 2].ip)
        answers.append(client.request(HOST, "/moved/a", f"{number:016x}", 5000))
        client.close()
    by_old = sum(len(worker.runs) for worker in fleet.workers if worker.service == "old")
    by_new = sum(len(worker.runs) for worker in fleet.workers if worker.service == "new")
    fleet.record("runs_after_third_order", by_old=by_old, by_new=by_new)
    for process in fleet.processes:
        for line in fleet.log_lines(process, "UnicodeEncodeError")[:1]:
            fleet.record("log", process=process, line=line)
    if with_trouble and status == 200:
        fleet.record("broken", rule="an invalid configuration is acknowledged")
        return False
    return by_old == 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
