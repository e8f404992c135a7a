"""Classifies the outcome of a run: worker fault, downstream starvation or success.

Pure functions of a run's reply and its downstream calls. The gate reports the results to the
worker's condition, the outcome limiter and the caller.
"""

from __future__ import annotations

from http import HTTPStatus

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call_tree import Run

WORKER_EXITED = (Reason.WORKER_ENDED, Reason.WORKER_LEFT)
"""Reasons for which the worker process exited during the run."""

NOT_LISTENING = (Reason.WORKER_UNREACHABLE, *WORKER_EXITED)
"""Reasons that imply a closed port; the worker gets no requests until its next heartbeat."""

_BROKEN_ANSWERS = (Reason.WORKER_FAILED, *WORKER_EXITED, Reason.ANSWER_CUT)
_SERVER_ERROR = int(HTTPStatus.INTERNAL_SERVER_ERROR)
_GATEWAY_TIMEOUT = int(HTTPStatus.GATEWAY_TIMEOUT)


def has_failed(reply: Reply) -> bool:
    """Return whether a reply has no response or a server error status."""
    return reply.outcome is not Outcome.ANSWERED or reply.status >= _SERVER_ERROR


def measures_latency(reply: Reply) -> bool:
    """Return whether a run's duration is a valid latency sample for its worker.

    A failed run may end early, so only successful runs and those that hit their deadline qualify.
    """
    return not has_failed(reply) or reply.reason is Reason.DEADLINE_PASSED


def is_downstream_starved(run: Run, reply: Reply) -> bool:
    """Return whether a run failed for lack of downstream capacity or timed out."""
    return _timed_out(reply) or (reply.status == _SERVER_ERROR and run.downstream_starved)


def may_be_starved(reply: Reply, worker_correlates: bool) -> bool:
    """Return whether a run may have failed for lack of downstream capacity.

    :param worker_correlates: whether this worker's calls can be matched to its runs. If not, any
        response with status 500 qualifies.
    """
    return reply.status == _SERVER_ERROR and not worker_correlates


def is_worker_fault(run: Run, reply: Reply) -> bool:
    """Return whether the worker rather than a downstream call made a run fail.

    A refusal by the worker is its fault, because it never gets more requests than it has slots.
    """
    if reply.reason in _BROKEN_ANSWERS or reply.reason is Reason.WORKER_SHED:
        return True
    if _timed_out(reply):
        return run.calls_in_flight == 0
    return reply.status == _SERVER_ERROR and not run.call_failed


def _timed_out(reply: Reply) -> bool:
    return reply.status == _GATEWAY_TIMEOUT or reply.reason is Reason.DEADLINE_PASSED
