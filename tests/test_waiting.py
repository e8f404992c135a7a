"""Limits on waiting for a slot and for the first worker of a service."""

from __future__ import annotations

import pytest

from cranklane.common.http1.message import Framing
from cranklane.routes.table import Route
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.request.call_tree import Root
from cranklane.sidecar.routing.waiting import (
    CALL_START_RATIO,
    CLIENT_START_RATIO,
    FIRST_MEMBER_RATIO,
    first_member_wait,
    max_start_wait,
)

OBJECTIVE = 2.0
ROUTE = Route("r", "h", "/", True, 9000, int(OBJECTIVE * 1000), 0, 2, ())


def call(started_at=100.0, deadline=109.0, root_objective=104.0, root_deadline=110.0, client=False):
    root = Root(0, 99.0, root_objective, root_deadline)
    return Call(
        "id",
        ROUTE,
        "s",
        started_at,
        deadline,
        False,
        Framing.LENGTH,
        0,
        b"",
        b"",
        root,
        of_client=client,
    )


def test_a_client_request_waits_a_fraction_of_its_objective():
    client_call = call(client=True)
    limit = OBJECTIVE * CLIENT_START_RATIO
    assert max_start_wait(client_call, 0.1, 100.0) == pytest.approx(limit)
    assert max_start_wait(client_call, 0.1, 100.2) == pytest.approx(limit - 0.2)
    assert max_start_wait(client_call, 0.1, 100.7) < 0


def test_a_call_waits_a_fraction_of_the_spare_time_to_its_roots_objective():
    assert max_start_wait(call(), 1.0, 100.0) == pytest.approx(3.0 * CALL_START_RATIO)


def test_a_call_of_a_late_root_waits_a_fraction_of_the_time_to_the_deadline():
    late = call(root_objective=100.5)
    assert max_start_wait(late, 1.0, 100.0) == pytest.approx(9.0 * CALL_START_RATIO)


def test_the_roots_deadline_limits_its_objective():
    short = call(root_deadline=102.0)
    assert max_start_wait(short, 1.0, 100.0) == pytest.approx(1.0 * CALL_START_RATIO)


def test_a_call_waits_no_longer_than_its_own_deadline_allows():
    assert max_start_wait(call(deadline=101.2), 1.0, 100.0) == pytest.approx(0.2)


def test_a_request_waits_a_fraction_of_its_objective_for_a_first_worker():
    limit = OBJECTIVE * FIRST_MEMBER_RATIO
    assert first_member_wait(call(), 100.0) == pytest.approx(limit)
    assert first_member_wait(call(), 100.1) == pytest.approx(limit - 0.1)
    assert first_member_wait(call(), 100.5) < 0
