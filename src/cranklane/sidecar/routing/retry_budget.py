"""Retry budget per service, by token buckets.

The operator's bound limits the retries at a service by the whole fleet in any window: a ratio
of its requests, plus a slack. Each sidecar enforces its part without coordination:

- Each request earns a fraction of a token, which expires after at most a fifth of a window, so
  that the tokens spent in a window were earned in it or shortly before. A sidecar that
  receives all requests earns all tokens.
- The slack is divided by the number of sidecars. A sidecar's share is granted once per window,
  so that any window sees at most two shares. No share is granted while the number of known
  sidecars is growing, as it would be too large after a restart of the fleet.

With less than one token, a retry is allowed with the probability of that fraction, so that
many sidecars with little load can use the budget too.

Calls made by a retried run are also retries. They are charged at the sidecar they start from,
so that the bound holds at any depth of a call tree.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import NamedTuple

EARNED_FRACTION = 0.65
"""Fraction of the operator's ratio that each request earns. Below 1 because a window can see tokens
spent that were earned before it, most of all after a burst of requests. A window can see the tokens
of 1.2 windows; 0.75 comes too close to the bound when a pause separates two bursts."""

VALUE_FRACTION = 0.15
"""Fraction of the ratio that each request earns in addition for retries by value, which are only
made while a service refuses requests. These tokens expire at the end of their period, so that a
window sees those of at most 1.1 windows; with the others, that is 0.945 of the ratio."""

TOKEN_PERIOD_FRACTION = 0.1
"""Length of an earning period as a fraction of the window. Tokens expire at the end of the
period after the one in which they were earned."""

SLACK_FRACTION = 0.2
"""Fraction of the slack that is divided among the sidecars. Below 1 because two shares can fall
into one window, and calls made by retries are charged even without tokens."""

MAX_DEBT_TOKENS = 20.0
"""Upper limit of the debt, so that it does not outlast the window in which it arose."""

FLEET_SIZE_HALF_LIFE_WINDOWS = 6.0
"""Half-life, in windows, of the assumed fleet size when fewer sidecars are known. Longer than
a partition or restart usually hides sidecars from each other."""

FLEET_SETTLE_SECONDS = 1.0
"""Time without growth after which the number of known sidecars is used. Longer than the member
list takes to arrive after a start."""

_TOKENS_PER_RETRY = 1.0


class RetryBound(NamedTuple):
    """The operator's fleet-wide limit on retries at each service.

    :ivar ratio: retries allowed per request.
    :ivar slack: retries allowed in any window in addition to the ratio.
    :ivar window: length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float


class FleetSize(NamedTuple):
    """Fleet size as known to this sidecar.

    :ivar sidecars: number of known sidecars, including this one.
    :ivar grown_at: monotonic time in seconds of the last new maximum.
    """

    sidecars: int
    grown_at: float


@dataclass(slots=True)
class _TokenBucket:
    """Tokens for one service. Times are monotonic seconds.

    :ivar period_started_at: start of the current earning period.
    :ivar current: unspent tokens earned in the current period.
    :ivar previous: unspent tokens earned in the period before it.
    :ivar for_value: unspent tokens of the current period for retries by value.
    :ivar debt: tokens overspent; repaid first from earned tokens.
    :ivar slack_tokens: unspent tokens of the slack share.
    :ivar slack_granted_at: time at which the slack share was last granted.
    """

    period_started_at: float
    current: float = 0.0
    previous: float = 0.0
    for_value: float = 0.0
    debt: float = 0.0
    slack_tokens: float = 0.0
    slack_granted_at: float = -inf

    @property
    def tokens(self) -> float:
        """Available tokens; negative if the debt exceeds them."""
        return self.current + self.previous + self.slack_tokens - self.debt

    def earn(self, tokens: float) -> None:
        """Add earned tokens after repaying debt."""
        repaid = min(tokens, self.debt)
        self.debt -= repaid
        self.current += tokens - repaid

    def spend(self, tokens: float) -> None:
        """Spend tokens, earliest expiry first; a shortfall is added to the debt."""
        from_previous = min(tokens, max(0.0, self.previous))
        self.previous -= from_previous
        tokens -= from_previous
        from_slack = min(tokens, max(0.0, self.slack_tokens))
        self.slack_tokens -= from_slack
        tokens -= from_slack
        from_current = min(tokens, self.current)
        self.current -= from_current
        self.debt = min(MAX_DEBT_TOKENS, self.debt + tokens - from_current)


