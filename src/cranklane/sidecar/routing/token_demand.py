"""Reserves the tokens of a retry budget for the most valuable retries.

For services that refuse so many requests that the tokens suffice for a part of the retries only.
Each retry that is asked for is recorded with its value relative to that of a call which is the
only one its tree needs. One is allowed as far as the tokens
exceed the recent demand for more valuable ones, so that the fewer tokens are left, the higher the
required value is. Without demand nothing is reserved.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp, log2, sqrt

HORIZON_SECONDS = 0.5
"""Time for which tokens are reserved. Half of the time after which unspent tokens expire, so that
few of them do."""

MEMORY_SECONDS = 2.0
"""Time constant of the recorded demand. Longer than the horizon, in which a sidecar sees too few
retries to estimate how many are more valuable."""

_BUCKETS_PER_OCTAVE = 4
"""Values that differ by less than a fifth count as equal."""

_OCTAVES = 24
_BUCKETS = _BUCKETS_PER_OCTAVE * _OCTAVES
_HIGHEST_OCTAVE = 4
"""Values are at most 16 (``retry_value``)."""

RESERVED_DEVIATIONS = 0.5
"""Standard deviations of the demand that are reserved in addition to its mean. The demand at one
sidecar is a few retries, so that the mean alone often does not suffice for the most valuable."""

_RESCALE_SECONDS = 40.0
"""Time after which all records are scaled down, so that the weight stays within a float's range."""


def _bucket(value: float) -> int:
    """Return the index of a value's bucket, from 0 for the least valuable.

    >>> _BUCKETS - _bucket(16.0), _BUCKETS - _bucket(8.0), _bucket(0.0)
    (1, 5, 0)
    """
    if value <= 0.0:
        return 0
    below_highest = int((_HIGHEST_OCTAVE - log2(value)) * _BUCKETS_PER_OCTAVE)
    return min(_BUCKETS - 1, max(0, _BUCKETS - 1 - below_highest))


class TokenDemand:
    """Recent demand for the tokens of one service, by value.

    The counts decay with :data:`MEMORY_SECONDS`: instead of scaling them down, new records get
    an exponentially growing weight.

    :param now: monotonic time in seconds.
    """

    __slots__ = ("_counts", "_origin")

    def __init__(self, now: float) -> None:
        self._counts = [0.0] * _BUCKETS
        self._origin = now

    def granted_share(self, value: float, tokens: float, now: float) -> float:
        """Record a retry that is asked for; return the probability with which to allow it.

        :param value: relative value of the retry, up to 16.
        :param tokens: available tokens; fractions of one are left to the budget.

        >>> demand = TokenDemand(0.0)
        >>> [demand.granted_share(0.5, 9.0, 0.0) for _ in range(4)]
        [1.0, 1.0, 1.0, 1.0]
        >>> demand.granted_share(0.1, 1.5, 0.0), demand.granted_share(0.1, 1.75, 0.0)
        (0.0, 0.5)
        >>> demand.granted_share(0.1, 1.0, 9.0)
        1.0
        """
        if now - self._origin > _RESCALE_SECONDS:
            kept = exp((self._origin - now) / MEMORY_SECONDS)
            self._counts = [count * kept for count in self._counts]
            self._origin = now
        weight = exp((now - self._origin) / MEMORY_SECONDS)
        index = _bucket(value)
        counts = self._counts
        counts[index] += weight
        in_horizon = HORIZON_SECONDS / MEMORY_SECONDS / weight
        more_valuable = sum(counts[index + 1 :]) * in_horizon
        if more_valuable <= 0.0:
            # Nothing to reserve tokens for: the budget alone decides.
            return 1.0
        reserved = more_valuable + RESERVED_DEVIATIONS * sqrt(more_valuable)
        left = max(1.0, tokens) - reserved
        return min(1.0, max(0.0, left / (counts[index] * in_horizon)))


class TokenDemands:
    """Recent demand by service.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._services: dict[str, TokenDemand] = {}

    def granted_share(self, service: str, value: float, tokens: float) -> float:
        """Record a retry that is asked for; return the probability with which to allow it."""
        now = self._clock()
        demand = self._services.get(service)
        if demand is None:
            demand = self._services[service] = TokenDemand(now)
        return demand.granted_share(value, tokens, now)
