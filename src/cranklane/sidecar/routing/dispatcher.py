"""Has a request run: chooses workers one after the other until one has answered.

A refusal by a worker's own sidecar reached no worker, so trying another costs
nothing. A second arrival at a worker is paid from the retry budget.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from cranklane.common.http1.message import Framing
from cranklane.common.units import MICROSECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.routes.table import Route
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.admission.gate import Gate
from cranklane.sidecar.admission.run_outcome import measures_latency
from cranklane.sidecar.quarantine.table import Quarantine, QuarantineState
from cranklane.sidecar.request.attempt import Attempt, BodyReader, Reply, refusal
from cranklane.sidecar.request.call_tree import Root
from cranklane.sidecar.request.identity import Identity, identity_of
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.routing.destinations import NO_WORKER, UNREACHABLE, Destination, Destinations
from cranklane.sidecar.routing.peers import PeerClient
from cranklane.sidecar.routing.retry_budget import RetryBudget
from cranklane.sidecar.worker.slowness import ExpectedLatencies

MAX_REFUSALS = 3
"""Sidecars that refuse for want of room before a request counts as refused."""

MAX_TRIES = 8
"""Sidecars asked in turn, those included whose worker is leaving or cannot be reached."""

NO_ROOM = (Reason.QUEUE_FULL, Reason.DEADLINE_TOO_NEAR)
"""Why a sidecar refuses for want of room at its worker."""

START_PART = 0.3
"""A request of a client may wait for its start this part of its objective, and no longer:
refused after that, it may still come again in time."""

CALL_WAIT_PART = 0.35
"""A call may wait for its start this part of what its root can spare; the calls still to
come have the same part of what is left then. Drawn call trees earned about as much at 0.25
and 0.5."""

MEMBER_PART = 0.2
"""Part of its objective that a request may wait for a first worker of its service."""

PROBE_SECONDS = 0.5
"""Seconds between tries to connect to a destination that could not be reached."""

_SERVER_ERROR = 500


@dataclass(slots=True)
class Call:
    """One request of a caller, ready to be sent.

    :ivar started_at: monotonic second at which its first byte was read.
    :ivar deadline: monotonic second at which nobody waits any more, by the
        caller's own word or by the route.
    :ivar lines: request line and headers, without framing and what a gate sets.
    :ivar root: the request for whose sake it is made; itself for one of a client.
    :ivar of_client: whether a client made it, not a run of this machine's worker.
    :ivar tenant: whose it is; empty where requests need no key.
    :ivar rest: reads the part of the body that is not in ``body``; such a
        request is sent once only.
    :ivar attempts: workers reached so far.
    :ivar suspect: whether its last worker ended and it may be the cause.
    :ivar alone: whether it goes to the gate that runs this suspect alone.
    :ivar work: what its runs, and the calls that they made, have cost.
    """

    request: str
    route: Route
    service: str
    started_at: float
    deadline: float
    bodiless: bool
    framing: Framing
    length: int
    lines: bytes
    body: bytes
    root: Root
    tenant: str = ""
    of_client: bool = True
    rest: BodyReader | None = None
    attempts: int = 0
    refusals: int = 0
    cancelled: bool = False
    suspect: bool = False
    alone: bool = False
    current: Attempt | None = None
    tried: set[str] = field(default_factory=set)
    work: SlotWork = field(default_factory=SlotWork)

    def identity(self) -> Identity:
        """Return what makes it the same as others."""
        return identity_of(self.service, self.tenant, self.lines, self.body, self.length)

    def cancel(self) -> None:
        """End it: its caller has left."""
        self.cancelled = True
        if self.current is not None:
            self.current.cancel()


class Dispatcher:
    """Chooses destinations for requests.

    :param own: name of this machine's node.
    :param caller: service of this machine.
    :param quarantine: what is known of requests that end workers.
    :param on_attempt: told of each attempt that has ended, and its seconds.
    :param on_quarantined: told of a request that is held, and for how many more seconds.
    """

    def __init__(
        self,
        runtime: Runtime,
        destinations: Destinations,
        gate: Gate,
        peers: PeerClient,
        budget: RetryBudget,
        quarantine: Quarantine,
        own: str,
        caller: str,
        on_attempt: Callable[[Call, Destination, Reply, float], None],
        on_quarantined: Callable[[Call, Identity, float], None],
    ) -> None:
        self._runtime = runtime
        self._destinations = destinations
        self._gate = gate
        self._peers = peers
        self._budget = budget
        self._own = own
        self._caller = caller
        self._quarantine = quarantine
        self._on_attempt = on_attempt
        self._on_quarantined = on_quarantined
        self._times = ExpectedLatencies()

    def run(self, call: Call) -> Reply:
        """Return the answer of a worker, or why there is none."""
        if call.root.is_retry:
            self._budget.charge(call.service)
        else:
            self._budget.earned(call.service)
        held = self._held(call)
        if held is not None:
            return held
        result = refusal(Reason.NO_MEMBERS, retry_after_ms=retry_after.DEFAULT_MS)
        may_have_run = False
        answered: Reply | None = None
        while True:
            priority = call.root.priority
            destination = self._choose(call)
            if destination is None:
                if not call.tried and self._destinations.all_full(call.service, priority):
                    result = refusal(Reason.QUEUE_FULL, retry_after_ms=retry_after.DEFAULT_MS)
                elif not call.tried and self._member_comes(call):
                    continue
                break
            reply = self._attempt(call, destination)
            may_have_run |= reply.outcome is Outcome.UNKNOWN
            if answered is None or reply.outcome is Outcome.ANSWERED:
                result = reply
            if not self._goes_on(call, reply):
                break
            if reply.outcome is Outcome.ANSWERED:
                answered = reply
        if may_have_run and result.outcome is Outcome.NOT_RUN:
            result = Reply(Outcome.UNKNOWN, result.reason, arrived=True)
        return result

    def _choose(self, call: Call) -> Destination | None:
        """Return the destination of the next attempt."""
        if call.alone:
            return self._destinations.lone_run_destination(
                call.service, call.identity(), call.tried
            )
        return self._destinations.choose(call.service, call.tried, call.root.priority)

    def _held(self, call: Call) -> Reply | None:
        """Return the refusal of a request that is held, or None."""
        if self._quarantine.is_empty:
            return None
        identity = call.identity()
        if self._quarantine.state(identity) is not QuarantineState.QUARANTINED:
            return None
        left = self._quarantine.seconds_left(identity)
        self._on_quarantined(call, identity, left)
        return refusal(Reason.QUARANTINED, retry_after_ms=retry_after.quarantined_ms(left))

    def _member_comes(self, call: Call) -> bool:
        """Wait for a first worker of a service, as after a start; return whether to look."""
        spent = self._runtime.monotonic() - call.started_at
        left = call.route.objective_ms / 1000 * MEMBER_PART - spent
        return left > 0 and not call.cancelled and self._destinations.wait_for_news(left)

    def _attempt(self, call: Call, destination: Destination) -> Reply:
        call.tried.add(destination.node)
        now = self._runtime.monotonic()
        attempt = Attempt(self._request(call, now), call.rest)
        call.current = attempt
        if call.cancelled:
            return refusal(Reason.CANCELLED)
        destination.opened()
        try:
            if destination.node == self._own:
                reply = self._gate.run(attempt)
            else:
                reply = self._peers.run(destination.address, attempt)
        finally:
            destination.closed()
        call.attempts += reply.arrived
        if reply.arrived:
            call.work.add(call.service, reply.run_time_ms)
        if reply.downstream_cost is not None:
            call.work.add_all(reply.downstream_cost)
        seconds = self._runtime.monotonic() - now
        self._learn(call, destination, reply, seconds)
        self._on_attempt(call, destination, reply, seconds)
        return reply

    def _request(self, call: Call, now: float) -> ForwardRequest:
        left = max(0.0, call.deadline - now)
        typical = self._times.of(call.route.name)
        start = min(left, _longest_wait(call, typical, now))
        return ForwardRequest(
            deadline_ms=int(left * 1000),
            start_within_ms=_milliseconds(start),
            expected_latency_us=int(typical * MICROSECONDS),
            priority=call.route.priority,
            root_priority=call.root.priority,
            root_age_ms=_milliseconds(now - call.root.began_at),
            root_objective_ms=_milliseconds(call.root.objective_at - now),
            root_deadline_ms=_milliseconds(call.root.deadline - now),
            is_retry=call.root.is_retry or call.attempts > 0,
            idempotent=call.route.repeatable,
            bodiless=call.bodiless,
            framing=call.framing,
            whole=call.rest is None,
            suspected=call.suspect,
            isolated=call.alone,
            length=call.length,
            service=call.service,
            route=call.route.name,
            tenant=call.tenant,
            caller=self._caller,
            request_id=call.request,
            lines=call.lines,
            body=call.body,
        )

    def _learn(self, call: Call, destination: Destination, reply: Reply, seconds: float) -> None:
        if reply.arrived:
            self._learn_times(call, destination, reply, seconds)
        if reply.outcome is Outcome.ANSWERED:
            destination.answered(self._runtime.monotonic(), reply.load)
            return
        destination.take_load(self._runtime.monotonic(), reply.load)
        if reply.reason is Reason.QUEUE_FULL:
            destination.no_room(self._runtime.monotonic(), call.root.priority)
        self._learn_of_suspicion(call, destination, reply)
        if reply.reason is Reason.DRAINING:
            # Its own sidecar knows best; control's word comes later.
            destination.state = MemberState.DRAINING
        if reply.reason in UNREACHABLE:
            self._eject(destination, reply.reason)
        elif reply.reason in (*NO_WORKER, Reason.NO_MEMBERS) or (
            reply.outcome is Outcome.UNKNOWN
            and reply.reason not in (Reason.CANCELLED, Reason.DEADLINE_PASSED)
        ):
            destination.failed(self._runtime.monotonic(), reply.reason)

    def _learn_of_suspicion(self, call: Call, destination: Destination, reply: Reply) -> None:
        held = reply.reason in (Reason.QUARANTINED, Reason.WORKER_ENDED) and reply.retry_after_ms
        if held:
            left = reply.retry_after_ms / 1000
            self._quarantine.learn(call.service, call.identity(), left)
        match reply.reason:
            case Reason.WORKER_ENDED:
                call.suspect = True
            case Reason.SUSPECTED:
                call.alone = True
                # It may be the very one that is to run it alone.
                call.tried.discard(destination.node)

    def _learn_times(
        self, call: Call, destination: Destination, reply: Reply, seconds: float
    ) -> None:
        """Compare a run's time with what is typical of its route."""
        if measures_latency(reply):
            ratio = self._times.ratio(call.route.name, reply.run_time_ms / 1000 or seconds)
            destination.slowness.sample(self._runtime.monotonic(), ratio)

    def _eject(self, destination: Destination, reason: Reason) -> None:
        """Send nothing there until a connection has succeeded."""
        probed = destination.ejected_until > self._runtime.monotonic()
        destination.failed(self._runtime.monotonic(), reason)
        if destination.node != self._own and not probed:
            destination.ejected_until = math.inf
            self._peers.forget(destination.address)
            self._runtime.spawn(self._probe, destination)

    def _probe(self, destination: Destination) -> None:
        while not destination.removed:
            gevent.sleep(PROBE_SECONDS)
            self._destinations.drop_forgotten()
            if self._peers.reaches(destination.address):
                destination.reachable()
                return

    @staticmethod
    def _may_improve(call: Call, reply: Reply) -> bool:
        """Return whether another worker may answer better than this one did."""
        if reply.downstream_starved:
            # The want of room is deeper than this worker, and another run adds to it.
            return False
        failed = reply.status == _SERVER_ERROR and reply.rest is None
        return failed and call.route.repeatable and call.rest is None

    def _goes_on(self, call: Call, reply: Reply) -> bool:
        """Return whether another worker may be tried after this reply."""
        if call.cancelled or self._runtime.monotonic() >= call.deadline:
            return False
        if reply.reason in (Reason.QUARANTINED, Reason.RUN_ALONE):
            return False
        if call.suspect and self._held(call) is not None:
            return False
        if reply.outcome is Outcome.ANSWERED and not self._may_improve(call, reply):
            return False
        if reply.outcome is Outcome.UNKNOWN and not call.route.repeatable:
            return False
        if call.rest is not None and reply.outcome is Outcome.UNKNOWN:
            # Pieces of its body are gone.
            return False
        if not reply.arrived:
            call.refusals += reply.reason in NO_ROOM
            asked_enough = call.refusals >= MAX_REFUSALS or len(call.tried) >= MAX_TRIES
            if asked_enough or reply.reason is Reason.REFUSED_EARLY:
                # Refused early means that the fault is deeper than this worker.
                return False
            return call.attempts == 0 or call.attempts < call.route.max_attempts
        if call.attempts >= call.route.max_attempts or call.root.is_retry:
            return False
        return self._budget.take(call.service)


def _longest_wait(call: Call, typical: float, now: float) -> float:
    """Return the seconds that a request may wait for its start from now on.

    What a call of a worker may wait comes from the request at the root of its tree, as
    refusing it throws away all that was done for that one: while the root can be in time,
    from what is left of its objective, afterwards from what is left of its deadline.

    :param typical: seconds that a run of the call's route takes, 0 when none is known.
    """
    if call.of_client:
        return call.route.objective_ms / 1000 * START_PART - (now - call.started_at)
    root = call.root
    until = root.objective_at if root.objective_at - now > typical else root.deadline
    spare = (min(until, root.deadline) - now - typical) * CALL_WAIT_PART
    return min(spare, call.deadline - now - typical)


def _milliseconds(seconds: float) -> int:
    """Return a time that is left as a record holds it: nothing when it is over."""
    return max(0, int(seconds * 1000))
