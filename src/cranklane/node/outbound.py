"""Makes calls: chooses destinations, retries within bounds, and says what is known."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent

from cranklane.errors import ConnectionLostError
from cranklane.node.answer import Answer, Request, refused
from cranklane.node.balancer import Balancer
from cranklane.node.context import MAX_DEPTH, CallContext
from cranklane.node.members import MemberTable, MemberView
from cranklane.node.metrics import NodeMetrics
from cranklane.node.peer_connection import WINDOW_BYTES, CallCancelledError, PeerCall
from cranklane.node.peers import PeerPool
from cranklane.node.retry_budget import RetryBudget
from cranklane.outcome import Criticality, Outcome, Reason, Repeat
from cranklane.policy.adopted_policy import AdoptedPolicy, Route, Service
from cranklane.records.messages import AnswerHead, CallOpen
from cranklane.runtime.interface import Runtime

MAX_REDIRECTS = 3
"""Attempts that ended before the destination took the call, made up for free."""

STALL_SECONDS = 30.0
"""Seconds without any piece of an answer's body after which it counts as cut."""

EARLY_REFUSAL_MEMORY = 0.2
"""Seconds a destination's word that it refuses a criticality is believed."""

EARLY_REFUSAL_PART = 0.9
"""Part of such calls refused here; the rest finds out whether it still holds."""

DEFAULT_RETRY_AFTER_MS = 200
_SERVER_ERROR = 500

_REDIRECTED = frozenset({Reason.DRAINING, Reason.STOPPING, Reason.PEER_UNREACHABLE})
_RETRIED_WHEN_NOT_RUN = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.QUEUE_EVICTED,
        Reason.DEADLINE_TOO_NEAR,
        Reason.WORKER_SHED,
        Reason.WORKER_UNREACHABLE,
    }
)
_PEER_FAULTS = frozenset(
    {Reason.PEER_LOST, Reason.PEER_UNREACHABLE, Reason.WORKER_UNREACHABLE, Reason.DEADLINE_PASSED}
)


@dataclass(slots=True)
class _Progress:
    """What has happened to one call so far."""

    attempts: int = 0
    redirects: int = 0
    maybe_ran: bool = False
    tried: set[str] = field(default_factory=set)


