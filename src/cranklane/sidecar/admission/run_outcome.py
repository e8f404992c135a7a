"""What the end of a run says of its worker, and of the services that the worker called.

Pure rules, from the reply to a run and the calls that the run made. The gate passes the
results on: to the worker's condition, to the outcome limiter and to the caller.
"""

from __future__ import annotations

from http import HTTPStatus

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call_tree import Run

WORKER_EXITED = (Reason.WORKER_ENDED, Reason.WORKER_LEFT)
"""The worker's process ended while it ran the request."""

NOT_LISTENING = (Reason.WORKER_UNREACHABLE, *WORKER_EXITED)
"""Nobody listens at the worker's address: it gets no more requests until its next heartbeat."""

_BROKEN_ANSWERS = (Reason.WORKER_FAILED, *WORKER_EXITED, Reason.ANSWER_CUT)
_SERVER_ERROR = int(HTTPStatus.INTERNAL_SERVER_ERROR)
_GATEWAY_TIMEOUT = int(HTTPStatus.GATEWAY_TIMEOUT)


def has_failed(reply: Reply) -> bool:
    """Return whether there is no answer, or one that reports an error of the server."""
    return reply.outcome is not Outcome.ANSWERED or reply.status >= _SERVER_ERROR


def measures_latency(reply: Reply) -> bool:
    """Return whether a run's time shows how slow its worker is.

    Failed runs don't count, as they may end at once; those that took all their time do.
    """
    return not has_failed(reply) or reply.reason is Reason.DEADLINE_PASSED


def is_downstream_starved(run: Run, reply: Reply) -> bool:
    """Return whether a run failed for lack of capacity further down, or of time."""
    return _timed_out(reply) or (reply.status == _SERVER_ERROR and run.downstream_starved)


def may_be_starved(reply: Reply, correlates: bool) -> bool:
    """Return whether a run may have failed for lack of capacity further down, unknown to us.

    :param correlates: whether calls of this worker are correlated with its runs. Where they
        are not, any failed run counts.
    """
    return reply.status == _SERVER_ERROR and not correlates


def is_own_fault(run: Run, reply: Reply) -> bool:
    """Return whether a run failed though the calls that it made did not.

    A worker that refuses a request is at fault too: it is never sent more than it has slots for.
    """
    if reply.reason in _BROKEN_ANSWERS or reply.reason is Reason.WORKER_SHED:
        return True
    if _timed_out(reply):
        return run.calls_in_flight == 0
    return reply.status == _SERVER_ERROR and not run.call_failed


def _timed_out(reply: Reply) -> bool:
    return reply.status == _GATEWAY_TIMEOUT or reply.reason is Reason.DEADLINE_PASSED
