"""Rules of a tenant's token bucket and of the fleet's usage totals."""

from __future__ import annotations

import pytest

from cranklane.controller.fleet_quotas import QUOTA_INTERVAL_SECONDS
from cranklane.controller.quota_bucket import (
    FULL_PERMILLE,
    LEVEL_CORRECTION_SECONDS,
    MIN_CHANGE_PERMILLE,
    MIN_DEPTH_SECONDS,
    MIN_PERMILLE,
    RATE_MARGIN_FRACTION,
    SLACK_BURST_FRACTION,
    QuotaBucket,
    QuotaLimit,
    limit_of,
)
from cranklane.controller.tenant_usage import TOTALS_TTL_SECONDS, FleetCount, FleetUsage
from cranklane.records.messages import TenantUsage, UsageTotals
from cranklane.routes.tenants import Tenant


@pytest.mark.parametrize(
    ("burst", "slack", "ratio", "rate", "depth"),
    [
        (10.0, 0.0, 1.0, 100 * (1 + RATE_MARGIN_FRACTION), 100 * MIN_DEPTH_SECONDS),
        (50.0, 0.0, 1.0, 100 * (1 + RATE_MARGIN_FRACTION), 50.0),
        (50.0, 20.0, 1.0, 100 * (1 + RATE_MARGIN_FRACTION), 50.0 + SLACK_BURST_FRACTION * 20),
        (50.0, 0.0, 0.5, 50 * (1 + RATE_MARGIN_FRACTION), 25.0),
        (50.0, 0.0, 0.0, 0.0, 0.0),
    ],
)
def test_a_limit_is_scaled_by_the_reporting_ratio(burst, slack, ratio, rate, depth):
    limit = limit_of(Tenant("a", 0, 100.0, burst), ratio, slack)
    assert limit.rate == pytest.approx(rate)
    assert limit.depth == pytest.approx(depth)


LIMIT = QuotaLimit(rate=100.0, depth=50.0)


def ratio_after(offered, admitted, returned=0):
    """Return the ratio of an initially full bucket after 4 s of equal usage every 0.1 s."""
    bucket = QuotaBucket(level=LIMIT.depth)
    permille = FULL_PERMILLE
    for _ in range(40):
        bucket.add(TenantUsage(offered, admitted, returned, "a"))
        permille = bucket.step(LIMIT, 0.1)
    return permille


@pytest.mark.parametrize(
    ("offered", "admitted", "returned", "permille"),
    [
        (5, 5, 0, FULL_PERMILLE),
        # Offered at the rate: the bucket stays full.
        (10, 10, 0, FULL_PERMILLE),
        # Offered at twice the rate, admitted at the rate: 100 + (50 - 0.2 * 50) / 0.5 of 200.
        (20, 10, 0, 900),
        # 40 tokens were drained: 100 + (10 - 10) / 0.5 of 200.
        (20, 11, 0, 500),
        (40, 40, 0, MIN_PERMILLE),
        # Admitted but not run: not counted.
        (40, 40, 40, FULL_PERMILLE),
    ],
)
def test_the_ratio_follows_from_offered_and_admitted(offered, admitted, returned, permille):
    assert ratio_after(offered, admitted, returned) == pytest.approx(permille, abs=2)


@pytest.mark.parametrize(
    ("published", "new", "sent"),
    [
        (500, 500 + MIN_CHANGE_PERMILLE - 1, False),
        (500, 500 + MIN_CHANGE_PERMILLE, True),
        (500, 500 - MIN_CHANGE_PERMILLE, True),
        (FULL_PERMILLE, FULL_PERMILLE - 1, True),
        (FULL_PERMILLE - 1, FULL_PERMILLE, True),
        (FULL_PERMILLE, FULL_PERMILLE, False),
    ],
)
def test_small_changes_of_a_ratio_are_not_published(published, new, sent):
    assert QuotaBucket(published_permille=published).is_worth_sending(new) is sent


def test_the_delay_of_totals_is_below_half_of_the_level_correction_time():
    assert 2 * QUOTA_INTERVAL_SECONDS < LEVEL_CORRECTION_SECONDS / 2


@pytest.mark.parametrize(
    ("known", "reporting", "age", "ratio"),
    [
        (10, 4, 0.0, 0.9),
        (10, 4, TOTALS_TTL_SECONDS, 0.9),
        (10, 4, TOTALS_TTL_SECONDS + 0.1, 0.4),
        (10, 9, 0.0, 1.0),
        (0, 0, 0.0, 1.0),
    ],
)
def test_sidecars_of_a_silent_controller_are_not_reporting(known, reporting, age, ratio):
    now = [10.0]
    usage = FleetUsage("own", lambda: now[0], lambda: FleetCount(known, reporting))
    usage.take_totals(UsageTotals(1, 5, "other", []))
    now[0] += age
    assert usage.reporting_ratio(now[0]) == pytest.approx(ratio)


def test_the_first_totals_of_a_run_set_the_baseline():
    usage = FleetUsage("own", lambda: 0.0, lambda: FleetCount(2, 2))

    def increments(began_us, admitted):
        totals = UsageTotals(began_us, 1, "other", [TenantUsage(admitted, admitted, 0, "a")])
        return [increment.admitted for increment in usage.take_totals(totals)]

    assert increments(1, 100) == [0]
    assert increments(1, 130) == [30]
    assert increments(1, 130) == [0]
    assert increments(2, 7) == [0]
    assert increments(2, 9) == [2]


def test_a_bucket_in_debt_without_requests_admits_the_least():
    bucket = QuotaBucket()
    bucket.add(TenantUsage(offered=500, admitted=500, returned=0, tenant="a"))
    limit = QuotaLimit(10.0, 10.0)
    bucket.step(limit, QUOTA_INTERVAL_SECONDS)
    # The next step comes late, after a suspension, so the requests before it no longer count.
    assert bucket.step(limit, 2.0) == MIN_PERMILLE
