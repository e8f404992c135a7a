"""``Retry-After`` delays by reason for the refusal."""

import math

import pytest

from cranklane.outcome import Outcome, Reason, status_of
from cranklane.sidecar.admission import retry_after


@pytest.mark.parametrize(
    ("reason", "expected_wait", "milliseconds"),
    [
        (Reason.QUEUE_FULL, 0.0, 50),
        (Reason.QUEUE_FULL, 0.0499, 50),
        (Reason.QUEUE_FULL, 0.25, 250),
        (Reason.DEADLINE_TOO_NEAR, 4.999, 4999),
        (Reason.QUEUE_FULL, 60.0, 5000),
        (Reason.DRAINING, math.inf, 5000),
        (Reason.WORKER_UNREACHABLE, math.inf, 5000),
        (Reason.REFUSED_EARLY, 0.0, 400),
        (Reason.REFUSED_EARLY, math.inf, 400),
    ],
)
def test_delay_after_a_refusal_at_the_gate(reason, expected_wait, milliseconds):
    assert retry_after.at_worker_ms(reason, lambda: expected_wait) == milliseconds


@pytest.mark.parametrize(
    ("permille", "milliseconds"),
    [(1000, 200), (900, 200), (500, 1000), (250, 3000), (100, 5000), (1, 5000), (0, 5000)],
)
def test_delay_for_a_tenant_over_its_rate(permille, milliseconds):
    assert retry_after.over_quota_ms(permille, objective_ms=60_000) == milliseconds


@pytest.mark.parametrize(
    ("objective_ms", "milliseconds"), [(60_000, 3000), (3000, 1200), (1500, 600), (300, 200)]
)
def test_a_caller_over_its_tenants_rate_can_return_within_its_objective(objective_ms, milliseconds):
    assert retry_after.over_quota_ms(250, objective_ms) == milliseconds


@pytest.mark.parametrize(
    ("seconds_left", "milliseconds"), [(0.0, 1), (0.0004, 1), (4.2, 4201), (3600.0, 3600001)]
)
def test_delay_covers_the_remaining_quarantine(seconds_left, milliseconds):
    assert retry_after.quarantined_ms(seconds_left) == milliseconds


def test_fixed_delays():
    assert (retry_after.DEFAULT_MS, retry_after.UNCERTAIN_MS) == (200, 500)


@pytest.mark.parametrize(
    ("milliseconds", "line"),
    [
        (0, b"Retry-After: 0.200\r\n"),
        (50, b"Retry-After: 0.050\r\n"),
        (5001, b"Retry-After: 5.001\r\n"),
    ],
)
def test_header_line_format(milliseconds, line):
    assert retry_after.header_line(milliseconds) == line


@pytest.mark.parametrize(
    ("outcome", "reason", "carries"),
    [
        (Outcome.NOT_RUN, Reason.QUEUE_FULL, True),
        (Outcome.NOT_RUN, Reason.QUOTA_EXCEEDED, True),
        (Outcome.NOT_RUN, Reason.QUARANTINED, True),
        (Outcome.NOT_RUN, Reason.UNAUTHENTICATED, False),
        (Outcome.NOT_RUN, Reason.UNKNOWN_ROUTE, False),
        (Outcome.UNKNOWN, Reason.WORKER_ENDED, False),
        (Outcome.UNKNOWN, Reason.DEADLINE_PASSED, False),
    ],
)
def test_statuses_that_carry_the_header(outcome, reason, carries):
    assert (status_of(outcome, reason) in retry_after.STATUSES) is carries
