"""When a refused call may be retried: the one place that decides ``Retry-After`` on the node.

Owns every constant and function of that decision; whoever refuses a call puts the result into
its ``retry_after_ms``. The sidecar's table (:mod:`~cranklane.sidecar.admission.retry_after`)
has other causes and bounds.

==============================  ====================================================
refused because                 the caller is asked to wait
==============================  ====================================================
the queue is long, or the call  until it would have had a slot,
would be done too late          :data:`MIN_QUEUE_MS` to :data:`MAX_QUEUE_MS`
the node drains                 :data:`DRAINING_MS`
the worker refused or failed    as long as a call takes in the worker
the ledger does not answer, or  :data:`LEDGER_MS`
another attempt is running
anything else                   :data:`DEFAULT_MS`
==============================  ====================================================

A call whose deadline has passed, or that no retry can help, is given no time by the called
node; its caller's node states :data:`DEFAULT_MS` when the call was not run.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS

MIN_QUEUE_MS = 50
"""Milliseconds at the earliest. A choice: about one service time, as assumed before the first
one is measured."""

MAX_QUEUE_MS = 10_000
"""Milliseconds at the latest. A choice: an estimate of a longer wait is not worth following."""

DRAINING_MS = 50
"""Milliseconds while the node drains. A choice: another member can take the call at once."""

LEDGER_MS = 1000
"""Milliseconds for a once-call. A choice: by then the ledger has a leader again."""

DEFAULT_MS = 200
"""Milliseconds when the refusal states no time. A choice: long enough for another member to
become known."""


def after_queue(wait: float) -> int:
    """Return the milliseconds for a call that is not queued.

    :param wait: seconds it would have waited for a slot.

    >>> [after_queue(wait) for wait in (0.0, 1.5, 60.0)]
    [50, 1500, 10000]
    """
    return min(MAX_QUEUE_MS, max(MIN_QUEUE_MS, int(wait * MILLISECONDS)))


def after_worker(service_time: float) -> int:
    """Return the milliseconds for a call that the worker refused or failed.

    :param service_time: seconds that a call takes in the worker.
    """
    return int(service_time * MILLISECONDS)
