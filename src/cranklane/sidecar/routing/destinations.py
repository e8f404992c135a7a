"""The workers of every service, each behind its own sidecar, and their load."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from gevent.event import Event

from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.records.messages import Member, MemberDelta
from cranklane.runtime.interface import Address, parse_address
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.retry_budget import FleetSize
from cranklane.sidecar.worker.condition import WELL, Condition
from cranklane.sidecar.worker.slowness import TOLERATED, Slowness

EJECT_SECONDS = 1.0
"""A destination that could not be reached gets nothing for this long at first."""

MAX_EJECT_SECONDS = 4.0
FAILURES_BEFORE_EJECTION = 3
FULL_SECONDS = 0.02
"""A destination that had no room for a request is not asked for this long: under
overload most requests would be sent to be refused."""

UNCONFIRMED_SECONDS = 10.0
"""A destination that control leaves out of a whole list, or no longer hears of, is
kept for this long after that and after each answer of its own."""

OTHER_ZONE_COST = 1.15
"""A run in another zone counts as this much longer: bytes between zones are paid for, and
each of the two ways takes a while."""

SPREAD_COST = 1.0
"""Runs that a worker with all its slots taken costs more than an idle one, besides the
wait there: equals share the load, a new worker gets some at once, and one that is slow,
and so has more under way than others, gets less before anything else tells of it."""

FAULTS_COST = 8.0
"""How many times slower a worker counts that fails every run."""

CHOICES = 16
"""Of more destinations than this only so many are compared: the best of them is hardly
worse than the best of all, and a call costs the same in a service of any size."""

OWN_ZONE_CHOICES = 8
"""So many of those are of the own zone, where there are as many."""

WIDEN_LOAD = 0.5
"""When the best of its subset is loaded this much, a process looks further."""

NO_WORKER = (
    Reason.WORKER_UNREACHABLE,
    Reason.WORKER_ENDED,
    Reason.WORKER_LEFT,
)
"""Failures that tell that nobody listens at the worker's address."""

UNREACHABLE = (Reason.PEER_UNREACHABLE, Reason.PEER_LOST)
"""Failures after which a destination is tried with requests only once a
connection to it has succeeded."""


