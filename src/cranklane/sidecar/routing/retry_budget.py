"""How many requests may be sent to a second worker.

The operator bounds the retries at a service, summed over the whole fleet, in every window of
time: a ratio of the requests for it, and a slack. Each sidecar keeps its part of that bound
without asking anybody:

- Each request that begins at it earns a fraction of a token, which expires after at most a
  fifth of a window. So what is spent in a window was earned in that window or shortly before
  it, and most of the ratio may be earned; the rest covers requests that come in bursts. Where
  all load comes through a few sidecars, they earn all of it.
- The slack is divided by the number of sidecars. Its share comes anew with each window, so
  that at most two shares are spent within any. There is none while the number still grows
  after a start: a fleet that was restarted as a whole does not know yet how large it is.

Fractions of tokens count: with less than one token, a retry is allowed at random with just
that probability, so that a fleet of many sidecars with little to do each uses what it may.

Calls that a retried run makes are retries too; they are charged where they begin, so that
the bound holds at any depth of a call tree.

Owns the tokens of this sidecar. That the sum over a fleet keeps the bound is tested with 1 to
1,200 sidecars in tests/test_retry_budget.py.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import NamedTuple

EARNED_FRACTION = 0.65
"""Fraction of the operator's ratio that each request earns. A window may see the tokens of 1.2
windows spent, and of more where the requests just before it were many more than before them.
The fleets of tests/test_retry_budget.py keep the bound with it; by calculation 0.75 comes too
near to the bound when two bursts stand around a pause."""

SPAN_FRACTION = 0.1
"""Fraction of a window after which what was earned begins to expire; it has expired after twice
that. A choice: long enough for a retry that follows its request by seconds."""

SLACK_FRACTION = 0.2
"""Fraction of the slack that is divided among the sidecars. A choice: two shares may fall into
one window, and calls made by retries, charged after the fact, add to it further down."""

MAX_DEBT = 20.0
"""Most tokens that are owed. A choice: a larger debt would outlast the window it was made in."""

KNOWN_SIZE_HALF_LIFE = 6.0
"""Windows in which the assumed number of sidecars halves at most. A choice: a part of the fleet
that is cut off, or has just been restarted, sees few others for less than that."""

SETTLED_SECONDS = 1.0
"""Seconds without growth after which the number of sidecars is believed. A choice: members come
in within a fraction of that after a start."""

_ONE_RETRY = 1.0
"""Tokens that a retry costs."""


class RetryBound(NamedTuple):
    """The operator's bound on retries at each service, over the whole fleet.

    :ivar ratio: retries for each request.
    :ivar slack: retries beyond the ratio within any window.
    :ivar window: seconds.
    """

    ratio: float
    slack: float
    window: float


class FleetSize(NamedTuple):
    """How many sidecars there are, as one of them knows.

    :ivar sidecars: known now, this one included.
    :ivar grown_at: monotonic second at which more were known than ever before.
    """

    sidecars: int
    grown_at: float


@dataclass(slots=True)
class _Account:
    """Tokens of one service.

    :ivar span_began: monotonic second at which the present span began.
    :ivar current: tokens earned, less spent, in the present span.
    :ivar former: tokens left of the span before it.
    :ivar debt: tokens spent beyond those there were; what is earned pays for it first.
    :ivar share: tokens left of the share of the slack.
    :ivar share_began: monotonic second at which that share came.
    """

    span_began: float
    current: float = 0.0
    former: float = 0.0
    debt: float = 0.0
    share: float = 0.0
    share_began: float = -inf

    @property
    def tokens(self) -> float:
        """All that may be spent."""
        return self.current + self.former + self.share - self.debt

    def earn(self, tokens: float) -> None:
        """Add what one more request earns, less what is owed."""
        paid = min(tokens, self.debt)
        self.debt -= paid
        self.current += tokens - paid

    def spend(self, tokens: float) -> None:
        """Spend tokens, first those that expire first; what is missing is owed."""
        from_former = min(tokens, max(0.0, self.former))
        self.former -= from_former
        tokens -= from_former
        from_share = min(tokens, max(0.0, self.share))
        self.share -= from_share
        tokens -= from_share
        from_current = min(tokens, self.current)
        self.current -= from_current
        self.debt = min(MAX_DEBT, self.debt + tokens - from_current)


class RetryBudget:
    """Retries that this sidecar may send, by service.

    :param bound: of the whole fleet.
    :param clock: monotonic seconds.
    :param random: draws for fractions of tokens.
    :param fleet: returns what is known of the fleet now.
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
        self._fleet = fleet
        self._accounts: dict[str, _Account] = {}
        self._size = 0.0
        self._size_at = clock()

    def earn(self, service: str) -> None:
        """Count a request that begins here."""
        self._account(service).earn(EARNED_FRACTION * self._bound.ratio)

    def charge(self, service: str) -> None:
        """Count a retry that nobody asked for: a call of a run that is one."""
        self._account(service).spend(_ONE_RETRY)

    def take(self, service: str) -> bool:
        """Return whether one more arrival at a service is allowed, and count it.

        Draws a random number only if there is less than one token.
        """
        account = self._account(service)
        tokens = account.tokens
        if tokens >= _ONE_RETRY:
            account.spend(_ONE_RETRY)
            return True
        if tokens <= 0.0:
            return False
        # Spent either way, so that on average just these fractions are spent.
        account.spend(tokens)
        return self._random.random() < tokens

    def _account(self, service: str) -> _Account:
        now = self._clock()
        account = self._accounts.get(service)
        if account is None:
            account = _Account(now)
            self._accounts[service] = account
        self._expire(account, now)
        if now - account.share_began >= self._bound.window:
            self._renew_share(account, now)
        return account

    def _expire(self, account: _Account, now: float) -> None:
        """Drop the tokens that are older than two spans."""
        span = self._bound.window * SPAN_FRACTION
        spans = int((now - account.span_began) / span)
        if spans > 0:
            account.former = account.current if spans == 1 else 0.0
            account.current = 0.0
            account.span_began += spans * span

    def _renew_share(self, account: _Account, now: float) -> None:
        fleet = self._fleet()
        if fleet.sidecars < 2 or now - fleet.grown_at < SETTLED_SECONDS:
            # It knows nobody yet, or not all: its share would be too large.
            return
        account.share = SLACK_FRACTION * self._bound.slack / self._known_size(fleet, now)
        account.share_began = now

    def _known_size(self, fleet: FleetSize, now: float) -> float:
        """Return how many sidecars are assumed: fewer than before only by and by."""
        windows = (now - self._size_at) / self._bound.window
        decayed = self._size * 0.5 ** (windows / KNOWN_SIZE_HALF_LIFE)
        self._size = max(1.0, float(fleet.sidecars), decayed)
        self._size_at = now
        return self._size
