"""Decides after each attempt whether another worker is asked or the reply is final.

Owns the rules and their limits; it changes nothing. ``decide`` is the whole table: its rows
are read from top to bottom, and the first that applies gives the verdict. The retry budget is
asked by the dispatcher, and only for ``Verdict.RETRY_FROM_BUDGET``.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.attempt import AT_CAPACITY, Reply
from cranklane.sidecar.request.call import Call, CallProgress

MAX_CAPACITY_REFUSALS = 3
"""Sidecars that refuse a request for lack of capacity before that is the answer. A choice:
under overload more questions find no capacity either, and each costs a sidecar work."""

MAX_SIDECARS = 8
"""Sidecars asked in turn, also those whose worker is draining or unreachable. A choice: enough
to get past the workers of a service that is being restarted."""

_WORKER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
"""The one status after which another worker may do better. Looked up once, as are the members
in the tuples: in Python 3.11 an enum's attribute takes 0.2 us."""

REFUSED_EVERYWHERE = (Reason.QUARANTINED, Reason.RUN_ALONE)
"""Refusals that every other sidecar would give too: they concern the request, not the worker."""


class Verdict(Enum):
    """What follows an attempt: a retry, or why its reply is final."""

    RETRY = auto()
    """Ask another worker; no worker was reached, so it costs nothing."""
    RETRY_FROM_BUDGET = auto()
    """Ask another worker if the retry budget pays for one more arrival."""
    CALLER_DISCONNECTED = auto()
    DEADLINE_PASSED = auto()
    REFUSED_EVERYWHERE = auto()
    QUARANTINED_MEANWHILE = auto()
    ANSWERED = auto()
    DOWNSTREAM_STARVED = auto()
    ANSWER_STREAMS = auto()
    NOT_IDEMPOTENT = auto()
    BODY_CONSUMED = auto()
    CAPACITY_REFUSALS = auto()
    SIDECARS_ASKED = auto()
    REFUSED_EARLY = auto()
    ATTEMPTS_SPENT = auto()
    BELOW_A_RETRY = auto()


CALL_IS_OVER = (
    Verdict.CALLER_DISCONNECTED,
    Verdict.DEADLINE_PASSED,
    Verdict.REFUSED_EVERYWHERE,
    Verdict.QUARANTINED_MEANWHILE,
)
"""Verdicts on the call whatever the reply was; a refusal is not counted then."""


def decide(
    progress: CallProgress, reply: Reply, now: float, is_quarantined: Callable[[Call], bool]
) -> Verdict:
    """Return what follows an attempt.

    :param progress: with ``attempts`` and ``tried`` including this attempt, ``refusals`` not.
    :param reply: of this attempt.
    :param now: monotonic seconds.
    :param is_quarantined: asked only for a call that is suspected of crashing a worker.
    """
    call = progress.call
    if progress.cancelled:
        # Nobody waits for an answer.
        return Verdict.CALLER_DISCONNECTED
    if now >= call.deadline:
        # The caller has given up.
        return Verdict.DEADLINE_PASSED
    if reply.reason in REFUSED_EVERYWHERE:
        return Verdict.REFUSED_EVERYWHERE
    if progress.suspected and is_quarantined(call):
        # It would crash the next worker too.
        return Verdict.QUARANTINED_MEANWHILE
    if reply.outcome is Outcome.ANSWERED:
        if reply.status != _WORKER_ERROR:
            # The worker has decided; another one would say the same.
            return Verdict.ANSWERED
        if reply.downstream_starved:
            # The lack of capacity is deeper than this worker, and another run adds to it.
            return Verdict.DOWNSTREAM_STARVED
        if reply.rest is not None:
            # The answer is too large to keep for the case that the next one is no better.
            return Verdict.ANSWER_STREAMS
    if reply.outcome is not Outcome.NOT_RUN:
        if not call.route.idempotent:
            # It has run, or may have run, and must not run twice.
            return Verdict.NOT_IDEMPOTENT
        if call.rest is not None:
            # Pieces of its body have been sent and are not kept.
            return Verdict.BODY_CONSUMED
    return _after_arrival(progress) if reply.arrived else _after_refusal(progress, reply)


def _after_refusal(progress: CallProgress, reply: Reply) -> Verdict:
    """Return what follows an attempt that reached no worker."""
    refusals = progress.refusals + (reply.reason in AT_CAPACITY)
    if refusals >= MAX_CAPACITY_REFUSALS:
        # The service as a whole is saturated.
        return Verdict.CAPACITY_REFUSALS
    if len(progress.tried) >= MAX_SIDECARS:
        # Most workers of the service are away.
        return Verdict.SIDECARS_ASKED
    if reply.reason is Reason.REFUSED_EARLY:
        # Runs of this route fail at a fault deeper than this worker.
        return Verdict.REFUSED_EARLY
    if progress.attempts >= progress.call.route.max_attempts:
        # The route allows no further arrival, so there is nothing to ask for.
        return Verdict.ATTEMPTS_SPENT
    return Verdict.RETRY


def _after_arrival(progress: CallProgress) -> Verdict:
    """Return what follows an attempt that reached a worker and may be retried."""
    if progress.attempts >= progress.call.route.max_attempts:
        return Verdict.ATTEMPTS_SPENT
    if progress.call.root.is_retry:
        # The run that makes this call is a retry itself; retries at each level of a call tree
        # would multiply.
        return Verdict.BELOW_A_RETRY
    return Verdict.RETRY_FROM_BUDGET
