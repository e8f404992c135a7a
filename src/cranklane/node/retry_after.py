"""Retry delays of refused calls, sent to callers as ``Retry-After``.

==================================  ==============================================
Cause of the refusal                Retry delay
==================================  ==============================================
queue full, evicted from the queue  the estimated queueing delay, from
or deadline too near                :data:`MIN_QUEUE_MS` to :data:`MAX_QUEUE_MS`
node draining                       :data:`DRAINING_MS`
worker refused or failed            the worker's service time
ledger unavailable, or another      :data:`LEDGER_MS`
attempt in progress
any other cause                     :data:`DEFAULT_MS`
==================================  ==============================================

The called node states no delay if the deadline has passed or a retry cannot succeed. The
calling node then sets :data:`DEFAULT_MS` if the call was not run.

The sidecar's delays are in :mod:`~cranklane.sidecar.admission.retry_after`.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS

MIN_QUEUE_MS = 50
"""Shortest retry delay in milliseconds after a refusal by the queue."""

MAX_QUEUE_MS = 10_000
"""Longest retry delay in milliseconds after a refusal by the queue."""

DRAINING_MS = 50
"""Retry delay in milliseconds while draining; short, as another member can run the call."""

LEDGER_MS = 1000
"""Retry delay in milliseconds of a once-call; allows for a leader election of the ledger."""

DEFAULT_MS = 200
"""Retry delay in milliseconds if the refusal states none; allows for another member to join."""


def after_queue(wait: float) -> int:
    """Return the retry delay in milliseconds after a refusal by the queue.

    :param wait: estimated queueing delay in seconds.

    >>> [after_queue(wait) for wait in (0.0, 1.5, 60.0)]
    [50, 1500, 10000]
    """
    return min(MAX_QUEUE_MS, max(MIN_QUEUE_MS, int(wait * MILLISECONDS)))


def after_worker(service_time: float) -> int:
    """Return the retry delay in milliseconds of a call that the worker refused or failed.

    :param service_time: mean seconds a call takes in the worker.
    """
    return int(service_time * MILLISECONDS)
