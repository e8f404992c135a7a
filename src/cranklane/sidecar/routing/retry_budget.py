"""How many requests may be sent to a second worker.

The operator bounds the repeats at a service, summed over the whole fleet, in every window
of time: a ratio of the requests for it, and a slack. Each sidecar keeps its part of that
bound without asking anybody:

- Each request that begins at it earns a part of a token, which lapses after at most a
  fifth of a window. So what is spent in a window was earned in that window or shortly
  before it, and most of the ratio may be earned; the rest covers requests that come in
  bursts. Where all load comes through a few sidecars, they earn all of it.
- The slack is divided by the number of sidecars. Its share comes anew with each window, so
  that at most two shares are spent within any. There is none while the number still grows
  after a start: a fleet that was restarted as a whole does not know yet how large it is.

Parts of tokens count: of less than one token, a repeat is allowed by lot with just that
probability, so that a fleet of many sidecars with little to do each uses what it may.

Calls that a repeated run makes are repeats too; they are charged where they begin, so
that the bound holds at any depth of a call tree.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

RATIO_PART = 0.65
"""Part of the ratio that is earned: a window may see the tokens of 1.2 windows spent, and
of more where the requests just before it were many more than before them."""

SPAN_PART = 0.1
"""Part of a window after which what was earned begins to lapse."""

SLACK_PART = 0.2
"""Part of the slack that is divided among the sidecars: two shares may fall into one
window, and calls made by repeats add to it further down."""

MOST_OWED = 20.0
"""Repeats that are remembered beyond the tokens there were: a debt of more would outlast
the window that it was made in."""

KNOWN_SIZE_HALF_LIFE = 6.0
"""Windows in which the number of sidecars that is reckoned with halves at most: a part
of the fleet that is cut off, or has just been restarted, sees few others."""


SETTLED_SECONDS = 1.0
"""The number of sidecars is believed once it has not grown for this long."""


@dataclass(frozen=True)
class RetryBound:
    """The operator's bound on repeats at each service, over the whole fleet.

    :ivar ratio: repeats for each request.
    :ivar slack: repeats beyond the ratio within any window.
    :ivar window: seconds.
    """

    ratio: float
    slack: float
    window: float


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many sidecars there are, as one of them knows.

    :ivar sidecars: known now, this one included.
    :ivar grown_at: monotonic second at which more were known than ever before.
    """

    sidecars: int
    grown_at: float


@dataclass(slots=True)
class _Account:
    """Tokens of one service.

    :ivar current: earned, less spent, in the present span.
    :ivar former: what is left of the span before it.
    :ivar span_began: when the present span began.
    :ivar owed: spent beyond the tokens there were; what is earned pays for it first.
    :ivar share: what is left of the share of the slack.
    :ivar share_began: when that share came.
    """

    current: float
    former: float
    span_began: float
    owed: float
    share: float
    share_began: float

    @property
    def tokens(self) -> float:
        """All that may be spent."""
        return self.current + self.former + self.share - self.owed

    def earn(self, tokens: float) -> None:
        """Take what one more request earns."""
        paid = min(tokens, self.owed)
        self.owed -= paid
        self.current += tokens - paid

    def spend(self, tokens: float) -> None:
        """Spend tokens, those that lapse first at first; what is missing is owed."""
        from_former = min(tokens, max(0.0, self.former))
        self.former -= from_former
        tokens -= from_former
        from_share = min(tokens, max(0.0, self.share))
        self.share -= from_share
        tokens -= from_share
        from_current = min(tokens, self.current)
        self.current -= from_current
        self.owed = min(MOST_OWED, self.owed + tokens - from_current)


class RetryBudget:
    """Repeats that this sidecar may send, by service.

    :param bound: of the whole fleet.
    :param clock: monotonic seconds.
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

    def earned(self, service: str) -> None:
        """Count a request that begins here."""
        self._account(service).earn(RATIO_PART * self._bound.ratio)

    def charge(self, service: str) -> None:
        """Count a repeat that nobody asked for: a call of a run that is one."""
        self._account(service).spend(1.0)

    def take(self, service: str) -> bool:
        """Return whether one more arrival at a service is allowed, and count it."""
        account = self._account(service)
        tokens = account.tokens
        if tokens >= 1.0:
            account.spend(1.0)
            return True
        if tokens <= 0.0:
            return False
        # Spent either way, so that on average just these parts are spent.
        account.spend(tokens)
        return self._random.random() < tokens

    def _account(self, service: str) -> _Account:
        now = self._clock()
        account = self._accounts.get(service)
        if account is None:
            account = _Account(0.0, 0.0, now, 0.0, 0.0, -inf)
            self._accounts[service] = account
        self._lapse(account, now)
        if now - account.share_began >= self._bound.window:
            self._renew_share(account, now)
        return account

    def _lapse(self, account: _Account, now: float) -> None:
        """Drop the tokens that are older than two spans."""
        span = self._bound.window * SPAN_PART
        spans = int((now - account.span_began) / span)
        if spans > 0:
            account.former = account.current if spans == 1 else 0.0
            account.current = 0.0
            account.span_began += spans * span

    def _renew_share(self, account: _Account, now: float) -> None:
        fleet = self._fleet()
        if fleet.sidecars < 2 or now - fleet.grown_at < SETTLED_SECONDS:
            # It knows nobody yet, or not all.
            return
        account.share = SLACK_PART * self._bound.slack / self._known_size(fleet, now)
        account.share_began = now

    def _known_size(self, fleet: FleetSize, now: float) -> float:
        """Return how many sidecars are reckoned with: fewer than before only by and by."""
        windows = (now - self._size_at) / self._bound.window
        faded = self._size * 0.5 ** (windows / KNOWN_SIZE_HALF_LIFE)
        self._size = max(1.0, float(fleet.sidecars), faded)
        self._size_at = now
        return self._size
