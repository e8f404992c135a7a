"""Discrete-event simulation of a service with unhealthy workers and many callers.

Uses the production code for worker choice (``WorkerChoice``) and worker health
(``WorkerCondition``). Each request and response takes ``HOP_SECONDS``; a worker queues
requests beyond its slots. A condition report reaches all callers after
``REPORT_DELAY_SECONDS``.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.worker_choice import WorkerChoice
from cranklane.sidecar.worker.condition import Condition, WorkerCondition
from cranklane.sidecar.worker.slowness import ExpectedLatencies, latency_ratio

SERVICE = "service"
ROUTE = "route"
ZONES = ("a", "b", "c", "d", "e", "f")
SPEEDS = (0.7, 1.0, 1.0, 1.3)
"""Relative speeds, assigned to the workers in turn."""

HOP_SECONDS = 0.0015
REPORT_DELAY_SECONDS = 0.2
"""Delay of a report from a sidecar to all callers; includes two batching delays of 50 ms."""

RUN_TIME_SIGMA = 0.5
"""Standard deviation of the logarithm of the run time."""

_RUN_TIME_MEAN = 1.133
"""Mean of the log-normal distribution with median 1 and :data:`RUN_TIME_SIGMA`."""

WARM_UP_SECONDS = 3.0
"""Requests before this time are excluded from the shares and latencies."""

_PRIORITY = 1


@dataclass(frozen=True)
class Shape:
    """Size, load and faults of a simulated service.

    :ivar slots: concurrent requests per worker.
    :ivar work_seconds: mean run time at a worker of speed 1.
    :ivar load: busy fraction of all slots if every worker is healthy.
    :ivar seconds: simulated time.
    :ivar unhealthy_fraction: fraction of workers that are unhealthy.
    :ivar slowdown_factor: factor by which an unhealthy worker is slower.
    :ivar failed_run_fraction: fraction of runs that fail at an unhealthy worker, each after
        ``HOP_SECONDS``.
    :ivar shared_reports: whether sidecars report the condition of their workers to the callers.
    """

    callers: int
    workers: int
    slots: int
    work_seconds: float
    load: float
    seconds: float = 12.0
    unhealthy_fraction: float = 0.15
    slowdown_factor: float = 5.0
    failed_run_fraction: float = 0.0
    shared_reports: bool = True


@dataclass
class Outcome:
    """Results of a trial.

    :ivar to_unhealthy: requests that reached unhealthy workers after the warm-up.
    :ivar sent: all requests that reached workers after the warm-up.
    :ivar failed: failed runs, warm-up included.
    :ivar refused: requests for which no worker was available, warm-up included.
    :ivar shared_reports: condition reports, each delivered to every caller.
    :ivar seconds: latencies of the successful requests after the warm-up.
    """

    to_unhealthy: int = 0
    sent: int = 0
    failed: int = 0
    refused: int = 0
    shared_reports: int = 0
    seconds: list[float] = field(default_factory=list)

    @property
    def unhealthy_share(self) -> float:
        """Fraction of requests that went to unhealthy workers."""
        return self.to_unhealthy / max(1, self.sent)

    def quantile(self, fraction: float) -> float:
        """Return the latency, in seconds, that a fraction of the requests stay within."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@dataclass(eq=False)
class _Worker:
    node: str
    speed: float
    failed_run_fraction: float
    condition: WorkerCondition
    sequence: int = 1
    running: int = 0
    queue: list[_Request] = field(default_factory=list)


@dataclass(frozen=True)
class _Caller:
    destinations: Destinations
    choice: WorkerChoice


@dataclass(eq=False)
class _Request:
    caller: int
    started_at: float
    tried_nodes: set[str] = field(default_factory=set)
    refusals: int = 0
    expected_seconds: float = 0.0
    destination: Destination | None = None


