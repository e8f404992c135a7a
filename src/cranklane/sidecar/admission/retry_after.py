"""When a refused request may come again: the one place that decides ``Retry-After``.

Owns every constant and function of that decision in the sidecar. Whoever refuses a request
puts the result into ``Reply.retry_after_ms``; the ingress writes it with :func:`header_line`.

==============================  ====================================================
refused because                 wait that is sent
==============================  ====================================================
the worker's queue is long      until a request of the highest priority would start,
                                :data:`MIN_QUEUE_MS` to :data:`MAX_QUEUE_MS`
others like it fail             :data:`REFUSED_EARLY_MS`
its tenant is over its rate     until the excess has passed,
                                :data:`MIN_QUOTA_MS` to :data:`MAX_QUOTA_MS`
the sidecar lacks certain       :data:`UNCERTAIN_MS`
knowledge to admit it
it is quarantined               as long as the quarantine lasts
anything else                   :data:`DEFAULT_MS`
==============================  ====================================================
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Reason

DEFAULT_MS = 200
"""Milliseconds where it is not known how long the cause will last. A choice: a few times what a
request takes, so that a client neither hammers the service nor idles."""

MIN_QUEUE_MS = 50
"""Shortest wait, in milliseconds, that is derived from the worker's queue. A choice: a queue
that is nearly empty now may not be when the client is back."""

MAX_QUEUE_MS = 5000
"""Longest wait, in milliseconds, that is derived from the worker's queue: what is known of it
now says nothing of a later time. A choice."""

REFUSED_EARLY_MS = 400
"""Milliseconds for a request that is refused early, since others like it fail. A choice: by then
the outcome limiter has seen one or two more of its rounds (0.25 s)."""

MIN_QUOTA_MS = 200
"""Shortest wait, in milliseconds, of a tenant over its rate. A choice: the same as the default."""

MAX_QUOTA_MS = 5000
"""Longest wait, in milliseconds, of a tenant over its rate, however far over. A choice: its
other requests may have stopped long before."""

UNCERTAIN_MS = 500
"""Milliseconds where the sidecar does not know enough to admit a request: its route table may be
out of date, or the run that makes the call is not known. It asks control about twice in that
time."""

ADMITTED_ALL_PERMILLE = 1000
"""Thousandths of a tenant's requests that are admitted while it is below its rate."""

STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Statuses of the sidecar's own answers that carry ``Retry-After``."""


def at_worker_ms(reason: Reason, expected_wait: Callable[[], float]) -> int:
    """Return the wait of a request that was refused before the worker, in milliseconds.

    :param reason: why it was refused.
    :param expected_wait: returns the seconds until a request of the highest priority that came
        now would start; ``math.inf`` if never. Called only where it counts.

    >>> at_worker_ms(Reason.QUEUE_FULL, lambda: 0.25), at_worker_ms(Reason.DRAINING, lambda: 0.0)
    (250, 50)
    >>> at_worker_ms(Reason.REFUSED_EARLY, lambda: 0.25)
    400
    """
    if reason is Reason.REFUSED_EARLY:
        return REFUSED_EARLY_MS
    wait_ms = int(min(expected_wait(), MAX_QUEUE_MS / MILLISECONDS) * MILLISECONDS)
    return max(MIN_QUEUE_MS, wait_ms)


def over_quota_ms(permille: int) -> int:
    """Return the wait of a request of a tenant over its rate, in milliseconds.

    A tenant of which one request in three is admitted sends three times its rate: two seconds'
    worth of every second's requests are in excess.

    :param permille: thousandths of the tenant's requests that are admitted.

    >>> over_quota_ms(1000), over_quota_ms(500), over_quota_ms(0)
    (200, 1000, 5000)
    """
    admitted = max(1, permille) / ADMITTED_ALL_PERMILLE
    excess_ms = (1 / admitted - 1) * MILLISECONDS
    return int(min(MAX_QUOTA_MS, max(MIN_QUOTA_MS, excess_ms)))


def quarantined_ms(seconds_left: float) -> int:
    """Return the wait of a quarantined request, in milliseconds; never zero.

    :param seconds_left: how much longer its quarantine lasts.

    >>> quarantined_ms(5.0), quarantined_ms(0.0)
    (5001, 1)
    """
    return int(seconds_left * MILLISECONDS) + 1


def header_line(retry_after_ms: int) -> bytes:
    """Return the header line of an answer whose status is one of :data:`STATUSES`.

    :param retry_after_ms: what was decided, in milliseconds; 0: nothing was.

    >>> header_line(1250), header_line(0)
    (b'Retry-After: 1.250\\r\\n', b'Retry-After: 0.200\\r\\n')
    """
    return b"Retry-After: %.3f\r\n" % ((retry_after_ms or DEFAULT_MS) / MILLISECONDS)
