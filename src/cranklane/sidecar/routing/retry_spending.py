"""Decides which retries get the tokens of the retry budget.

While a service refuses few requests, the tokens suffice and the first caller gets them. Otherwise
they are reserved for the most valuable retries. Either way, ``retry_budget`` charges each retry.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import NamedTuple

from cranklane.common.run_times import RunKey
from cranklane.outcome import Outcome
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.routing.refused_fraction import RefusedFractions
from cranklane.sidecar.routing.retry_budget import RetryBudget
from cranklane.sidecar.routing.retry_value import HOPELESS, retry_value
from cranklane.sidecar.routing.token_demand import TokenDemands

NOTICEABLE_FRACTION = 0.1
"""Refused fraction from which tokens are reserved. Below it, the tokens that requests earn suffice
for all retries at the usual ratio of 0.2."""


class RetryDecision(Enum):
    """Decision on a retry that needs a token."""

    GRANTED = "granted"
    """Granted to the first caller, as nothing is reserved."""
    NO_TOKENS = "no_tokens"
    GRANTED_BY_VALUE = "granted_by_value"
    RESERVED = "reserved"
    """Denied, as the tokens are reserved for more valuable retries."""
    HOPELESS = "hopeless"
    """Denied, as the call tree would fail anyway."""


class RetryReport(NamedTuple):
    """A decision and what it was based on.

    :ivar refused_fraction: fraction of requests that the service refuses.
    :ivar by_value: whether tokens are reserved for valuable retries; if not, the value and the
        tokens are not known.
    :ivar value: value of the retry.
    :ivar tokens: tokens of the service before the decision.
    """

    service: str
    decision: RetryDecision
    refused_fraction: float
    by_value: bool = False
    value: float = 0.0
    tokens: float = 0.0


class RetrySpending:
    """Spends the retry budget of this sidecar.

    :param clock: returns monotonic time in seconds.
    :param random: returns the source of the random decisions among retries of equal value.
    :param expected_latency: returns the run time of a route at a service in seconds; 0 if
        unknown.
    :param on_decision: called with each decision.
    """

    def __init__(
        self,
        budget: RetryBudget,
        clock: Callable[[], float],
        random: Callable[[], Random],
        expected_latency: Callable[[RunKey], float],
        on_decision: Callable[[RetryReport], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._random = random
        self._expected_latency = expected_latency
        self._on_decision = on_decision
        self._refused = RefusedFractions(clock)
        self._demands = TokenDemands(clock)

    def record_reply(self, service: str, reply: Reply) -> None:
        """Count the reply to a request that reached a worker."""
        self._refused.record(service, reply.outcome is Outcome.NOT_RUN)

    def allows(self, call: Call) -> bool:
        """Return whether to retry a call, and charge the budget if so."""
        refused_fraction = self._refused.of(call.service)
        if refused_fraction < NOTICEABLE_FRACTION:
            allowed = self._budget.take(call.service)
            decision = RetryDecision.GRANTED if allowed else RetryDecision.NO_TOKENS
            self._on_decision(RetryReport(call.service, decision, refused_fraction))
            return allowed
        latency = self._expected_latency(call.run_key)
        value = retry_value(call, self._refused.of, latency, self._clock())
        tokens = self._budget.tokens(call.service)
        # All retries at the service share this factor; without it, those recorded while fewer
        # requests were refused do not count as more valuable.
        relative_value = value / (1.0 - refused_fraction)
        decision = self._decide_by_value(call.service, relative_value, tokens)
        report = RetryReport(call.service, decision, refused_fraction, True, value, tokens)
        self._on_decision(report)
        return decision is RetryDecision.GRANTED_BY_VALUE

    def _decide_by_value(self, service: str, value: float, tokens: float) -> RetryDecision:
        if value <= HOPELESS:
            return RetryDecision.HOPELESS
        share = self._demands.granted_share(service, value, tokens)
        if share < 1.0 and self._random().random() >= share:
            return RetryDecision.RESERVED
        allowed = self._budget.take_for_value(service)
        return RetryDecision.GRANTED_BY_VALUE if allowed else RetryDecision.NO_TOKENS
