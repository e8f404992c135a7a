"""Replays chains of calls through a service that refuses at random, without a network.

Each sidecar has the product's dispatcher and retry budget; only the workers are scripted.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from itertools import count
from random import Random
from types import SimpleNamespace

from cranklane.common.http1.message import Framing
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Outcome, Reason
from cranklane.routes.table import Route
from cranklane.sidecar.request.attempt import Reply, refusal
from cranklane.sidecar.request.call import Call, CallProgress
from cranklane.sidecar.request.call_tree import CallFailure, CallTree, Root, Run
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.dispatcher import Dispatcher, DispatcherDependencies
from cranklane.sidecar.routing.retry_budget import FleetSize, RetryBound, RetryBudget

BOUND = RetryBound(ratio=0.2, slack=119.0, window=10.0)
SERVICE = "stock"
ROUTE = Route("stock-read", "h", "/", True, 5000, 1000, 0, 3, ())
REFUSED_FRACTION = 0.55
REFUSALS_BEGIN, REFUSALS_END, END = 4.0, 12.5, 17.0
CALL_SECONDS = 0.04
CHAINS = (1, 2, 4, 8)
PRIORITIES = (0, 1, 2)
WORKERS = tuple(f"worker-{number}" for number in range(8))
STEPS_PER_SECOND = 4
_LINES = b"GET / HTTP/1.1\r\nhost: h\r\n"


@dataclass
class Tree:
    chain: int
    priority: int
    began_at: float
    sidecar: int
    run: Run | None = None
    done: int = 0


class Replay:
    """A fleet of sidecars under the load.

    :ivar ended: number of trees that began during the refusals, by chain, priority and success.
    :ivar decisions: number of decisions on retries, by second and decision.
    """

    def __init__(
        self,
        sidecars=25,
        trees_per_second=400,
        seed=1,
        correlated=True,
        one_route=False,
        restart_at=END,
    ):
        self.now, self.random, self.correlated = 0.0, Random(seed), correlated
        self.one_route, self.restart_at = one_route, restart_at
        self.rate, self.fleet = trees_per_second, sidecars
        self.refused_fraction, self.requests, self.retries = REFUSED_FRACTION, Counter(), Counter()
        self.ended, self.decisions = Counter(), Counter()
        self.chains, self.numbers, self.events = CHAINS, count(), []
        self.dispatchers, self.call_trees = [None] * sidecars, [None] * sidecars
        for number in range(sidecars):
            self.restart(number)

    def monotonic(self):
        return self.now

    def restart(self, number):
        """Replace a sidecar by one that knows nothing."""
        size = FleetSize(self.fleet, -10.0)
        budget = RetryBudget(BOUND, self.monotonic, self.random, lambda: size)
        report = lambda report: self.decisions.update([(int(self.now), report.decision.name)])  # noqa: E731
        quarantine = SimpleNamespace(is_empty=True)
        ignore = lambda *_: None  # noqa: E731
        self.dispatchers[number] = Dispatcher(
            self,
            DispatcherDependencies(
                self, self, None, self, budget, quarantine, ignore, ignore, report
            ),
            "own",
            "caller",
        )
        self.call_trees[number] = CallTree()

    # Stand-ins for the worker choice, the destinations and the connections to workers.

    def choose(self, service, tried, _priority):
        untried = [node for node in WORKERS if node not in tried]
        if not untried:
            return None
        node = self.random.choice(untried)
        return Destination(node, 1, 1, service, "z", (node, 1), "i", MemberState.LIVE, 30)

    def record_notice(self, *_):
        pass

    def all_saturated(self, *_):
        return False

    def run(self, _address, _attempt):
        self.arrivals += 1
        refuses = REFUSALS_BEGIN <= self.now < REFUSALS_END
        if refuses and self.random.random() < self.refused_fraction:
            return refusal(Reason.WORKER_SHED, arrived=True)
        return Reply(Outcome.ANSWERED, arrived=True, status=200, run_time_ms=40)

    # The load.

    def play(self):
        while self.now < END:
            if self.now >= self.restart_at:
                self.restart_at = END
                for number in range(self.fleet):
                    self.restart(number)
            if not self.events or self.events[0][0] > self.now:
                self._begin_tree()
                self.now += self.random.expovariate(self.rate)
                continue
            self._call(heapq.heappop(self.events)[2])
        return self

    def _begin_tree(self):
        chain, priority = self.random.choice(self.chains), self.random.choice(PRIORITIES)
        tree = Tree(chain, priority, self.now, self.random.randrange(self.fleet))
        if chain > 1 and self.correlated:
            root = self._root(tree)
            calls = self.call_trees[tree.sidecar]
            route = "any" if self.one_route else f"chain-{chain}"
            tree.run = calls.begin(f"{next(self.numbers)}", root, "", route)
        heapq.heappush(self.events, (self.now, next(self.numbers), tree))

    def _root(self, tree):
        return Root(tree.priority, tree.began_at, tree.began_at + 1.0, tree.began_at + 5.0)

    def _call(self, tree):
        run, root = tree.run, tree.run.root if tree.run else self._root(tree)
        call = Call(
            "id", ROUTE, SERVICE, self.now, self.now + 5.0, False, Framing.LENGTH, 0, _LINES, b"",
            root, "", run is None, None, run,
        )  # fmt: skip
        self.arrivals = 0
        progress = CallProgress(call)
        reply = self.dispatchers[tree.sidecar].run(progress)
        step = int(self.now * STEPS_PER_SECOND)
        self.requests[step] += 1
        self.retries[step] += self.arrivals - 1
        succeeded = reply.outcome is Outcome.ANSWERED
        if run:
            failure = None if succeeded else CallFailure(SERVICE, reply.reason)
            run.record_call_end(failure, False, progress.work)
            if succeeded:
                run.record_completed_call(SERVICE)
        tree.done += succeeded
        if succeeded and tree.done < tree.chain:
            heapq.heappush(self.events, (self.now + CALL_SECONDS, next(self.numbers), tree))
            return
        if run:
            run.record_end(succeeded)
        if REFUSALS_BEGIN <= tree.began_at < REFUSALS_END - 8 * CALL_SECONDS:
            self.ended[tree.chain, tree.priority, succeeded] += 1

    # Results.

    def succeeded(self, chain, priorities=PRIORITIES):
        """Return the fraction of trees that succeeded."""
        good, bad = (sum(self.ended[chain, p, ok] for p in priorities) for ok in (True, False))
        return good / (good + bad)

    def excess(self):
        """Return the retries above the bound in the worst window; negative if below it."""
        window = int(BOUND.window * STEPS_PER_SECOND)
        return max(
            sum(self.retries[step] - BOUND.ratio * self.requests[step] for step in span)
            - BOUND.slack
            for end in range(1, int(END * STEPS_PER_SECOND) + 2)
            for span in [range(max(0, end - window), end)]
        )
