"""Case 6: a call that a stopping sidecar has accepted is cut while its worker is at work on it."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_fleet import GRACE_SECONDS, Client, Fleet, RouteTable, Worker, run_case, wait_for

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
    assert fleet.order(table.document()) == 200
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

    runs = {run.request: run for run in back.runs}
    cut = 0
    for call, answer in front.call_answers:
        complete = answer is not None and answer.complete
        run = runs.get(call)
        seconds = run.began_at - stopped_at if run is not None else None
        fleet.record("call", id=call, complete=complete, run_began_after_signal=seconds)
        if not complete and seconds is not None and seconds > EXCUSED_SECONDS:
            cut += 1
    fleet.record("calls", made=len(front.call_answers), passed_on_and_cut=cut)
    return cut == 0 and len(front.call_answers) == PARENTS


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
