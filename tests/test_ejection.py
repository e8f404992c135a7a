"""Which replies speak against a destination, and for how long it is ejected."""

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

OWN_RULES = {
    Reason.PEER_UNREACHABLE: Failure.SIDECAR_UNREACHABLE,
    Reason.PEER_LOST: Failure.SIDECAR_UNREACHABLE,
    Reason.WORKER_UNREACHABLE: Failure.WORKER_UNREACHABLE,
    Reason.WORKER_ENDED: Failure.WORKER_UNREACHABLE,
    Reason.WORKER_LEFT: Failure.WORKER_UNREACHABLE,
    Reason.NO_MEMBERS: Failure.COUNTED,
}


@pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.UNKNOWN])
@pytest.mark.parametrize("reason", sorted(OWN_RULES))
def test_reasons_that_say_what_is_wrong_with_the_destination(outcome, reason):
    assert failure_of(outcome, reason) is OWN_RULES[reason]


@pytest.mark.parametrize("reason", sorted(set(Reason) - set(OWN_RULES)))
def test_other_refusals_say_nothing_of_the_destination(reason):
    assert failure_of(Outcome.NOT_RUN, reason) is Failure.NONE


@pytest.mark.parametrize("reason", sorted(set(Reason) - set(OWN_RULES)))
def test_a_lost_outcome_counts_unless_the_caller_ended_it(reason):
    of_caller = reason in (Reason.CANCELLED, Reason.DEADLINE_PASSED)
    expected = Failure.NONE if of_caller else Failure.COUNTED
    assert failure_of(Outcome.UNKNOWN, reason) is expected


@pytest.mark.parametrize("failure", [Failure.WORKER_UNREACHABLE, Failure.SIDECAR_UNREACHABLE])
def test_an_unreachable_destination_is_ejected_at_once_and_longer_each_time(failure):
    assert ejection_seconds(failure, 1) == EJECTION_SECONDS_PER_FAILURE
    assert ejection_seconds(failure, 2) == 2 * EJECTION_SECONDS_PER_FAILURE
    assert ejection_seconds(failure, 100) == MAX_EJECTION_SECONDS


def test_other_failures_eject_after_some_in_a_row():
    assert ejection_seconds(Failure.COUNTED, CONSECUTIVE_FAILURES_BEFORE_EJECTION - 1) == 0.0
    assert (
        ejection_seconds(Failure.COUNTED, CONSECUTIVE_FAILURES_BEFORE_EJECTION)
        == 3 * EJECTION_SECONDS_PER_FAILURE
    )
