"""Authentication of requests by API key, and refusal of tenants over their rate."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from result import Err

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.header_block import HeaderBlock
from cranklane.common.http1.message import Framing, RequestHead
from cranklane.common.secret_digest import secret_digest
from cranklane.outcome import Reason
from cranklane.routes.table import Route, RouteTable, Share
from cranklane.routes.tenants import Tenant, TenantDirectory
from cranklane.sidecar.admission.tenant_quota import TenantQuota
from cranklane.sidecar.ingress.authentication import Authentication, Caller
from cranklane.sidecar.request.call_tree import Root, Run
from cranklane.sidecar.table.table_lease import TableLease

REVOCATION_SECONDS = 5.0
ROUTE = Route("r", "a.example", "/", True, 1000, 100, 1, 1, (Share("s", 1),))
SHOP = Tenant("shop", 0, key_digests=frozenset({secret_digest(b"shop-key")}))
BATCH = Tenant("batch", 1, 1.0, 1.0, frozenset({secret_digest(b"batch-key")}))
TABLE = RouteTable(1, (ROUTE,), tenants=TenantDirectory([SHOP, BATCH]))
RUN = Run(Root(0, 0.0, 1.0, 5.0), tenant="shop")


class Ingress:
    """An authentication with its lease and quota, on a stopped clock."""

    def __init__(self, confirmed=True):
        self.refusals = []
        self.quota = TenantQuota(lambda: 100.0, Random(1), lambda: 1)
        lease = TableLease(lambda: 100.0, REVOCATION_SECONDS)
        if confirmed:
            lease.confirmed(newest_at=99.0, revision=1, in_force=1)
        self.authentication = Authentication(HeaderNames(), lease, self.quota, self.refusals.append)

    def identify(self, key=None, request="id", table=TABLE, route=ROUTE, run=None):
        headers = [(b"Cranklane-Api-Key", key)] if key is not None else []
        head = RequestHead(b"GET", b"/", HeaderBlock.of(headers), Framing.NONE, 0, True)
        return self.authentication.identify(head, request, table, route, run)


@pytest.mark.parametrize(
    ("arguments", "caller"),
    [
        ({"table": replace(TABLE, tenants=None)}, Caller("", 1)),
        ({"route": replace(ROUTE, public=True)}, Caller("", 3)),
        ({"route": replace(ROUTE, public=True), "key": b"unknown"}, Caller("", 3)),
        ({"run": RUN, "request": "id.1"}, Caller("shop", 3)),
        ({"key": b"shop-key"}, Caller("shop", 1)),
        ({"key": b"batch-key"}, Caller("batch", 3, limited=True)),
    ],
)
def test_admitted_callers(arguments, caller):
    ingress = Ingress()
    assert ingress.identify(**arguments).ok_value == caller
    assert ingress.refusals == []


@pytest.mark.parametrize(
    ("confirmed", "arguments", "reason", "retry_after_ms"),
    [
        (True, {"request": "id"}, Reason.UNAUTHENTICATED, 0),
        (True, {"request": "id.1"}, Reason.CALL_UNTIED, 500),
        (True, {"key": b"unknown"}, Reason.UNAUTHENTICATED, 0),
        (False, {"key": b"shop-key"}, Reason.TABLE_STALE, 500),
        (False, {"key": b"unknown"}, Reason.TABLE_STALE, 500),
    ],
)
def test_refused_callers(confirmed, arguments, reason, retry_after_ms):
    ingress = Ingress(confirmed)
    refused = ingress.identify(**arguments)
    assert isinstance(refused, Err)
    assert refused.err_value.reason is reason
    assert refused.err_value.retry_after_ms == retry_after_ms
    assert [refusal.reason for refusal in ingress.refusals] == [reason]


@pytest.mark.parametrize("arguments", [{"table": replace(TABLE, tenants=None)}, {"run": RUN}])
def test_a_request_without_a_key_is_admitted_without_a_table_lease(arguments):
    assert isinstance(Ingress(confirmed=False).identify(**arguments).ok_value, Caller)


def test_a_tenant_over_its_rate_is_refused_and_requests_not_run_are_refunded():
    ingress = Ingress()
    results = [ingress.identify(key=b"batch-key") for _ in range(20)]
    refused = [result.err_value for result in results if isinstance(result, Err)]
    assert refused
    assert {reply.reason for reply in refused} == {Reason.QUOTA_EXCEEDED}
    assert {refusal.tenant for refusal in ingress.refusals} == {"batch"}
    admitted = next(result.ok_value for result in results if not isinstance(result, Err))
    ingress.authentication.refund(admitted)
    ingress.authentication.refund(Caller("shop", 1))
    (usage,) = ingress.quota.take_usage()
    assert (usage.tenant, usage.offered, usage.admitted) == ("batch", 20, 20 - len(refused))
    assert usage.returned == 1