class RetryBudget:
    """Retry budget of this sidecar, by service.

    :param bound: limit for the whole fleet.
    :param clock: returns monotonic time in seconds.
    :param random: source of the random decisions on fractional tokens.
    :param fleet: returns the currently known fleet size.
    """

    def __init__(
        self,
        bound: RetryBound,
        clock: Callable[[], float],
        random: Random,
        fleet: Callable[[], FleetSize],
    ) -> None:
        self._bound = bound
        self._clock = clock
        self._random = random
        self._fleet_size = fleet
        self._buckets: dict[str, _TokenBucket] = {}
        self._assumed_size = 0.0
        self._assumed_size_at = clock()

    def earn(self, service: str) -> None:
        """Credit the budget with a request that starts at this sidecar."""
        bucket = self._refreshed_bucket(service)
        bucket.earn(EARNED_FRACTION * self._bound.ratio)
        bucket.for_value += VALUE_FRACTION * self._bound.ratio

    def charge(self, service: str) -> None:
        """Charge the budget for a call made by a retried run, even without tokens."""
        self._refreshed_bucket(service).spend(_TOKENS_PER_RETRY)

    def tokens(self, service: str) -> float:
        """Return the tokens available for retries by value; negative if the debt exceeds them."""
        bucket = self._refreshed_bucket(service)
        return bucket.tokens + bucket.for_value

    def take(self, service: str) -> bool:
        """Return whether a retry at a service is allowed, and charge the budget for it.

        Uses a random number only if there is less than one token.
        """
        bucket = self._refreshed_bucket(service)
        tokens = bucket.tokens
        if tokens >= _TOKENS_PER_RETRY:
            bucket.spend(_TOKENS_PER_RETRY)
            return True
        if tokens <= 0.0:
            return False
        # Spent whatever the draw: the expected number of retries equals the tokens spent.
        bucket.spend(tokens)
        return self._random.random() < tokens

    def take_for_value(self, service: str) -> bool:
        """Return whether a retry by value is allowed, and charge the budget for it.

        The tokens earned for such retries are spent first, as they expire first.
        """
        bucket = self._refreshed_bucket(service)
        spent = min(_TOKENS_PER_RETRY, bucket.for_value)
        if bucket.debt > 0.0:
            # Only earned tokens repay the debt; until then no retry is allowed.
            return self.take(service)
        bucket.for_value -= spent
        if spent >= _TOKENS_PER_RETRY or (spent > 0.0 and self._random.random() < spent):
            return True
        return self.take(service)

    def _refreshed_bucket(self, service: str) -> _TokenBucket:
        now = self._clock()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _TokenBucket(now)
            self._buckets[service] = bucket
        self._expire(bucket, now)
        if now - bucket.slack_granted_at >= self._bound.window:
            self._grant_slack(bucket, now)
        return bucket

    def _expire(self, bucket: _TokenBucket, now: float) -> None:
        """Drop the tokens earned before the previous period."""
        period = self._bound.window * TOKEN_PERIOD_FRACTION
        periods = int((now - bucket.period_started_at) / period)
        if periods > 0:
            bucket.previous = bucket.current if periods == 1 else 0.0
            bucket.current = bucket.for_value = 0.0
            bucket.period_started_at += periods * period

    def _grant_slack(self, bucket: _TokenBucket, now: float) -> None:
        fleet = self._fleet_size()
        if fleet.sidecars < 2 or now - fleet.grown_at < FLEET_SETTLE_SECONDS:
            # The known fleet is incomplete, which would make the share too large.
            return
        bucket.slack_tokens = (
            SLACK_FRACTION * self._bound.slack / self._assumed_fleet_size(fleet, now)
        )
        bucket.slack_granted_at = now

    def _assumed_fleet_size(self, fleet: FleetSize, now: float) -> float:
        """Return the assumed number of sidecars, which rises at once and falls gradually."""
        windows = (now - self._assumed_size_at) / self._bound.window
        decayed = self._assumed_size * 0.5 ** (windows / FLEET_SIZE_HALF_LIFE_WINDOWS)
        self._assumed_size = max(1.0, float(fleet.sidecars), decayed)
        self._assumed_size_at = now
        return self._assumed_size
