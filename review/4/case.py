"""Case 4: after a split is turned over by weights, sidecars still send requests to the weight of 0."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_fleet import CONFIG_APPLY_SECONDS, Client, Fleet, RouteTable, Worker, require, run_case

HOST = "app.example"
MACHINES = 5
"""Machines of each of the two services; a request may begin at any of them."""

REQUESTS_EACH = 40
FIRST_WEIGHTS, SECOND_WEIGHTS = (100, 0), (0, 1)
"""Weights of blue and green: all to blue, then all to green."""

if os.environ.get("VARIANT") == "share":
    FIRST_WEIGHTS, SECOND_WEIGHTS = (9900, 100), (1, 99)

MIN_REQUESTS = 200
"""From which on the rule judges shares."""

MAX_SHARE_DIFFERENCE = 0.2
"""By which the share of a service may differ from that of its weight, where that isn't 0."""


def table_of(version: int, base: int, weights: tuple[int, int], is_split: bool) -> RouteTable:
    """Return a table whose route goes to the services in these proportions.

    :param is_split: whether the service with a weight of 0 is named, too.
    """
    table = RouteTable(version, base, ("blue", "green"))
    table.route("r-sign", "/sign/", "", repeat="unsafe")
    route = table.routes["r-sign"]
    if is_split:
        names = zip(("blue", "green"), weights, strict=True)
        del route["service"]
        route["split"] = [{"service": name, "weight": weight} for name, weight in names]
    else:
        route["service"] = "blue" if weights[0] else "green"
    return table


def send(fleet: Fleet, prefix: str) -> None:
    for number, worker in enumerate(fleet.workers):
        client = Client(fleet, worker.ip)
        for count in range(REQUESTS_EACH):
            request = f"{prefix}{number:05x}{count:010x}"
            client.request(HOST, "/sign/a", request, 5000, method="POST", body=b"minutes")
        client.close()


def case(fleet: Fleet, with_trouble: bool) -> bool:
    for number in range(2 * MACHINES):
        service = ("blue", "green")[number % 2]
        ip = fleet.new_machine()
        Worker(fleet, ip, service, f"i-{service}-{number}", 20)
        fleet.start_sidecar(f"side-{number}", ip, service)
    fleet.put_in_force(table_of(1, 0, FIRST_WEIGHTS, with_trouble))
    for worker in fleet.workers:
        fleet.wait_ready(worker.ip)
    time.sleep(3.0)
    send(fleet, "a")
    before = {run.request for worker in fleet.workers for run in worker.runs}

    fleet.put_in_force(table_of(2, 1, SECOND_WEIGHTS, with_trouble))
    fleet.record("second_version_acknowledged")
    time.sleep(CONFIG_APPLY_SECONDS + 0.5)
    send(fleet, "b")

    runs = [run for worker in fleet.workers for run in worker.runs if run.request not in before]
    by_old = sum(run.service == "blue" for run in runs)
    fleet.record("runs_after_second_version", all=len(runs), by_old_service=by_old)
    require(len(runs) >= MIN_REQUESTS, f"{MIN_REQUESTS} requests run, found {len(runs)}")
    if with_trouble and SECOND_WEIGHTS[0]:
        share = SECOND_WEIGHTS[0] / sum(SECOND_WEIGHTS)
        return abs(by_old / len(runs) - share) <= MAX_SHARE_DIFFERENCE
    return by_old == 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
