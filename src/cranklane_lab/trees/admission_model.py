"""Model of tree admission without a network: gates, entries and call trees on a virtual clock.

It uses the modules of ``cranklane.sidecar.tree_admission`` and the real queue, with ideal messages.
A root request enters at a random entry and makes sequential calls to one service. A call goes to
the less loaded of two drawn workers, and once to another one if it is refused.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import gevent

from cranklane.outcome import Reason
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.request.tree_ticket import RANKS_PER_PRIORITY
from cranklane.sidecar.tree_admission.level import AdmissionLevel
from cranklane.sidecar.tree_admission.root_admission import RootAdmission
from cranklane.sidecar.tree_admission.ticket import TicketIssuer

CALLER_SECONDS = 0.05
"""Time that a caller works before each of its calls."""

CALL_ATTEMPTS = 3
ROUTE = "root"


@dataclass
class ModelSettings:
    """What is modelled.

    :ivar load: offered load as a fraction of the capacity, by the second since the start.
    :ivar shares: shares of the load by priority.
    :ivar calls: sequential calls of a root request.
    :ivar uses_levels: whether levels are stated and entries apply them.
    """

    load: Callable[[float], float]
    shares: tuple[float, ...] = (0.3, 0.3, 0.4)
    calls: int = 4
    workers: int = 8
    entries: int = 12
    slots: int = 30
    call_seconds: float = 0.041
    wait_seconds: float = 0.3
    seconds: float = 10.0
    uses_levels: bool = True
    seed: int = 1

    @property
    def roots_per_second(self) -> float:
        """Roots per second that fill the capacity."""
        return self.workers * self.slots / (self.call_seconds * self.calls)


class ModelWorker:
    """A worker with its gate."""

    def __init__(self, name: str, clock: Callable[[], float], slots: int) -> None:
        self.name = name
        self.speed = 1.0
        self.slots = Slots(clock)
        self.slots.resize(slots)
        self.level = AdmissionLevel(clock, self.slots.starts_per_second, self.slots.idle_fraction)


@dataclass
class ModelResult:
    """Counts of one run of the model.

    :ivar offered: root requests by priority.
    :ivar served: successful root requests by priority.
    :ivar useful: slot seconds of successful trees, by the whole second in which a call started.
    :ivar wasted: those of failed trees.
    :ivar began: slot seconds that the trees admitted in each whole second need.
    :ivar levels: combined level at one entry, by tenth of a second.
    """

    offered: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    useful: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    wasted: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    began: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    levels: list[int] = field(default_factory=list)

    def wasted_fraction(self, begin: int = 0) -> float:
        """Return the fraction of the slot time from a second on that failed trees used."""
        wasted = sum(seconds for at, seconds in self.wasted.items() if at >= begin)
        useful = sum(seconds for at, seconds in self.useful.items() if at >= begin)
        return wasted / max(wasted + useful, 1e-9)

    def served_fraction(self, priority: int | None = None) -> float:
        """Return the fraction served of a priority, or of all requests."""
        if priority is None:
            return self.served.total() / self.offered.total()
        return self.served[priority] / max(1, self.offered[priority])


class AdmissionModel:
    """One run of the model; must be used within ``run_virtual``."""

    def __init__(self, settings: ModelSettings, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.result = ModelResult()
        self._clock = clock
        self._began_at = clock()
        self._random = Random(settings.seed)
        self.workers = [
            ModelWorker(f"w{number}", clock, settings.slots) for number in range(settings.workers)
        ]
        self.entries = [RootAdmission(clock) for _ in range(settings.entries)]
        self.issuers = [TicketIssuer(clock, self._random) for _ in range(settings.entries)]

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._clock() - self._began_at

    def run(self) -> ModelResult:
        """Send the traffic and return the counts."""
        settings = self.settings
        tasks = [gevent.spawn(self._watch)]
        priorities = range(len(settings.shares))
        while self.now < settings.seconds:
            rate = settings.roots_per_second * settings.load(self.now)
            gevent.sleep(self._random.expovariate(rate))
            priority = self._random.choices(priorities, settings.shares)[0]
            tasks.append(gevent.spawn(self._root, priority))
        gevent.joinall(tasks)
        return self.result

    def _watch(self) -> None:
        while self.now < self.settings.seconds:
            self.result.levels.append(self.entries[0].level(ROUTE))
            gevent.sleep(0.1)

    def _root(self, priority: int) -> None:
        self.result.offered[priority] += 1
        number = self._random.randrange(len(self.entries))
        entry, issuer = self.entries[number], self.issuers[number]
        ticket = issuer.draw(priority)
        assert ticket.rank is not None
        served = entry.admits(ROUTE, ticket.rank) and self._tree(entry, ticket.rank)
        self.result.served[priority] += served
        issuer.record(priority, ticket, served)

    def _tree(self, entry: RootAdmission, rank: int) -> bool:
        began_at = self._clock()
        settings = self.settings
        self.result.began[int(self.now)] += settings.calls * settings.call_seconds
        spent: list[tuple[int, float]] = []
        served = True
        for _ in range(settings.calls):
            gevent.sleep(CALLER_SECONDS * self._random.uniform(0.5, 1.5))
            if not self._call(entry, rank, began_at, spent):
                served = False
                break
        counts = self.result.useful if served else self.result.wasted
        for second, seconds in spent:
            counts[second] += seconds
        return served

    def _call(
        self, entry: RootAdmission, rank: int, began_at: float, spent: list[tuple[int, float]]
    ) -> bool:
        tried: set[str] = set()
        for _ in range(CALL_ATTEMPTS):
            worker = self._choose(tried)
            tried.add(worker.name)
            if self._attempt(worker, rank, self._clock() - began_at, spent):
                self._learn(entry, worker, True)
                return True
            self._learn(entry, worker, False)
        return False

    def _choose(self, tried: set[str]) -> ModelWorker:
        candidates = [
            worker for worker in self.workers if worker.slots.limit > 0 and worker.name not in tried
        ]
        drawn = self._random.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda worker: worker.slots.running + worker.slots.queued)

    def _learn(self, entry: RootAdmission, worker: ModelWorker, ran: bool) -> None:
        if self.settings.uses_levels:
            entry.record(ROUTE, worker.name, worker.level.stated, ran)

    def _attempt(
        self, worker: ModelWorker, rank: int, age: float, spent: list[tuple[int, float]]
    ) -> bool:
        wait = self.settings.wait_seconds
        priority, low_byte = divmod(rank, RANKS_PER_PRIORITY)
        level = worker.level
        level.arrived(rank, age)
        arrived_at = self._clock()
        order = low_byte if level.is_counting and self.settings.uses_levels else 0
        reason = worker.slots.acquire(priority, wait, lambda _waiter: None, age, order)
        level.decided(reason is not Reason.NONE, self._clock() - arrived_at, wait)
        if reason is not Reason.NONE:
            return False
        seconds = self.settings.call_seconds * self._random.uniform(0.5, 1.5) * worker.speed
        spent.append((int(self.now), seconds))
        gevent.sleep(seconds)
        worker.slots.release(seconds)
        return True
