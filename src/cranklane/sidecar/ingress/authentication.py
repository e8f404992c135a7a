"""Authenticates requests by API key and enforces the tenants' rates.

======================================  =================================================
request                                 decision
======================================  =================================================
no tenants configured, or public route  admitted; not counted against a rate
no key, call of a run of this worker    admitted as the run's tenant; not counted
no key, call of an unknown run          refused: the run may predate this process
no key, any other request               refused as unauthenticated
key, but the table lease has expired    refused: the key may have been revoked
unknown key                             refused as unauthenticated
key of a tenant over its rate           refused; may be retried after the excess has passed
any other key                           admitted; counted against the tenant's rate, if any
======================================  =================================================

Uses the table lease to decide whether keys can be trusted, and the quota for rates.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import RequestHead
from cranklane.outcome import Reason
from cranklane.routes.table import Route, RouteTable
from cranklane.routes.tenants import Tenant
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.admission.tenant_quota import TenantQuota
from cranklane.sidecar.request.attempt import Reply, refusal
from cranklane.sidecar.request.call_tree import ID_SEPARATOR, Run
from cranklane.sidecar.table.table_lease import TableLease


class Caller(NamedTuple):
    """The authenticated sender of a request.

    :ivar tenant: name of the tenant; empty where the route needs no key.
    :ivar priority: rank by the tenant's priority, then by the route's; 0 is the highest.
    :ivar limited: whether the request counts against the tenant's rate.
    """

    tenant: str
    priority: int
    limited: bool = False


class IngressRefusal(NamedTuple):
    """A request refused by authentication, with the inputs of the decision.

    :ivar request: id of the request.
    :ivar tenant: name of the tenant; empty if unknown.
    :ivar admitted_permille: fraction of the tenant's requests that is admitted, in thousandths.
    :ivar table_age: seconds since the route table was last confirmed as the newest.
    """

    request: str
    reason: Reason
    tenant: str
    admitted_permille: int
    table_age: float


class Authentication:
    """Checks the API keys of clients' requests.

    :param lease: freshness of the route table that holds the keys.
    :param on_refusal: called with each request that is refused here.
    """

    def __init__(
        self,
        names: HeaderNames,
        lease: TableLease,
        quota: TenantQuota,
        on_refusal: Callable[[IngressRefusal], None],
    ) -> None:
        self._on_refusal = on_refusal
        self._key_name = names.key.lower()
        self._lease = lease
        self._quota = quota

    def identify(
        self, head: RequestHead, request: str, table: RouteTable, route: Route, run: Run | None
    ) -> Result[Caller, Reply]:
        """Return the caller of a request, or the refusal to send.

        :param head: contains the key, if one was sent.
        :param request: id of the request.
        :param run: the run at the local worker that makes the call; None for clients.
        """
        if table.tenants is None or route.public:
            return Ok(Caller("", table.priority_of(route, None)))
        key = head.value(self._key_name)
        if key is None:
            return self._identify_call(request, table, route, run)
        if not self._lease.is_valid:
            return self._refuse(request, Reason.TABLE_STALE, None, retry_after.UNCERTAIN_MS)
        tenant = table.tenants.find_by_key(key)
        if tenant is None:
            return self._refuse(request, Reason.UNAUTHENTICATED, None)
        if not self._quota.admits(tenant):
            permille = self._quota.permille(tenant.name)
            retry_after_ms = retry_after.over_quota_ms(permille, route.objective_ms)
            return self._refuse(request, Reason.QUOTA_EXCEEDED, tenant, retry_after_ms)
        limited = tenant.rate_per_second > 0
        return Ok(Caller(tenant.name, table.priority_of(route, tenant), limited))

    def _identify_call(
        self, request: str, table: RouteTable, route: Route, run: Run | None
    ) -> Result[Caller, Reply]:
        """Authenticate a call without a key by the tenant of the run that makes it."""
        if run is not None:
            return Ok(Caller(run.tenant, table.priority_of(route, None)))
        if ID_SEPARATOR in request:
            # The id is that of a call: its run may have begun before this process started.
            return self._refuse(request, Reason.CALL_UNTIED, None, retry_after.UNCERTAIN_MS)
        return self._refuse(request, Reason.UNAUTHENTICATED, None)

    def _refuse(
        self, request: str, reason: Reason, tenant: Tenant | None, retry_after_ms: int = 0
    ) -> Result[Caller, Reply]:
        tenant_name = tenant.name if tenant is not None else ""
        admitted_permille = self._quota.permille(tenant_name)
        self._on_refusal(
            IngressRefusal(request, reason, tenant_name, admitted_permille, self._lease.age)
        )
        return Err(refusal(reason, retry_after_ms=retry_after_ms))

    def refund(self, caller: Caller) -> None:
        """Return an admitted request that has not run to the tenant's quota."""
        if caller.limited:
            self._quota.returned(caller.tenant)


def identity_line(names: HeaderNames, caller: Caller) -> bytes:
    """Return the header line that states the tenant to the worker; empty without a tenant."""
    if not caller.tenant:
        return b""
    return b"%s: %s\r\n" % (names.tenant, caller.tenant.encode())
