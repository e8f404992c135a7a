"""Retry policy: whether to retry at another worker after an attempt, or return its reply.

``decide`` has no side effects and applies its rules in order; the first match gives the
verdict. For ``Verdict.RETRY_FROM_BUDGET`` the dispatcher consults the retry budget.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.attempt import AT_CAPACITY, Reply
from cranklane.sidecar.request.call import Call, CallProgress

MAX_CAPACITY_REFUSALS = 3
"""Refusals for lack of capacity after which a request is not retried. Under overload, further
attempts only add load."""

MAX_WORKER_REFUSALS = 8
"""Workers that may refuse a request without running it. While workers refuse half of all requests
at random, fewer than 1% of the calls need more; each one beyond the first costs a token."""

MAX_SIDECARS_TRIED = 8
"""Maximum number of sidecars tried per request, including those with a draining or unreachable
worker. Allows for several restarting workers during a rolling restart."""

_RETRYABLE_STATUS = HTTPStatus.INTERNAL_SERVER_ERROR
"""The only HTTP status that is retried. Cached, like the tuples of reasons, because enum
attribute lookup is slow."""

REFUSED_EVERYWHERE = (Reason.QUARANTINED, Reason.RUN_ALONE)
"""Refusals that concern the request rather than the worker, so every sidecar would refuse."""


class Verdict(Enum):
    """Decision after an attempt: a retry, or the reason why its reply is final."""

    RETRY = auto()
    """Retry without charging the budget, because no worker was reached."""
    RETRY_FROM_BUDGET = auto()
    """Retry if the retry budget allows it."""
    CALLER_DISCONNECTED = auto()
    DEADLINE_PASSED = auto()
    REFUSED_EVERYWHERE = auto()
    NEWLY_QUARANTINED = auto()
    ANSWERED = auto()
    DOWNSTREAM_STARVED = auto()
    ANSWER_NOT_BUFFERED = auto()
    NOT_IDEMPOTENT = auto()
    BODY_CONSUMED = auto()
    CAPACITY_REFUSAL_LIMIT = auto()
    SIDECAR_LIMIT = auto()
    REFUSED_EARLY = auto()
    ATTEMPTS_EXHAUSTED = auto()
    WORKER_REFUSAL_LIMIT = auto()
    CALLED_BY_RETRY = auto()


CALL_OVER_VERDICTS = (
    Verdict.CALLER_DISCONNECTED,
    Verdict.DEADLINE_PASSED,
    Verdict.REFUSED_EVERYWHERE,
    Verdict.NEWLY_QUARANTINED,
)
"""Verdicts that end the call whether or not there is capacity; the refusal is not counted."""


def decide(
    progress: CallProgress, reply: Reply, now: float, is_quarantined: Callable[[Call], bool]
) -> Verdict:
    """Return the verdict after an attempt.

    :param progress: ``attempts``, ``worker_refusals`` and ``tried`` include this attempt,
        ``refusals`` does not.
    :param reply: reply to this attempt.
    :param now: monotonic time in seconds.
    :param is_quarantined: called only if the call is suspected of crashing a worker.
    """
    call = progress.call
    if progress.cancelled:
        return Verdict.CALLER_DISCONNECTED
    if now >= call.deadline:
        return Verdict.DEADLINE_PASSED
    if reply.reason in REFUSED_EVERYWHERE:
        return Verdict.REFUSED_EVERYWHERE
    if progress.suspected and is_quarantined(call):
        # Another attempt could crash another worker.
        return Verdict.NEWLY_QUARANTINED
    if reply.outcome is Outcome.ANSWERED:
        if reply.status != _RETRYABLE_STATUS:
            # Another worker would give the same response.
            return Verdict.ANSWERED
        if reply.downstream_starved or _is_refused_downstream(reply):
            # A downstream service lacks capacity, and a retry would add to its load.
            return Verdict.DOWNSTREAM_STARVED
        if reply.rest is not None:
            # The response is too large to buffer as the fallback for a failed retry.
            return Verdict.ANSWER_NOT_BUFFERED
    if reply.outcome is not Outcome.NOT_RUN:
        if not call.route.idempotent:
            # The request may have run, and must not run twice.
            return Verdict.NOT_IDEMPOTENT
        if call.rest is not None:
            # Chunks of the request body have been sent and are not buffered.
            return Verdict.BODY_CONSUMED
    if progress.current is not None and progress.current.rest_started:
        # The worker refused the request after chunks of its body had been sent.
        return Verdict.BODY_CONSUMED
    return _after_arrival(progress) if reply.arrived else _after_refusal(progress, reply)


def _is_refused_downstream(reply: Reply) -> bool:
    """Return whether a run failed because workers refused one of its calls without running it.

    Another run would repeat the whole call tree, and its calls would use the retry tokens of the
    service that refuses.
    """
    return reply.failure is not None and reply.failure.reason is Reason.WORKER_SHED


def _after_refusal(progress: CallProgress, reply: Reply) -> Verdict:
    """Return the verdict after an attempt that did not reach a worker."""
    refusals = progress.refusals + (reply.reason in AT_CAPACITY)
    if refusals >= MAX_CAPACITY_REFUSALS:
        # The service as a whole is saturated.
        return Verdict.CAPACITY_REFUSAL_LIMIT
    if len(progress.tried) >= MAX_SIDECARS_TRIED:
        # Most workers of the service are unavailable.
        return Verdict.SIDECAR_LIMIT
    if reply.reason is Reason.REFUSED_EARLY:
        # Runs of this route fail in a downstream service, whichever worker runs them.
        return Verdict.REFUSED_EARLY
    if progress.runs >= progress.call.route.max_attempts:
        # A retry must not reach a worker: the route's limit of attempts is used up.
        return Verdict.ATTEMPTS_EXHAUSTED
    return Verdict.RETRY


def _after_arrival(progress: CallProgress) -> Verdict:
    """Return the verdict after an attempt that reached a worker and is safe to retry."""
    if progress.runs >= progress.call.route.max_attempts:
        return Verdict.ATTEMPTS_EXHAUSTED
    if progress.worker_refusals >= MAX_WORKER_REFUSALS:
        return Verdict.WORKER_REFUSAL_LIMIT
    if progress.call.root.is_retry:
        # The calling run is a retry itself; retries at each level of a call tree would multiply.
        return Verdict.CALLED_BY_RETRY
    return Verdict.RETRY_FROM_BUDGET
