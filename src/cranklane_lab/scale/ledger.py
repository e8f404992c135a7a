"""How many entries a second one ledger group takes, and the time it adds to a once-call."""

from __future__ import annotations

import json
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import gevent
from hdrh.histogram import HdrHistogram
from result import Err, Ok

from cranklane.ledger.store import LedgerDecision, LedgerStore
from cranklane.node.ledger_client import LedgerClient
from cranklane.node.members import MemberTable
from cranklane.outcome import Outcome
from cranklane.policy.names import SYSTEM_TENANT
from cranklane.records.messages import (
    Hello,
    LedgerBatch,
    LedgerBegin,
    LedgerFinish,
    Member,
    MemberDelta,
)
from cranklane.runtime.interface import Address, format_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import PAIR
from cranklane_lab.fleet.processes import FleetProcess
from cranklane_lab.fleet.site import loopback, start_ledger

REPLICAS = 3
STEP_SECONDS = 8.0
START_SECONDS = 20.0
_ASK_SECONDS = 5.0
_MICROSECOND = 1_000_000
_ANSWER = b"x" * 200
STATE_ENTRIES = 200_000
_STATE_BATCH = 200


@dataclass
class LedgerStep:
    """Measurements with a number of once-calls at a time.

    :ivar entries_per_second: entries begun and finished.
    :ivar begin_p50: milliseconds until the ledger's word.
    :ivar leader_cpu: part of a core; the leader is the busiest replica.
    :ivar leader_memory: resident bytes at the end of the step.
    """

    concurrency: int
    entries_per_second: float
    begin_p50: float
    begin_p99: float
    leader_cpu: float
    follower_cpu: float
    leader_memory: int
    entries: int


class LedgerRun:
    """One group of real replicas and a load from this process."""

    def __init__(self, folder: Path) -> None:
        self._runtime = RealRuntime()
        self._addresses = [loopback() for _ in range(REPLICAS)]
        nowhere = [loopback()]
        self._replicas = [
            start_ledger(PAIR, folder, nowhere, self._addresses, number)
            for number in range(REPLICAS)
        ]
        members = MemberTable(self._runtime.monotonic)
        members.apply(MemberDelta(True, [self._member(item) for item in self._addresses]))
        self._client = LedgerClient(self._runtime, members, lambda: Hello(node="load"))
        self._count = 0
        self._histogram = HdrHistogram(1, 60 * _MICROSECOND, 3)

    @staticmethod
    def _member(address: Address) -> Member:
        text = format_address(address)
        return Member(1, 1, 0, f"replica-{address[1]}", SYSTEM_TENANT, "main", PAIR.zones[0], text)

    def wait(self) -> bool:
        """Wait until the group answers; return False when it takes too long."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if isinstance(self._client.begin("main", self._begin("ready"), 1.0), Ok):
                gevent.sleep(3.0)
                return True
            gevent.sleep(0.2)
        return False

    def _begin(self, key: str) -> LedgerBegin:
        attempt = self._runtime.random.getrandbits(64)
        return LedgerBegin(attempt, 3000, 5000, b"d" * 32, "pair", "pair.callee", key)

    def _once(self) -> None:
        self._count += 1
        request = self._begin(f"key-{self._count}")
        started = time.perf_counter()
        answer = self._client.begin("main", request, _ASK_SECONDS)
        self._histogram.record_value(int((time.perf_counter() - started) * _MICROSECOND))
        if isinstance(answer, Err) or answer.ok_value.decision != LedgerDecision.RUN:
            raise RuntimeError(f"a new key was not granted: {answer}")
        finish = LedgerFinish(
            request.attempt, Outcome.ANSWERED, 200, "pair", "pair.callee", request.key, [], _ANSWER
        )
        done = self._client.finish("main", finish, _ASK_SECONDS)
        if done is None or not done.stored:
            raise RuntimeError("an end was not stored")

    def measure(self, concurrency: int) -> LedgerStep:
        """Keep a number of once-calls going for a while."""
        self._histogram.reset()
        until = time.monotonic() + STEP_SECONDS
        begun = self._count

        def caller() -> None:
            while time.monotonic() < until:
                self._once()

        before = [process.cpu_seconds() for process in self._replicas]
        started = time.monotonic()
        tasks = [gevent.spawn(caller) for _ in range(concurrency)]
        gevent.joinall(tasks, raise_error=True)
        elapsed = time.monotonic() - started
        used = [
            (process.cpu_seconds() - cpu) / elapsed
            for process, cpu in zip(self._replicas, before, strict=True)
        ]
        return LedgerStep(
            concurrency=concurrency,
            entries_per_second=(self._count - begun) / elapsed,
            begin_p50=self._histogram.get_value_at_percentile(50) / 1000,
            begin_p99=self._histogram.get_value_at_percentile(99) / 1000,
            leader_cpu=max(used),
            follower_cpu=min(used),
            leader_memory=max(process.resident_bytes() for process in self._replicas),
            entries=self._count,
        )

    @property
    def processes(self) -> list[FleetProcess]:
        """The replicas."""
        return self._replicas


@dataclass
class StateCost:
    """What a state of many started entries costs.

    :ivar entry_bytes: bytes of one entry in a snapshot.
    :ivar pack_seconds: to put the whole state into a snapshot, in one piece.
    :ivar restore_seconds: to read it back.
    """

    entries: int
    entry_bytes: float
    pack_seconds: float
    restore_seconds: float


def measure_state(entries: int) -> StateCost:
    """Measure a state's snapshot in this process."""
    store = LedgerStore()
    for first in range(0, entries, _STATE_BATCH):
        begins = [
            LedgerBegin(number, 3000, 5000, b"d" * 32, "pair", "pair.callee", f"key-{number}")
            for number in range(first, first + _STATE_BATCH)
        ]
        store.apply(LedgerBatch(1.0, begins, []).pack())
    started = time.perf_counter()
    state = store.pack()
    packed = time.perf_counter()
    LedgerStore().restore(state)
    return StateCost(entries, len(state) / entries, packed - started, time.perf_counter() - packed)


def run_ledger(steps: list[int], as_json: bool) -> int:
    """Run the steps and print them; return the exit status."""
    with tempfile.TemporaryDirectory(prefix="cranklane-ledger-") as folder:
        run = LedgerRun(Path(folder))
        try:
            if not run.wait():
                print("problem: the ledger group has not formed")
                return 1
            results = [run.measure(concurrency) for concurrency in steps]
        finally:
            for process in run.processes:
                process.kill()
    state = measure_state(STATE_ENTRIES)
    if as_json:
        print(json.dumps({"steps": [asdict(step) for step in results], "state": asdict(state)}))
        return 0
    print(
        f"{'at once':>8}{'entries/s':>11}{'p50 ms':>8}{'p99 ms':>8}{'leader cpu%':>13}"
        f"{'follower cpu%':>15}{'leader MB':>11}{'entries':>9}"
    )
    for step in results:
        print(
            f"{step.concurrency:>8}{step.entries_per_second:>11.0f}{step.begin_p50:>8.2f}"
            f"{step.begin_p99:>8.2f}{step.leader_cpu * 100:>13.1f}"
            f"{step.follower_cpu * 100:>15.1f}{step.leader_memory / 2**20:>11.1f}"
            f"{step.entries:>9}"
        )
    print(
        f"state of {state.entries} started entries: {state.entry_bytes:.0f} bytes each, packed in "
        f"{state.pack_seconds:.2f} s, read back in {state.restore_seconds:.2f} s"
    )
    return 0