class Outbound:
    """The calling half of a node.

    :param on_eject: told of a member that was ejected, and for how many failures.
    """

    def __init__(
        self,
        runtime: Runtime,
        configuration: AdoptedPolicy,
        members: MemberTable,
        peers: PeerPool,
        balancer: Balancer,
        metrics: NodeMetrics,
        on_eject: Callable[[MemberView], None],
    ) -> None:
        self._runtime = runtime
        self._configuration = configuration
        self._members = members
        self._peers = peers
        self._balancer = balancer
        self._metrics = metrics
        self._on_eject = on_eject
        self._budgets: dict[str, RetryBudget] = {}

    def call(self, context: CallContext, request: Request) -> Answer:
        """Make a call and return how it ended; the body may still be on its way."""
        service = self._configuration.service(request.tenant, request.service)
        route = service.route(request.method, request.path.partition("?")[0]) if service else None
        if service is None or route is None:
            return self._refuse(request, context.criticality, Reason.UNKNOWN_ROUTE)
        criticality = route.criticality_for(context.criticality)
        reason = self._forbidden(context, request, service, route)
        if reason is not None:
            return self._refuse(request, criticality, reason)
        answer = self._call_with_retries(context, request, service, route, criticality)
        if answer.outcome is not Outcome.ANSWERED or answer.status >= _SERVER_ERROR:
            context.failed.add(request.target)
        self._metrics.call(service.full_name, answer.outcome, answer.reason, criticality)
        return answer

    def _refuse(self, request: Request, criticality: Criticality, reason: Reason) -> Answer:
        self._metrics.call(
            f"{request.tenant}.{request.service}", Outcome.NOT_RUN, reason, criticality
        )
        return refused(reason)

    def _forbidden(
        self, context: CallContext, request: Request, service: Service, route: Route
    ) -> Reason | None:
        if not self._path_exists(request, service):
            return Reason.NOT_GRANTED
        if context.depth >= MAX_DEPTH:
            return Reason.TOO_DEEP
        if route.repeat is Repeat.ONCE and not request.key:
            return Reason.KEY_MISSING
        if context.cancelled is not None:
            return context.cancelled
        # The worker repeats a call that this node has given up on: that is a
        # retry of the same root request, whoever makes it.
        if request.target in context.failed and not context.allowance.spend():
            return Reason.RETRIES_EXHAUSTED
        return None

    def _path_exists(self, request: Request, service: Service) -> bool:
        if request.caller not in service.callers:
            return False
        tenant, _, name = request.caller.partition(".")
        calling = self._configuration.service(tenant, name)
        return calling is None or service.full_name in calling.calls

    def _call_with_retries(
        self,
        context: CallContext,
        request: Request,
        service: Service,
        route: Route,
        criticality: Criticality,
    ) -> Answer:
        budget = self._budgets.setdefault(service.full_name, RetryBudget())
        budget.called(service.retry_ratio)
        if self._refused_early(service, context.tenant, criticality):
            return refused(Reason.REFUSED_EARLY, DEFAULT_RETRY_AFTER_MS)
        progress = _Progress()
        kind = "first"
        while True:
            self._metrics.attempt(service.full_name, kind)
            answer = self._attempt(context, request, service, criticality, progress)
            progress.maybe_ran |= answer.outcome is Outcome.UNKNOWN
            answer.attempts = progress.attempts
            if answer.outcome is Outcome.ANSWERED:
                return answer
            if not self._may_try_again(context, route, budget, answer, progress):
                return self._conclude(answer, progress)
            kind = "redirect" if answer.reason in _REDIRECTED else "retry"

    def _may_try_again(
        self,
        context: CallContext,
        route: Route,
        budget: RetryBudget,
        answer: Answer,
        progress: _Progress,
    ) -> bool:
        if context.cancelled is not None or self._runtime.monotonic() >= context.deadline:
            return False
        if answer.outcome is Outcome.NOT_RUN:
            if answer.reason in _REDIRECTED and progress.redirects < MAX_REDIRECTS:
                progress.redirects += 1
                return True
            if answer.reason not in _RETRIED_WHEN_NOT_RUN:
                return False
        elif route.repeat is not Repeat.REPEATABLE:
            return False
        return context.allowance.remaining > 0 and budget.spend() and context.allowance.spend()

    @staticmethod
    def _conclude(answer: Answer, progress: _Progress) -> Answer:
        if progress.maybe_ran:
            answer.outcome = Outcome.UNKNOWN
        if answer.outcome is Outcome.NOT_RUN and not answer.retry_after_ms:
            answer.retry_after_ms = DEFAULT_RETRY_AFTER_MS
        return answer

    def _refused_early(self, service: Service, tenant: str, criticality: Criticality) -> bool:
        """Return whether most of a service's members lately refused more critical calls.

        Calls of the highest level that is refused still go out: which of them fit
        in is the members' own to decide, and refusing them here would leave slots to
        less critical ones.
        """
        members = self._members.of(service.tenant, service.name)
        if not members:
            return False
        oldest = self._runtime.monotonic() - EARLY_REFUSAL_MEMORY
        refusing = 0
        for member in members:
            below, when = member.refusals.get(tenant, (0, 0.0))
            refusing += below > criticality + 1 and when > oldest
        if refusing * 2 <= len(members):
            return False
        return self._runtime.random.random() < EARLY_REFUSAL_PART

    def _attempt(
        self,
        context: CallContext,
        request: Request,
        service: Service,
        criticality: Criticality,
        progress: _Progress,
    ) -> Answer:
        member = self._choose(service, progress)
        if member is None:
            return refused(Reason.NO_MEMBERS, DEFAULT_RETRY_AFTER_MS)
        progress.tried.add(member.node)
        remaining = context.deadline - self._runtime.monotonic()
        if remaining <= 0:
            return refused(Reason.DEADLINE_PASSED)
        try:
            connection = self._peers.connection(member, remaining)
        except ConnectionLostError:
            self._failed(member)
            return refused(Reason.PEER_UNREACHABLE)
        progress.attempts += 1
        granted = context.allowance.grant() if service.calls_others else 0
        message = CallOpen(
            deadline_ms=max(1, int((context.deadline - self._runtime.monotonic()) * 1000)),
            allowance=granted,
            criticality=criticality,
            depth=context.depth + 1,
            attempt=progress.attempts,
            root=context.root,
            window=WINDOW_BYTES,
            tenant=context.tenant,
            caller=request.caller,
            service=service.full_name,
            method=request.method,
            path=request.path,
            key=request.key,
            headers=request.headers,
            body=request.body,
        )
        try:
            call = connection.open(message)
        except ConnectionLostError:
            context.allowance.give_back(granted)
            return refused(Reason.PEER_UNREACHABLE)
        return self._await_answer(context, member, call)

    def _choose(self, service: Service, progress: _Progress) -> MemberView | None:
        members = self._members.of(service.tenant, service.name)
        member = self._balancer.choose(members, frozenset(progress.tried))
        if member is None and progress.tried:
            # All were tried: a second round beats giving up within the bounds.
            member = self._balancer.choose(members)
        return member

    def _await_answer(self, context: CallContext, member: MemberView, call: PeerCall) -> Answer:
        started = self._runtime.monotonic()
        member.opened()
        hook = context.on_cancel(call.cancel)
        ended = _Ending(context, member, call, hook)
        try:
            head = call.head(context.deadline - started)
        except gevent.Timeout:
            call.cancel(Reason.DEADLINE_PASSED)
            return self._unknown(ended, Reason.DEADLINE_PASSED)
        except ConnectionLostError:
            return self._unknown(ended, Reason.PEER_LOST)
        except CallCancelledError as error:
            return self._unknown(ended, error.reason)
        return self._take_head(ended, head, started)

    def _unknown(self, ending: _Ending, reason: Reason) -> Answer:
        if reason in _PEER_FAULTS:
            self._failed(ending.member)
        ending.finish(unused=0)
        return Answer(Outcome.UNKNOWN, reason)

    def _take_head(self, ending: _Ending, head: AnswerHead, started: float) -> Answer:
        member = ending.member
        now = self._runtime.monotonic()
        member.reported_load(head)
        member.refusals[ending.context.tenant] = (head.refused_below, now)
        reason = Reason(head.reason)
        outcome = Outcome(head.outcome)
        if reason in _PEER_FAULTS:
            self._failed(member)
        else:
            member.answered(now - started)
        answer = Answer(outcome, reason, head.status, head.headers)
        answer.retry_after_ms = head.retry_after_ms
        if outcome is Outcome.ANSWERED:
            answer.body = _AnswerBody(ending)
        else:
            ending.call.unused_allowance = head.allowance
            ending.finish(unused=head.allowance)
        return answer

    def _failed(self, member: MemberView) -> None:
        if member.failed(self._runtime.monotonic()):
            self._metrics.event("member_ejected")
            self._on_eject(member)


@dataclass(slots=True)
class _Ending:
    """What must be undone when one attempt ends, however it ends."""

    context: CallContext
    member: MemberView
    call: PeerCall
    hook: int
    done: bool = False

    def finish(self, unused: int) -> None:
        """End the attempt; ``unused`` is the allowance that came back."""
        if self.done:
            return
        self.done = True
        self.call.close()
        self.context.forget(self.hook)
        self.context.allowance.give_back(unused)
        self.member.closed()


class _AnswerBody:
    """The body of one attempt's answer; ends the attempt when read or closed."""

    def __init__(self, ending: _Ending) -> None:
        self._ending = ending

    @property
    def is_whole(self) -> bool:
        """Whether reading it does not wait any more."""
        return self._ending.call.is_whole

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._ending.call.body(STALL_SECONDS)
        finally:
            self.close()

    def close(self) -> None:
        """End the attempt; an answer not read whole is cancelled."""
        self._ending.finish(self._ending.call.unused_allowance)