@dataclass(slots=True, eq=False)
class Destination:
    """One worker and what this process knows of its load.

    :ivar reported: requests running or waiting there, by its newest answer.
    :ivar opened_since: requests sent there from here since that answer.
    :ivar in_flight: requests sent there from here without an answer yet.
    :ivar full_until: until when it is taken to have no room, after it said so.
    :ivar full_priority: for requests of this priority and less important ones.
    :ivar removed: whether it is a destination no more.
    :ivar confirmed_at: since when only its own answers tell that it is there, or the
        last of them; None while control says so.
    :ivar told: how its own sidecar judges the worker, as last told with an answer or by
        control, at ``told_at``.
    :ivar told_by_control: what control has passed on last.
    :ivar slowness: how the times of runs sent from here compare with those of others.
    """

    node: str
    incarnation: int
    sequence: int
    service: str
    zone: str
    address: Address
    instance: str
    state: MemberState
    slots: int
    reported: int = 0
    opened_since: int = 0
    in_flight: int = 0
    told: Condition = WELL
    told_at: float = 0.0
    told_by_control: Condition = WELL
    slowness: Slowness = field(default_factory=Slowness)
    failures: int = 0
    ejected_until: float = 0.0
    full_until: float = 0.0
    full_priority: int = 0
    confirmed_at: float | None = None
    removed: bool = False

    def load(self) -> float:
        """Return the estimated requests there for each of its slots."""
        return max(self.in_flight, self.reported + self.opened_since) / max(1, self.slots)

    def opened(self) -> None:
        """Count a request sent there."""
        self.in_flight += 1
        self.opened_since += 1

    def closed(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1
        self.opened_since = max(0, self.opened_since - 1)

    def answered(self, now: float, load: Load) -> None:
        """Take an answer."""
        self.failures = 0
        if self.confirmed_at is not None:
            self.confirmed_at = now
        self.take_load(now, load)

    def take_load(self, now: float, load: Load) -> None:
        """Take the load that its sidecar has told."""
        if load.slots:
            self.take_condition(now, load.condition)
            self.slots = load.slots
            self.reported = load.running + load.queued
            self.opened_since = 0

    def take_condition(self, now: float, told: Condition) -> None:
        """Take how its own sidecar judges the worker."""
        self.told = told
        self.told_at = now

    def sickness(self, now: float) -> float:
        """Return the factor by which its load counts more than that of one that is well.

        Joins what its own sidecar has told with what was seen from here: a worker may be
        well and the way to it not.
        """
        slowness = self.slowness.at(now)
        if self.told.is_well:
            return max(1.0, slowness / TOLERATED)
        told = self.told.decayed(now - self.told_at)
        return max(1.0, max(slowness, told.slowness) / TOLERATED) + FAULTS_COST * told.faults

    def no_room(self, now: float, priority: int) -> None:
        """Take that it had no room for a request of a priority."""
        known = self.full_until > now
        self.full_priority = min(self.full_priority, priority) if known else priority
        self.full_until = now + FULL_SECONDS

    def is_full(self, now: float, priority: int) -> bool:
        """Return whether it has lately had no room for what matters this much or more."""
        return self.full_until > now and priority >= self.full_priority

    def failed(self, now: float, reason: Reason) -> None:
        """Count a failure; after some it gets nothing for a while."""
        self.failures += 1
        at_once = reason in UNREACHABLE or reason in NO_WORKER
        if at_once or self.failures >= FAILURES_BEFORE_EJECTION:
            pause = min(MAX_EJECT_SECONDS, EJECT_SECONDS * self.failures)
            self.ejected_until = now + pause

    def unconfirmed(self, now: float) -> None:
        """Take that control does not say any more that it is there."""
        if self.confirmed_at is None:
            self.confirmed_at = now

    def is_forgotten(self, now: float) -> bool:
        """Return whether nothing has told for too long that it is there."""
        return self.confirmed_at is not None and now - self.confirmed_at > UNCONFIRMED_SECONDS

    def reachable(self) -> None:
        """Take that a connection to it has succeeded."""
        self.failures = 0
        self.ejected_until = 0.0


class Destinations:
    """Members of every service, kept current from control.

    :param own: name of this machine's node; its own worker is stated by
        :meth:`state_own`, not by control.
    """

    def __init__(self, clock: Callable[[], float], random: Random, own: str, zone: str) -> None:
        self._clock = clock
        self._random = random
        self._own = own
        self._zone = zone
        self._by_node: dict[str, Destination] = {}
        self._by_service: dict[str, list[Destination]] = {}
        self._subsets: dict[str, list[Destination]] = {}
        self._news = Event()
        self._most_known = 0
        self._grown_at = clock()

    def apply(self, delta: MemberDelta) -> None:
        """Take what control says of members."""
        if delta.whole:
            self._take_whole({member.node for member in delta.members})
        for member in delta.members:
            if member.node != self._own:
                self._apply(member)
        self.drop_forgotten()
        self._news.set()
        self._news.clear()

    def wait_for_news(self, seconds: float) -> bool:
        """Wait until control has told of members; return whether it did in time."""
        return bool(self._news.wait(seconds))

    def _take_whole(self, named: set[str]) -> None:
        """Take a whole list: those it leaves out stay for a while.

        A control process that has just started knows few members; those that
        are really gone are found out by the first request.
        """
        now = self._clock()
        for node, known in self._by_node.items():
            if node in named or node == self._own:
                known.confirmed_at = None
            else:
                known.unconfirmed(now)

    def drop_forgotten(self) -> None:
        """Remove those that nothing has told to be there for too long."""
        now = self._clock()
        for node, known in list(self._by_node.items()):
            if known.is_forgotten(now):
                self._remove(node)

    def state_own(self, member: Member) -> None:
        """State the worker beside this process."""
        self._apply(member)

    def _apply(self, member: Member) -> None:
        known = self._by_node.get(member.node)
        if known is not None:
            order = (known.incarnation, known.sequence)
            if (member.incarnation, member.sequence) < order:
                return
        if member.state == MemberState.SILENT:
            if known is not None:
                known.sequence = member.sequence
                known.unconfirmed(self._clock())
            return
        if member.state == MemberState.GONE or not member.service:
            self._remove(member.node)
            return
        same = known is not None and (known.service, known.address, known.instance) == (
            member.service,
            parse_address(member.address),
            member.instance,
        )
        if known is None or not same:
            self._remove(member.node)
            self._add(member)
            return
        known.confirmed_at = None
        known.incarnation = member.incarnation
        known.sequence = member.sequence
        known.state = MemberState(member.state)
        known.slots = member.slots
        self._take_told(known, member)

    def _take_told(self, known: Destination, member: Member) -> None:
        """Take a judgement that control passes on, unless it is the one passed on before."""
        told = Condition.from_wire(member.faults, member.slowness)
        if told != known.told_by_control:
            known.told_by_control = told
            known.take_condition(self._clock(), told)

    def _add(self, member: Member) -> None:
        added = Destination(
            node=member.node,
            incarnation=member.incarnation,
            sequence=member.sequence,
            service=member.service,
            zone=member.zone,
            address=parse_address(member.address),
            instance=member.instance,
            state=MemberState(member.state),
            slots=member.slots,
        )
        self._take_told(added, member)
        self._by_node[member.node] = added
        self._by_service.setdefault(member.service, []).append(added)
        self._subsets.pop(member.service, None)
        if len(self._by_node) > self._most_known:
            self._most_known = len(self._by_node)
            self._grown_at = self._clock()

    def _remove(self, node: str) -> None:
        known = self._by_node.pop(node, None)
        if known is not None:
            known.removed = True
            self._by_service[known.service].remove(known)
            self._subsets.pop(known.service, None)

    def fleet_size(self) -> FleetSize:
        """Return how many sidecars are known, this one included."""
        own_missing = self._own not in self._by_node
        return FleetSize(len(self._by_node) + own_missing, self._grown_at)

    def count(self, service: str) -> int:
        """Return how many live workers a service has."""
        return sum(item.state is MemberState.LIVE for item in self._by_service.get(service, ()))

    def all_full(self, service: str, priority: int) -> bool:
        """Return whether every live worker has just said it has no room for a priority."""
        now = self._clock()
        live = [
            item for item in self._by_service.get(service, ()) if item.state is MemberState.LIVE
        ]
        return bool(live) and all(item.is_full(now, priority) for item in live)

    def choose(self, service: str, tried: set[str], priority: int) -> Destination | None:
        """Return the destination for the next attempt, or None when there is none.

        One that has just said that it has no room is passed over.

        :param priority: of the request at the root of the call tree.
        """
        now = self._clock()
        members = self._by_service.get(service, [])
        if len(members) <= CHOICES:
            return self._best(members, tried, priority, now)
        best = self._best(self._subset_of(service), tried, priority, now)
        if best is not None and _is_at_ease(best, now):
            return best
        drawn = self._random.sample(members, CHOICES)
        if best is not None:
            drawn.append(best)
        return self._best(drawn, tried, priority, now) or self._best(members, tried, priority, now)

    def lone_run_destination(
        self, service: str, identity: bytes, tried: set[str]
    ) -> Destination | None:
        """Return the destination that runs a suspected request alone, or None.

        All senders that know the same workers name the same one (rendezvous hashing), and
        suspects are spread over all workers.
        """
        now = self._clock()
        live = [
            item
            for item in self._by_service.get(service, [])
            if item.state is MemberState.LIVE
            and item.node not in tried
            and item.ejected_until <= now
        ]
        return max(live, key=lambda item: crc32(identity + item.node.encode()), default=None)

    def _subset_of(self, service: str) -> list[Destination]:
        """Return the workers of a large service that this process turns to first.

        The same ones as long as they are there, so that connections are met again and
        their times are learnt. Each process has others, by a hash of both names, so that
        together they cover all workers evenly.
        """
        subset = self._subsets.get(service)
        if subset is None:
            ranked = sorted(self._by_service[service], key=self._rank)
            near = [item for item in ranked if item.zone == self._zone][:OWN_ZONE_CHOICES]
            far = [item for item in ranked if item.zone != self._zone]
            subset = near + far[: CHOICES - len(near)]
            self._subsets[service] = subset
        return subset

    def _rank(self, item: Destination) -> int:
        return crc32(f"{self._own}/{item.node}".encode())

    def _best(
        self, members: list[Destination], tried: set[str], priority: int, now: float
    ) -> Destination | None:
        live = [
            item
            for item in members
            if item.state is MemberState.LIVE
            and item.node not in tried
            and not item.is_full(now, priority)
            and not item.is_forgotten(now)
        ]
        if not live:
            return None
        healthy = [item for item in live if item.ejected_until <= now]
        return min(healthy or live, key=lambda item: self._score(item, now))

    def _score(self, item: Destination, now: float) -> tuple[float, float]:
        load = item.load()
        runs = 1.0 + expected_wait(load, item.slots) + SPREAD_COST * load
        zone = 1.0 if item.zone == self._zone else OTHER_ZONE_COST
        return runs * zone * item.sickness(now), self._random.random()


def expected_wait(load: float, slots: int) -> float:
    """Return how long a request waits at a worker, in typical runs.

    What is known of the load is a moment old, so a worker that is nearly full counts as
    full with the probability that one of so many slots has none free (the exponent of
    Sakasegawa's approximation for queues with several servers). A worker with many slots
    makes nobody wait until it is nearly full; requests waiting there are served by all
    slots together.

    :param load: requests there for each slot.

    >>> [round(expected_wait(load, 19), 2) for load in (0.5, 0.7, 0.9, 1.0, 1.5)]
    [0.01, 0.1, 0.51, 1.0, 1.5]
    >>> [round(expected_wait(load, 100), 2) for load in (0.5, 0.7, 0.9, 1.0, 1.5)]
    [0.0, 0.01, 0.22, 1.0, 1.5]
    """
    exponent = math.sqrt(2 * (slots + 1))
    return min(1.0, load) ** exponent + max(0.0, load - 1.0)


def _is_at_ease(item: Destination, now: float) -> bool:
    """Return whether there is no need to look for a better one."""
    return item.load() < WIDEN_LOAD and item.ejected_until <= now and item.sickness(now) <= 1.0
