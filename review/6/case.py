"""Case 6: a call that a stopping sidecar has accepted is cut while its worker is at work on it."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_fleet import GRACE_SECONDS, Client, Fleet, RouteTable, Worker, require, run_case, wait_for

HOST = "app.example"
PARENTS = 6
CALL_AFTER_MS = 4500
CALL_WORK_MS = 1200
DEADLINE_MS = 6000
EXCUSED_SECONDS = 3.0
"""A request sent no later than this after the SIGTERM may be cut at the end of the grace time."""


def case(fleet: Fleet, with_trouble: bool) -> bool:
    services = ("front", "back")
    workers = {}
    for service in services:
        ip = fleet.new_machine()
        workers[service] = Worker(fleet, ip, service, f"i-{service}", 60)
        fleet.start_sidecar(f"side-{service}", ip, service)
    front, back = workers["front"], workers["back"]
    front.call = (HOST, f"/back/work-{CALL_WORK_MS}/")
    table = RouteTable(1, 0, services)
    table.route("r-front", "/front/", "front", timeout_ms=DEADLINE_MS)
    table.route("r-back", "/back/", "back", timeout_ms=DEADLINE_MS)
    fleet.put_in_force(table)
    for worker in fleet.workers:
        fleet.wait_ready(worker.ip)
    time.sleep(2.0)

    clients = []
    for number in range(PARENTS):
        arguments = (HOST, f"/front/call-{CALL_AFTER_MS}/", f"{number:016x}", DEADLINE_MS)
        client = Client(fleet, back.ip)
        clients.append(threading.Thread(target=client.request, args=arguments))
        clients[-1].start()
    wait_for(lambda: len(front.runs) == PARENTS, 5.0, "all requests run")

    stopped_at = time.monotonic()
    if with_trouble:
        fleet.signal("side-front", signal.SIGTERM)
        # The platform sends SIGKILL after the grace time and starts the process again.
        wait_for(
            lambda: fleet.processes["side-front"].poll() is not None, GRACE_SECONDS, "the stop"
        )
        fleet.record("stopped", seconds=round(time.monotonic() - stopped_at, 3))
        fleet.start("side-front", "sidecar")
    for thread in clients:
        thread.join()

    require(len(front.calls) == PARENTS, f"{PARENTS} calls made, found {len(front.calls)}")
    passed_on = {run.request for run in back.runs}
    cut = 0
    for call in front.calls:
        sent_after = call.sent_at - stopped_at
        left = call.deadline - call.ended_at
        fleet.record(
            "call",
            id=call.request,
            complete=call.complete,
            passed_on=call.request in passed_on,
            sent_after_signal=round(sent_after, 3),
            left_until_deadline=round(left, 3),
        )
        # Excused: a call sent in time for the stop, and one whose deadline was reached.
        excused = sent_after <= EXCUSED_SECONDS or left <= 0
        cut += call.request in passed_on and not call.complete and not excused
    fleet.record("calls", made=len(front.calls), passed_on_and_cut=cut)
    return cut == 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
