"""``cranklane-lab fleet``: control machines as real processes that are killed, frozen and emptied.

An operator keeps editing one document while each failure happens, and real
nodes follow. At the end nothing accepted may be missing, and the last accepted
version must be in force on every node.
"""

from __future__ import annotations

import shutil
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from result import Err

from cranklane.cli.client import OperatorClient
from cranklane.runtime.interface import Address, format_address
from cranklane_lab.deployments import PAIR
from cranklane_lab.fleet.processes import FleetProcess
from cranklane_lab.fleet.site import (
    OPERATOR_TOKEN,
    ControlAddresses,
    WorkerPair,
    new_addresses,
    start_control,
    start_pair,
)

CONTROLS = 3
START_SECONDS = 30.0
FREEZE_SECONDS = 8.0
IN_FORCE_SECONDS = 9.0


@dataclass
class _Accepted:
    """What the operator was told.

    :ivar longest_gap: most seconds between two accepted edits.
    """

    versions: list[int] = field(default_factory=list)
    unclear: int = 0
    longest_gap: float = 0.0


class ControlRun:
    """One run.

    :ivar problems: what was not as it should be.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._addresses: list[ControlAddresses] = []
        self._controls: list[FleetProcess] = []
        self._pairs: list[WorkerPair] = []
        self._editing = True
        self._accepted = _Accepted()
        self.problems: list[str] = []

    def run(self) -> None:
        """Start, let each failure happen under edits, check."""
        self._addresses = new_addresses(CONTROLS)
        self._controls = [self._start(number) for number in range(CONTROLS)]
        try:
            if not self._wait_for_voters():
                self.problems.append("the group has not formed")
                return
            listen = [item.listen for item in self._addresses]
            self._pairs = [
                start_pair(PAIR, self._folder, listen, plan.name, 0) for plan in PAIR.services
            ]
            editor = gevent.spawn(self._keep_editing)
            gevent.sleep(1.0)
            for failure in (self._kill_leader, self._freeze_leader, self._empty_two_in_turn):
                failure()
            self._editing = False
            editor.join()
            self._check()
        finally:
            self._stop()

    def _start(self, number: int) -> FleetProcess:
        return start_control(
            PAIR,
            self._folder,
            f"control-{number}",
            self._addresses[number],
            self._addresses,
            founder=number == 0,
        )

    def _stop(self) -> None:
        pairs = [process for pair in self._pairs for process in (pair.worker, pair.node)]
        for process in [*self._controls, *pairs]:
            if process.alive:
                process.kill()

    # Operators.

    def _client(self, addresses: list[Address] | None = None) -> OperatorClient:
        chosen = addresses or [item.http for item in self._addresses]
        return OperatorClient([format_address(address) for address in chosen], OPERATOR_TOKEN)

    def _call(self, method: str, path: str, media: Any = None) -> dict[str, Any] | None:
        result = self._client().call(method, path, media)
        return None if isinstance(result, Err) else result.ok_value

    def _keep_editing(self) -> None:
        version, number, last = 0, 0, time.monotonic()
        while self._editing:
            number += 1
            media = {
                "text": f"{PAIR.policy()}\n# edit {number}\n",
                "base": version,
                "request": f"edit-{number}",
            }
            answer = None
            while answer is None:
                answer = self._call("PUT", f"/v1/documents/{PAIR.name}", media)
                self._accepted.unclear += answer is None
            if answer.get("result") != "accepted":
                self.problems.append(f"edit {number}: {answer}")
                return
            version = answer["version"]
            now = time.monotonic()
            self._accepted.versions.append(version)
            self._accepted.longest_gap = max(self._accepted.longest_gap, now - last)
            last = now
            gevent.sleep(0.05)

    # Failures.

    def _leader(self) -> int:
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            answer = self._call("GET", "/v1/snapshot") and self._call("GET", "/v1/replicas")
            for item in (answer or {}).get("replicas", []):
                if item["leads"]:
                    return int(item["name"].rpartition("-")[2])
            gevent.sleep(0.2)
        raise RuntimeError("no control process leads")

    def _kill_leader(self) -> None:
        number = self._leader()
        self._controls[number].kill()
        gevent.sleep(1.0)
        self._controls[number] = self._start(number)
        print(f"control-{number} led: killed, started again after 1 s", flush=True)
        gevent.sleep(4.0)

    def _freeze_leader(self) -> None:
        number = self._leader()
        self._controls[number].freeze()
        gevent.sleep(FREEZE_SECONDS)
        self._controls[number].thaw()
        print(f"control-{number} led: stopped for {FREEZE_SECONDS:g} s", flush=True)
        gevent.sleep(3.0)

    def _empty_two_in_turn(self) -> None:
        """Empty one data folder, and a second one as soon as the first is repaired."""
        leader = self._leader()
        for number in ((leader + 1) % CONTROLS, leader):
            self._controls[number].kill()
            shutil.rmtree(self._folder / f"control-{number}")
            self._controls[number] = self._start(number)
            started = time.monotonic()
            if not self._wait_for_voters():
                self.problems.append(f"control-{number} has not become a voter again")
                return
            print(
                f"control-{number} lost its disk: votes again after "
                f"{time.monotonic() - started:.1f} s",
                flush=True,
            )

    def _wait_for_voters(self) -> bool:
        """Wait until every process is a voter under its present identity."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if self._all_vote():
                return True
            gevent.sleep(0.2)
        return False

    def _all_vote(self) -> bool:
        own = set()
        voters: set[str] = set()
        for item in self._addresses:
            result = self._client([item.http]).call("GET", "/v1/replicas")
            if isinstance(result, Err):
                return False
            group = result.ok_value
            own.add(group["identity"])
            voters = {
                replica["identity"] for replica in group["replicas"] if replica["role"] == "voter"
            }
            if voters and group["identity"] not in voters:
                return False
        return len(own) == CONTROLS and own == voters

    # Checks.

    def _check(self) -> None:
        accepted = self._accepted
        document = self._call("GET", f"/v1/documents/{PAIR.name}")
        if document is None or document["version"] != accepted.versions[-1]:
            self.problems.append(f"accepted {accepted.versions[-1]}, there is {document}")
        if accepted.versions != sorted(set(accepted.versions)):
            self.problems.append("versions of accepted edits do not rise")
        path = f"/v1/wait?version={accepted.versions[-1]}&seconds={IN_FORCE_SECONDS}"
        waited = self._call("GET", path)
        if waited is None or not waited["in_force"]:
            self.problems.append(f"the last version is not in force: {waited}")
        print(
            f"{len(accepted.versions)} edits accepted, longest gap between two "
            f"{accepted.longest_gap:.1f} s, {accepted.unclear} calls without an answer; "
            f"all versions in order, the last one in force on {len(self._pairs)} nodes"
            if not self.problems
            else f"{len(accepted.versions)} edits accepted"
        )


def run_control() -> int:
    """Run it; return the exit status."""
    with tempfile.TemporaryDirectory(prefix="cranklane-fleet-") as folder:
        run = ControlRun(Path(folder))
        run.run()
        for problem in run.problems:
            print(f"problem: {problem}")
        return 1 if run.problems else 0
