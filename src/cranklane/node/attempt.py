"""Makes one attempt of a call: chooses a member, sends the call, waits for the answer's head.

:mod:`~cranklane.node.balancer` chooses the member, :mod:`~cranklane.node.peers` provides the
connection, and :mod:`~cranklane.node.members` records the result.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent

from cranklane.common.http1.message import is_final_status
from cranklane.common.units import MILLISECONDS
from cranklane.errors import ConnectionLostError
from cranklane.node import retry_after
from cranklane.node.answer import Answer, Request, refused_answer
from cranklane.node.balancer import Balancer
from cranklane.node.context import CallContext
from cranklane.node.members import MemberTable, MemberView, RefusalReport
from cranklane.node.metrics import NodeMetrics
from cranklane.node.peer_call import WINDOW_BYTES, CallCancelledError, PeerCall
from cranklane.node.peers import PeerPool
from cranklane.outcome import Criticality, Outcome, Reason
from cranklane.policy.adopted_policy import Route, Service
from cranklane.records.messages import AnswerHead, CallOpen
from cranklane.runtime.interface import Runtime

BODY_STALL_SECONDS = 30.0
"""Seconds without a body chunk after which the answer counts as truncated. As long as the
answering node waits for flow-control credit."""

_MEMBER_FAULTS = frozenset(
    {Reason.PEER_LOST, Reason.PEER_UNREACHABLE, Reason.WORKER_UNREACHABLE, Reason.DEADLINE_PASSED}
)
"""Reasons of an attempt without an answer that count as failures of the member."""


@dataclass(slots=True)
class OutboundCall:
    """State of one outbound call across its attempts.

    :ivar context: context of the parent call.
    :ivar criticality: effective criticality: the route's, or the root request's.
    :ivar attempts: attempts for which a connection to a member was available.
    :ivar redirects: attempts that followed a refusal without spending a retry.
    :ivar maybe_ran: whether a worker may have run the call in any attempt.
    :ivar tried_nodes: names of the members tried.
    """

    context: CallContext
    request: Request
    service: Service
    route: Route
    criticality: Criticality
    attempts: int = 0
    redirects: int = 0
    maybe_ran: bool = False
    tried_nodes: set[str] = field(default_factory=set)


class AttemptSender:
    """Makes the attempts of a node's outbound calls.

    :param on_eject: called with a member when a failure ejects it.
    """

    def __init__(
        self,
        runtime: Runtime,
        members: MemberTable,
        peers: PeerPool,
        balancer: Balancer,
        metrics: NodeMetrics,
        on_eject: Callable[[MemberView], None],
    ) -> None:
        self._runtime = runtime
        self._members = members
        self._peers = peers
        self._balancer = balancer
        self._metrics = metrics
        self._on_eject = on_eject

    def attempt(self, call: OutboundCall) -> Answer:
        """Make one attempt and return its answer; the body may still be arriving."""
        member = self._choose_member(call)
        if member is None:
            return refused_answer(Reason.NO_MEMBERS, retry_after.DEFAULT_MS)
        call.tried_nodes.add(member.node)
        context = call.context
        remaining = context.deadline - self._runtime.monotonic()
        if remaining <= 0:
            return refused_answer(Reason.DEADLINE_PASSED)
        try:
            connection = self._peers.connection(member, remaining)
        except ConnectionLostError:
            self._count_failure(member)
            return refused_answer(Reason.PEER_UNREACHABLE)
        call.attempts += 1
        granted = context.allowance.grant() if call.service.calls_others else 0
        try:
            sent = connection.open(self._call_open(call, granted))
        except ConnectionLostError:
            context.allowance.give_back(granted)
            return refused_answer(Reason.PEER_UNREACHABLE)
        return self._await_answer(context, member, sent)

    def _choose_member(self, call: OutboundCall) -> MemberView | None:
        members = self._members.of(call.service.tenant, call.service.name)
        member = self._balancer.choose(members, frozenset(call.tried_nodes))
        if member is None and call.tried_nodes:
            # Every member was tried: try one again, as retries are still allowed.
            member = self._balancer.choose(members)
        return member

    def _call_open(self, call: OutboundCall, granted: int) -> CallOpen:
        context = call.context
        request = call.request
        remaining = context.deadline - self._runtime.monotonic()
        return CallOpen(
            deadline_ms=max(1, int(remaining * MILLISECONDS)),
            allowance=granted,
            criticality=call.criticality,
            depth=context.depth + 1,
            attempt=call.attempts,
            root=context.root,
            window=WINDOW_BYTES,
            tenant=context.tenant,
            caller=request.caller,
            service=call.service.full_name,
            method=request.method,
            path=request.path,
            key=request.key,
            headers=request.headers,
            body=request.body,
        )

    def _await_answer(self, context: CallContext, member: MemberView, call: PeerCall) -> Answer:
        started = self._runtime.monotonic()
        member.opened()
        cancel_hook = context.add_cancel_hook(call.cancel)
        open_attempt = _OpenAttempt(context, member, call, cancel_hook)
        try:
            head = call.head(context.deadline - started)
        except gevent.Timeout:
            call.cancel(Reason.DEADLINE_PASSED)
            return self._unknown_answer(open_attempt, Reason.DEADLINE_PASSED)
        except ConnectionLostError:
            return self._unknown_answer(open_attempt, Reason.PEER_LOST)
        except CallCancelledError as error:
            return self._unknown_answer(open_attempt, error.reason)
        return self._handle_head(open_attempt, head, started)

    def _unknown_answer(self, open_attempt: _OpenAttempt, reason: Reason) -> Answer:
        if reason in _MEMBER_FAULTS:
            self._count_failure(open_attempt.member)
        open_attempt.finish(unused=0)
        return Answer(Outcome.UNKNOWN, reason)

    def _handle_head(self, open_attempt: _OpenAttempt, head: AnswerHead, started: float) -> Answer:
        member = open_attempt.member
        now = self._runtime.monotonic()
        member.reported_load(head)
        member.refusals[open_attempt.context.tenant] = RefusalReport(head.refused_below, now)
        reason = Reason(head.reason)
        if reason in _MEMBER_FAULTS:
            self._count_failure(member)
        else:
            member.answered(now - started)
        outcome = Outcome(head.outcome)
        if outcome is Outcome.ANSWERED and not is_final_status(head.status):
            # Nodes of former releases pass on any status that a worker sends.
            open_attempt.call.cancel(Reason.ANSWER_CUT)
            self._count_failure(member)
            return self._unknown_answer(open_attempt, Reason.ANSWER_CUT)
        answer = Answer(outcome, reason, head.status, head.headers)
        answer.retry_after_ms = head.retry_after_ms
        if answer.outcome is Outcome.ANSWERED:
            answer.body = _AnswerBody(open_attempt)
        else:
            open_attempt.call.unused_allowance = head.allowance
            open_attempt.finish(unused=head.allowance)
        return answer

    def _count_failure(self, member: MemberView) -> None:
        if member.failed(self._runtime.monotonic()):
            self._metrics.event("member_ejected")
            self._on_eject(member)


@dataclass(slots=True)
class _OpenAttempt:
    """State of a sent attempt that must be released when the attempt ends."""

    context: CallContext
    member: MemberView
    call: PeerCall
    cancel_hook: int
    finished: bool = False

    def finish(self, unused: int) -> None:
        """End the attempt and add the ``unused`` retries to the call's allowance."""
        if self.finished:
            return
        self.finished = True
        self.call.close()
        self.context.remove_cancel_hook(self.cancel_hook)
        self.context.allowance.give_back(unused)
        self.member.closed()


class _AnswerBody:
    """Body of an attempt's answer; ends the attempt when read to the end or closed."""

    def __init__(self, open_attempt: _OpenAttempt) -> None:
        self._open_attempt = open_attempt

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived, so that reading does not block."""
        return self._open_attempt.call.is_complete

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._open_attempt.call.body(BODY_STALL_SECONDS)
        finally:
            self.close()

    def close(self) -> None:
        """End the attempt; cancel it if the answer was not read to the end."""
        self._open_attempt.finish(self._open_attempt.call.unused_allowance)
