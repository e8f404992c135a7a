"""Many callers of one service whose workers are partly sick, on a virtual clock.

Plays the product's own choice of workers (``Destinations``) and its judgement of them
(``WorkerCondition``), without connections: a caller's request reaches a worker after a hop,
waits for a slot, runs, and its answer comes back after another hop. What a worker's sidecar
tells control reaches every caller after ``CONTROL_SECONDS``.
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
"""Speeds of the workers, in turn."""

HOP_SECONDS = 0.0015
CONTROL_SECONDS = 0.2
"""From a sidecar's word to control until its callers know: merged twice for 50 ms."""

WORK_SPREAD = 0.5
"""Standard deviation of the logarithm of a run's time."""

_MEAN_OF_SPREAD = 1.133
"""Mean of a log-normal time of that spread whose median is 1."""

WARM_UP_SECONDS = 3.0
"""What is learnt in this time is not counted."""

_PRIORITY = 1


@dataclass(frozen=True)
class Shape:
    """A service, its callers and what ails its workers.

    :ivar work_seconds: mean time of a run at a worker of speed 1.
    :ivar load: part of all slots that is busy when every worker is well.
    :ivar sick_part: part of the workers that is sick.
    :ivar slower: how many times slower a sick worker is.
    :ivar failing: part of its runs that a sick worker fails, at once.
    :ivar told: whether callers are told what the workers' own sidecars see.
    """

    callers: int
    workers: int
    slots: int
    work_seconds: float
    load: float
    seconds: float = 12.0
    sick_part: float = 0.15
    slower: float = 5.0
    failing: float = 0.0
    told: bool = True


@dataclass
class Outcome:
    """What a trial came to.

    :ivar to_sick: requests sent to sick workers after the warm-up.
    :ivar sent: all requests sent after the warm-up.
    :ivar failed: runs that failed.
    :ivar refused: requests without a worker.
    :ivar told: judgements told to control, each then told to every caller.
    """

    to_sick: int = 0
    sent: int = 0
    failed: int = 0
    refused: int = 0
    told: int = 0
    seconds: list[float] = field(default_factory=list)

    @property
    def sick_share(self) -> float:
        """Part of the requests that went to sick workers."""
        return self.to_sick / max(1, self.sent)

    def quantile(self, part: float) -> float:
        """Return the seconds within which a part of the requests were answered."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@dataclass(eq=False)
class _Worker:
    node: str
    speed: float
    failing: float
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
    began_at: float
    tried: set[str] = field(default_factory=set)
    refusals: int = 0
    typical: float = 0.0
    destination: Destination | None = None


class Trial:
    """One play of a shape with a seed."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._random = Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.outcome = Outcome()
        sick = set(
            self._random.sample(range(shape.workers), round(shape.sick_part * shape.workers))
        )
        self._sick = {f"worker-{number}" for number in sick}
        self._workers = {
            f"worker-{number}": self._worker(number) for number in range(shape.workers)
        }
        whole = MemberDelta(True, [self._member(worker) for worker in self._workers.values()])
        self._callers = [self._caller(number, whole) for number in range(shape.callers)]
        self._times = [ExpectedLatencies() for _ in range(shape.callers)]
        self._rate = shape.load * shape.workers * shape.slots / shape.work_seconds

    def play(self) -> Outcome:
        """Return what became of the requests."""
        self._at(0.0, self._next_request)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _at(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._numbers), action))

    def _clock(self) -> float:
        return self._now

    # Parts.

    def _worker(self, number: int) -> _Worker:
        node = f"worker-{number}"
        sick = node in self._sick
        speed = SPEEDS[number % len(SPEEDS)] / (self._shape.slower if sick else 1.0)
        failing = self._shape.failing if sick else 0.0

        def news(_condition: Condition) -> None:
            self._tell(node)

        return _Worker(node, speed, failing, WorkerCondition(self._clock, news))

    def _caller(self, number: int, whole: MemberDelta) -> _Caller:
        random = Random(self._random.random())
        name, zone = f"caller-{number}", ZONES[number % len(ZONES)]
        destinations = Destinations(self._clock, name)
        destinations.apply(whole)
        choice = WorkerChoice(destinations, self._clock, random, name, zone)
        return _Caller(destinations, choice)

    def _member(self, worker: _Worker) -> Member:
        number = int(worker.node.rpartition("-")[2])
        told = worker.condition.reported
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
            faults=told.wire_faults,
            slowness=told.wire_slowness,
        )

    def _tell(self, node: str) -> None:
        if not self._shape.told:
            return
        worker = self._workers[node]
        self.outcome.told += 1
        worker.sequence += 1
        delta = MemberDelta(False, [self._member(worker)])

        def arrive() -> None:
            for caller in self._callers:
                caller.destinations.apply(delta)

        self._at(CONTROL_SECONDS, arrive)

    # Requests.

    def _next_request(self) -> None:
        self._send(_Request(self._random.randrange(self._shape.callers), self._now))
        if self._now < self._shape.seconds:
            self._at(self._random.expovariate(self._rate), self._next_request)

    def _send(self, request: _Request) -> None:
        caller = self._callers[request.caller]
        destination = caller.choice.choose(SERVICE, request.tried, _PRIORITY)
        if destination is None:
            self.outcome.refused += 1
            return
        request.tried.add(destination.node)
        request.destination = destination
        request.typical = self._times[request.caller].of(ROUTE)
        destination.record_sent()
        worker = self._workers[destination.node]
        self._at(HOP_SECONDS, lambda: self._arrive(worker, request))

    def _arrive(self, worker: _Worker, request: _Request) -> None:
        if self._now > WARM_UP_SECONDS:
            self.outcome.sent += 1
            self.outcome.to_sick += worker.node in self._sick
        if worker.running < self._shape.slots:
            self._run(worker, request)
        else:
            worker.queue.append(request)

    def _run(self, worker: _Worker, request: _Request) -> None:
        worker.running += 1
        failed = self._random.random() < worker.failing
        drawn = self._random.lognormvariate(0, WORK_SPREAD) / _MEAN_OF_SPREAD
        seconds = HOP_SECONDS if failed else drawn * self._shape.work_seconds / worker.speed
        self._at(seconds, lambda: self._ended(worker, request, failed, seconds))

    def _ended(self, worker: _Worker, request: _Request, failed: bool, seconds: float) -> None:
        worker.running -= 1
        known = request.typical > 0 and not failed
        worker.condition.run_ended(
            failed, latency_ratio(request.typical, seconds) if known else None
        )
        if worker.queue:
            self._run(worker, worker.queue.pop(0))
        told = worker.condition.now() if self._shape.told else Condition()
        load = Load(worker.running, len(worker.queue), self._shape.slots, told)
        self._at(HOP_SECONDS, lambda: self._answered(request, failed, seconds, load))

    def _answered(self, request: _Request, failed: bool, seconds: float, load: Load) -> None:
        destination = request.destination
        assert destination is not None
        destination.record_finished()
        destination.record_answer(self._now, load)
        if failed:
            self.outcome.failed += 1
            return
        ratio = self._times[request.caller].ratio(ROUTE, seconds)
        destination.slowness.sample(self._now, ratio)
        if self._now > WARM_UP_SECONDS:
            self.outcome.seconds.append(self._now - request.began_at)
