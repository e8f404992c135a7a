"""Outcome of worker requests that get no answer."""

from __future__ import annotations

import pytest

from cranklane.common.http_client import HttpRequestError
from cranklane.node.worker import WorkerFailure, failure_of
from cranklane.outcome import Outcome, Reason

CASES = [
    # sent, timed out, outcome, reason
    (False, False, Outcome.NOT_RUN, Reason.BAD_REQUEST),
    (True, False, Outcome.UNKNOWN, Reason.WORKER_FAILED),
    (True, True, Outcome.UNKNOWN, Reason.DEADLINE_PASSED),
]


@pytest.mark.parametrize(("sent", "timed_out", "outcome", "reason"), CASES)
def test_failed_request_counts_as_not_run_only_if_nothing_was_sent(
    sent, timed_out, outcome, reason
):
    error = HttpRequestError("broken", sent, timed_out)
    assert failure_of(error) == WorkerFailure(outcome, reason)
