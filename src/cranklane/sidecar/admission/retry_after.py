"""Computes the ``Retry-After`` delay of refused requests.

A refusal stores the delay in ``Reply.retry_after_ms``; the ingress formats it with
:func:`header_line`.

==============================  ====================================================
reason for the refusal          delay
==============================  ====================================================
outcome limiter                 :data:`REFUSED_EARLY_MS`
admission level                 :data:`ABOVE_LEVEL_MS`
quarantine                      remaining time of the quarantine
any other at the worker's gate  expected queue wait of a highest-priority request,
                                :data:`MIN_QUEUE_MS` to :data:`MAX_QUEUE_MS`
all workers saturated           time until the first is not, at least
                                :data:`DEFAULT_MS`
worker's limit per second       time until the caller's next turn, at least
                                :data:`MIN_QUEUE_MS`
tenant over its rate            time to work off the excess requests, at most
                                :data:`RETURN_FRACTION` of the route's objective,
                                :data:`MIN_QUOTA_MS` to :data:`MAX_QUOTA_MS`
stale table or unknown run      :data:`UNCERTAIN_MS`
any other                       :data:`DEFAULT_MS`
==============================  ====================================================
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Reason

DEFAULT_MS = 200
"""Delay if the duration of the cause is unknown; a few typical request durations."""

MIN_QUEUE_MS = 50
"""Lower bound of delays derived from the worker's queue, which may refill before the retry."""

MAX_QUEUE_MS = 5000
"""Upper bound of delays derived from the worker's queue, whose length is unpredictable later."""

REFUSED_EARLY_MS = 400
"""Delay after a refusal by the outcome limiter; allows one or two of its rounds to complete."""

MIN_QUOTA_MS = 200
"""Lower bound of the delay for a tenant over its rate."""

MAX_QUOTA_MS = 5000
"""Upper bound of the delay for a tenant over its rate; its excess load may end sooner."""

RETURN_FRACTION = 0.4
"""Part of the route's objective after which a caller over its tenant's rate may return. The rest is
for the run; a later return would take the place of a request that can still be in time."""

ABOVE_LEVEL_MS = 600
"""Delay after a refusal by an admission level, which follows a change of the load in this time."""

UNCERTAIN_MS = 500
"""Delay if the sidecar's route table may be stale, or if the run that makes the call is unknown.
Equals the heartbeat interval to control, whose response confirms the table."""

ADMITTED_ALL_PERMILLE = 1000
"""Admitted thousandths of a tenant's requests while the tenant is below its rate."""

STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Status codes of sidecar responses that include ``Retry-After``."""


def at_worker_ms(reason: Reason, expected_wait: Callable[[], float]) -> int:
    """Return the delay for a request that the worker's gate refused, in milliseconds.

    :param reason: reason for the refusal.
    :param expected_wait: returns the expected queue wait of a highest-priority request in
        seconds, ``math.inf`` without slots. Called only if the delay depends on it.

    >>> at_worker_ms(Reason.QUEUE_FULL, lambda: 0.25), at_worker_ms(Reason.DRAINING, lambda: 0.0)
    (250, 50)
    >>> at_worker_ms(Reason.REFUSED_EARLY, lambda: 0.25)
    400
    """
    if reason is Reason.REFUSED_EARLY:
        return REFUSED_EARLY_MS
    wait_ms = int(min(expected_wait(), MAX_QUEUE_MS / MILLISECONDS) * MILLISECONDS)
    return max(MIN_QUEUE_MS, wait_ms)


def all_saturated_ms(seconds: float) -> int:
    """Return the delay for a request whose service has only saturated workers, in milliseconds.

    :param seconds: time until one of them is not saturated.

    >>> all_saturated_ms(0.02), all_saturated_ms(1.5)
    (200, 1500)
    """
    return max(DEFAULT_MS, int(seconds * MILLISECONDS))


def over_quota_ms(permille: int, objective_ms: int) -> int:
    """Return the delay for a request of a tenant over its rate, in milliseconds.

    The delay is the time needed to serve one second's excess requests at the tenant's rate: 2 s
    if one request in three is admitted. It leaves time for the run within the route's objective,
    because the chance to be admitted is the same at any later time while the excess lasts.

    :param permille: admitted thousandths of the tenant's requests.
    :param objective_ms: latency objective of the request's route.

    >>> over_quota_ms(1000, 60_000), over_quota_ms(500, 60_000), over_quota_ms(0, 60_000)
    (200, 1000, 5000)
    >>> over_quota_ms(500, 1500), over_quota_ms(500, 100)
    (600, 200)
    """
    admitted = max(1, permille) / ADMITTED_ALL_PERMILLE
    excess_ms = (1 / admitted - 1) * MILLISECONDS
    delay_ms = min(excess_ms, RETURN_FRACTION * objective_ms, MAX_QUOTA_MS)
    return int(max(MIN_QUOTA_MS, delay_ms))


def quarantined_ms(seconds_left: float) -> int:
    """Return the delay for a quarantined request, in milliseconds; at least 1.

    :param seconds_left: remaining time of the quarantine.

    >>> quarantined_ms(5.0), quarantined_ms(0.0)
    (5001, 1)
    """
    return int(seconds_left * MILLISECONDS) + 1


def header_line(retry_after_ms: int) -> bytes:
    """Return the ``Retry-After`` header line for a response with one of :data:`STATUSES`.

    :param retry_after_ms: delay in milliseconds; 0 selects :data:`DEFAULT_MS`.

    >>> header_line(1250), header_line(0)
    (b'Retry-After: 1.250\\r\\n', b'Retry-After: 0.200\\r\\n')
    """
    return b"Retry-After: %.3f\r\n" % ((retry_after_ms or DEFAULT_MS) / MILLISECONDS)