class Trial:
    """Simulation of a shape with a seed."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._random = Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self.outcome = Outcome()
        unhealthy_numbers = set(
            self._random.sample(
                range(shape.workers), round(shape.unhealthy_fraction * shape.workers)
            )
        )
        self._unhealthy_nodes = {f"worker-{number}" for number in unhealthy_numbers}
        self._workers = {
            f"worker-{number}": self._new_worker(number) for number in range(shape.workers)
        }
        full_list = MemberDelta(
            True, [self._member_record(worker) for worker in self._workers.values()]
        )
        self._callers = [self._new_caller(number, full_list) for number in range(shape.callers)]
        self._expected_latencies = [ExpectedLatencies() for _ in range(shape.callers)]
        self._arrival_rate = shape.load * shape.workers * shape.slots / shape.work_seconds

    def play(self) -> Outcome:
        """Run the simulation and return its results."""
        self._schedule(0.0, self._send_next_request)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._event_numbers), action))

    def _clock(self) -> float:
        return self._now

    def _new_worker(self, number: int) -> _Worker:
        node = f"worker-{number}"
        is_unhealthy = node in self._unhealthy_nodes
        speed = SPEEDS[number % len(SPEEDS)] / (
            self._shape.slowdown_factor if is_unhealthy else 1.0
        )
        failed_run_fraction = self._shape.failed_run_fraction if is_unhealthy else 0.0

        def on_report(_condition: Condition) -> None:
            self._send_report(node)

        return _Worker(node, speed, failed_run_fraction, WorkerCondition(self._clock, on_report))

    def _new_caller(self, number: int, full_list: MemberDelta) -> _Caller:
        random = Random(self._random.random())
        name, zone = f"caller-{number}", ZONES[number % len(ZONES)]
        destinations = Destinations(self._clock, name)
        destinations.apply(full_list)
        choice = WorkerChoice(destinations, self._clock, random, name, zone)
        return _Caller(destinations, choice)

    def _member_record(self, worker: _Worker) -> Member:
        number = int(worker.node.rpartition("-")[2])
        condition = worker.condition.reported
        return Member(
            incarnation=1,
            sequence=worker.sequence,
            state=MemberState.LIVE,
            slots=self._shape.slots,
            node=worker.node,
            service=SERVICE,
            zone=ZONES[number % len(ZONES)],
            address=f"10.0.0.{number + 1}:80",
            instance=worker.node,
            faults=condition.wire_faults,
            slowness=condition.wire_slowness,
        )

    def _send_report(self, node: str) -> None:
        if not self._shape.shared_reports:
            return
        worker = self._workers[node]
        self.outcome.shared_reports += 1
        worker.sequence += 1
        delta = MemberDelta(False, [self._member_record(worker)])

        def deliver() -> None:
            for caller in self._callers:
                caller.destinations.apply(delta)

        self._schedule(REPORT_DELAY_SECONDS, deliver)

    def _send_next_request(self) -> None:
        self._send(_Request(self._random.randrange(self._shape.callers), self._now))
        if self._now < self._shape.seconds:
            self._schedule(self._random.expovariate(self._arrival_rate), self._send_next_request)

    def _send(self, request: _Request) -> None:
        caller = self._callers[request.caller]
        destination = caller.choice.choose(SERVICE, request.tried_nodes, _PRIORITY)
        if destination is None:
            self.outcome.refused += 1
            return
        request.tried_nodes.add(destination.node)
        request.destination = destination
        request.expected_seconds = self._expected_latencies[request.caller].of((ROUTE, SERVICE))
        destination.record_sent()
        worker = self._workers[destination.node]
        self._schedule(HOP_SECONDS, lambda: self._on_arrival(worker, request))

    def _on_arrival(self, worker: _Worker, request: _Request) -> None:
        if self._now > WARM_UP_SECONDS:
            self.outcome.sent += 1
            self.outcome.to_unhealthy += worker.node in self._unhealthy_nodes
        if worker.running < self._shape.slots:
            self._run(worker, request)
        else:
            worker.queue.append(request)

    def _run(self, worker: _Worker, request: _Request) -> None:
        worker.running += 1
        failed = self._random.random() < worker.failed_run_fraction
        run_factor = self._random.lognormvariate(0, RUN_TIME_SIGMA) / _RUN_TIME_MEAN
        seconds = HOP_SECONDS if failed else run_factor * self._shape.work_seconds / worker.speed
        self._schedule(seconds, lambda: self._on_run_end(worker, request, failed, seconds))

    def _on_run_end(self, worker: _Worker, request: _Request, failed: bool, seconds: float) -> None:
        worker.running -= 1
        has_expected_latency = request.expected_seconds > 0 and not failed
        worker.condition.run_ended(
            failed,
            latency_ratio(request.expected_seconds, seconds) if has_expected_latency else None,
        )
        if worker.queue:
            self._run(worker, worker.queue.pop(0))
        condition = worker.condition.now() if self._shape.shared_reports else Condition()
        load = Load(worker.running, len(worker.queue), self._shape.slots, condition)
        self._schedule(HOP_SECONDS, lambda: self._on_answer(request, failed, seconds, load))

    def _on_answer(self, request: _Request, failed: bool, seconds: float, load: Load) -> None:
        destination = request.destination
        assert destination is not None
        destination.record_finished()
        destination.record_answer(self._now, load)
        if failed:
            self.outcome.failed += 1
            return
        ratio = self._expected_latencies[request.caller].ratio((ROUTE, SERVICE), seconds)
        destination.slowness.sample(self._now, ratio)
        if self._now > WARM_UP_SECONDS:
            self.outcome.seconds.append(self._now - request.started_at)
