"""Makes outbound calls: checks the policy, retries failed attempts, returns the answer.

Keeps the retry budget of each called service. :mod:`~cranklane.node.early_refusal` refuses
calls without an attempt, :mod:`~cranklane.node.attempt` makes the attempts, and
:mod:`~cranklane.node.retry_rule` decides on retries.
"""

from __future__ import annotations

import math
from http import HTTPStatus

from cranklane.common.planned_stop import PlannedStop
from cranklane.common.run_times import RunKey, RunTimes
from cranklane.node import retry_after
from cranklane.node.answer import Answer, Request, refused_answer
from cranklane.node.attempt import AttemptSender, OutboundCall
from cranklane.node.context import MAX_DEPTH, CallContext
from cranklane.node.early_refusal import EarlyRefusal
from cranklane.node.members import MemberTable
from cranklane.node.metrics import NodeMetrics
from cranklane.node.retry_budget import RetryBudget
from cranklane.node.retry_rule import NextStep, next_step, spend_retry
from cranklane.outcome import Criticality, Outcome, Reason, Repeat
from cranklane.policy.adopted_policy import AdoptedPolicy, Route, Service
from cranklane.runtime.interface import Runtime

_FIRST_ATTEMPT = "first"
"""Metrics label of a call's first attempt; later attempts use the values of NextStep."""


class Outbound:
    """Client for a node's calls to services.

    :param stop: the planned stop of this process; no attempt begins that would outlast it.
    :ivar run_times: how long calls take until their response is complete, by service and route.
    """

    def __init__(
        self,
        runtime: Runtime,
        configuration: AdoptedPolicy,
        members: MemberTable,
        attempts: AttemptSender,
        metrics: NodeMetrics,
        stop: PlannedStop,
    ) -> None:
        self._runtime = runtime
        self._stop = stop
        self.run_times = RunTimes()
        self._configuration = configuration
        self._members = members
        self._attempts = attempts
        self._metrics = metrics
        self._early_refusal = EarlyRefusal(runtime.monotonic, runtime.random)
        self._budgets: dict[str, RetryBudget] = {}

    def call(self, context: CallContext, request: Request) -> Answer:
        """Make a call and return its answer; the body may still be arriving."""
        service = self._configuration.service(request.tenant, request.service)
        route = service.route(request.method, request.path.partition("?")[0]) if service else None
        if service is None or route is None:
            return self._refuse(request, context.criticality, Reason.UNKNOWN_ROUTE)
        criticality = route.criticality_for(context.criticality)
        reason = self._refusal_reason(context, request, service, route)
        if reason is not None:
            return self._refuse(request, criticality, reason)
        call = OutboundCall(context, request, service, route, criticality)
        if not self._can_finish(call):
            answer = self._refuse(request, criticality, Reason.STOPPING)
            answer.retry_after_ms = self._stop.milliseconds_until_restart()
            return answer
        answer = self._call_with_retries(call)
        if (
            answer.outcome is not Outcome.ANSWERED
            or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            context.failed_targets.add(request.target)
        self._metrics.call(service.full_name, answer.outcome, answer.reason, criticality)
        return answer

    def _can_finish(self, call: OutboundCall) -> bool:
        """Return whether an attempt that begins now is expected to end before this process.

        A route states no objective: until a call has ended, only the deadline bounds its time.
        """
        if not self._stop.begun:
            return True
        learnt = self.run_times.longest(run_key(call.service, call.route))
        longest = self._stop.longest_or_estimate(learnt, math.inf)
        return self._stop.can_finish(call.context.deadline, longest)

    def _refuse(self, request: Request, criticality: Criticality, reason: Reason) -> Answer:
        self._metrics.call(
            f"{request.tenant}.{request.service}", Outcome.NOT_RUN, reason, criticality
        )
        return refused_answer(reason)

    def _refusal_reason(
        self, context: CallContext, request: Request, service: Service, route: Route
    ) -> Reason | None:
        if not self._is_granted(request, service):
            return Reason.NOT_GRANTED
        if context.depth >= MAX_DEPTH:
            return Reason.TOO_DEEP
        if route.repeat is Repeat.ONCE and not request.key:
            return Reason.KEY_MISSING
        if context.cancelled is not None:
            return context.cancelled
        # A call to the target of a failed call is the worker's own retry, so it spends one of
        # the root request's retries.
        if request.target in context.failed_targets and not context.allowance.spend():
            return Reason.RETRIES_EXHAUSTED
        return None

    def _is_granted(self, request: Request, service: Service) -> bool:
        if request.caller not in service.callers:
            return False
        tenant, _, name = request.caller.partition(".")
        calling_service = self._configuration.service(tenant, name)
        return calling_service is None or service.full_name in calling_service.calls

    def _call_with_retries(self, call: OutboundCall) -> Answer:
        service = call.service
        budget = self._budgets.setdefault(service.full_name, RetryBudget())
        budget.record_call(service.retry_ratio)
        members = self._members.of(service.tenant, service.name)
        if self._early_refusal.refuses(members, call.context.tenant, call.criticality):
            return refused_answer(Reason.REFUSED_EARLY, retry_after.DEFAULT_MS)
        kind = _FIRST_ATTEMPT
        while True:
            self._metrics.attempt(service.full_name, kind)
            answer = self._attempts.attempt(call)
            call.maybe_ran |= answer.outcome is Outcome.UNKNOWN
            answer.attempts = call.attempts
            if answer.outcome is Outcome.ANSWERED:
                return answer
            step = self._next_step(call, answer, budget)
            if step is NextStep.FINISH:
                return self._conclude(answer, call)
            kind = step.value

    def _next_step(self, call: OutboundCall, answer: Answer, budget: RetryBudget) -> NextStep:
        context = call.context
        if context.cancelled is not None or self._runtime.monotonic() >= context.deadline:
            return NextStep.FINISH
        if not self._can_finish(call):
            return NextStep.FINISH
        step = next_step(answer.outcome, answer.reason, call.route.repeat, call.redirects)
        if step is NextStep.REDIRECT:
            call.redirects += 1
        elif step is NextStep.RETRY and not spend_retry(context.allowance, budget):
            return NextStep.FINISH
        return step

    @staticmethod
    def _conclude(answer: Answer, call: OutboundCall) -> Answer:
        if call.maybe_ran:
            answer.outcome = Outcome.UNKNOWN
        if answer.outcome is Outcome.NOT_RUN and not answer.retry_after_ms:
            answer.retry_after_ms = retry_after.DEFAULT_MS
        return answer


def run_key(service: Service, route: Route) -> RunKey:
    """Return the key under which run times are learnt for a route."""
    return route.name, service.full_name
