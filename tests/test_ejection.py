"""Replies that count as failures of a destination, and the duration of its ejection."""

from __future__ import annotations

import pytest

from cranklane.outcome import Outcome, Reason
from cranklane.sidecar.routing.ejection import (
    CONSECUTIVE_FAILURES_BEFORE_EJECTION,
    EJECTION_SECONDS_PER_FAILURE,
    MAX_EJECTION_SECONDS,
    Failure,
    ejection_seconds,
    failure_of,
)

FAILURE_BY_REASON = {
    Reason.PEER_UNREACHABLE: Failure.SIDECAR_UNREACHABLE,
    Reason.PEER_LOST: Failure.SIDECAR_UNREACHABLE,
    Reason.WORKER_UNREACHABLE: Failure.WORKER_UNREACHABLE,
    Reason.WORKER_ENDED: Failure.WORKER_UNREACHABLE,
    Reason.WORKER_LEFT: Failure.WORKER_UNREACHABLE,
    Reason.STOPPING: Failure.WORKER_UNREACHABLE,
    Reason.NO_MEMBERS: Failure.COUNTED,
}


@pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.UNKNOWN])
@pytest.mark.parametrize("reason", sorted(FAILURE_BY_REASON))
def test_reasons_that_indicate_a_destination_failure(outcome, reason):
    assert failure_of(outcome, reason) is FAILURE_BY_REASON[reason]


@pytest.mark.parametrize("reason", sorted(set(Reason) - set(FAILURE_BY_REASON)))
def test_other_refusals_are_no_destination_failure(reason):
    assert failure_of(Outcome.NOT_RUN, reason) is Failure.NONE


@pytest.mark.parametrize("reason", sorted(set(Reason) - set(FAILURE_BY_REASON)))
def test_an_unknown_outcome_counts_unless_caused_by_the_caller(reason):
    of_caller = reason in (Reason.CANCELLED, Reason.DEADLINE_PASSED)
    expected = Failure.NONE if of_caller else Failure.COUNTED
    assert failure_of(Outcome.UNKNOWN, reason) is expected


@pytest.mark.parametrize("failure", [Failure.WORKER_UNREACHABLE, Failure.SIDECAR_UNREACHABLE])
def test_an_unreachable_destination_is_ejected_at_once_and_longer_each_time(failure):
    assert ejection_seconds(failure, 1) == EJECTION_SECONDS_PER_FAILURE
    assert ejection_seconds(failure, 2) == 2 * EJECTION_SECONDS_PER_FAILURE
    assert ejection_seconds(failure, 100) == MAX_EJECTION_SECONDS


def test_counted_failures_eject_from_the_limit_on():
    assert ejection_seconds(Failure.COUNTED, CONSECUTIVE_FAILURES_BEFORE_EJECTION - 1) == 0.0
    assert (
        ejection_seconds(Failure.COUNTED, CONSECUTIVE_FAILURES_BEFORE_EJECTION)
        == 3 * EJECTION_SECONDS_PER_FAILURE
    )
