"""Decides whose request one is, and whether its tenant may send it now.

======================================  =================================================
request                                 decision
======================================  =================================================
no tenants, or the route is public      admitted; counts against no rate
without a key, of a run here            admitted as the run's tenant; counts against none
without a key, of an unknown run        refused: the run may have begun before this process
without a key otherwise                 refused as unauthenticated
key, table possibly out of date         refused: the key may have been revoked
unknown key                             refused as unauthenticated
key of a tenant over its rate           refused until its excess has passed
key otherwise                           admitted; counts against the tenant's rate
======================================  =================================================

Relies on the table lease for whether keys can be trusted, and on the quota for rates.
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
    """Who sends a request.

    :ivar tenant: name of the tenant; empty where the route needs no key.
    :ivar priority: rank of the request by its tenant, then by its route; 0 first.
    :ivar limited: whether it counts against the tenant's rate.
    """

    tenant: str
    priority: int
    limited: bool = False


class IngressRefusal(NamedTuple):
    """A request that was refused before it was sent anywhere, and what decided it.

    :ivar tenant: whose it is; empty where that is not known.
    :ivar permille: fraction of the tenant's requests that is admitted, in thousandths.
    :ivar table_age: seconds since the table in force was certainly the newest.
    """

    request: str
    reason: Reason
    tenant: str
    permille: int
    table_age: float


class Authentication:
    """Checks the API keys of clients' requests.

    :param lease: whether the table in force can be trusted.
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
        """Return who sends a request, or the answer that refuses it.

        :param head: holds the key, if one was sent.
        :param request: id of the request.
        :param run: the run of this machine's worker that makes the call, if one does.
        """
        if table.tenants is None or route.public:
            return Ok(Caller("", table.priority_of(route, None)))
        key = head.value(self._key_name)
        if key is None:
            return self._identify_call(request, table, route, run)
        if not self._lease.holds:
            return self._refused(request, Reason.TABLE_STALE, None, retry_after.UNCERTAIN_MS)
        tenant = table.tenants.holder_of(key)
        if tenant is None:
            return self._refused(request, Reason.UNAUTHENTICATED, None)
        if not self._quota.admits(tenant):
            after = retry_after.over_quota_ms(self._quota.permille(tenant.name))
            return self._refused(request, Reason.QUOTA_EXCEEDED, tenant, after)
        limited = tenant.rate_per_second > 0
        return Ok(Caller(tenant.name, table.priority_of(route, tenant), limited))

    def _identify_call(
        self, request: str, table: RouteTable, route: Route, run: Run | None
    ) -> Result[Caller, Reply]:
        """Return who makes a call without a key: the tenant for which its run is done."""
        if run is not None:
            return Ok(Caller(run.tenant, table.priority_of(route, None)))
        if ID_SEPARATOR in request:
            # It may be a call of a run that began before this process was started.
            return self._refused(request, Reason.CALL_UNTIED, None, retry_after.UNCERTAIN_MS)
        return self._refused(request, Reason.UNAUTHENTICATED, None)

    def _refused(
        self, request: str, reason: Reason, tenant: Tenant | None, retry_after_ms: int = 0
    ) -> Result[Caller, Reply]:
        name = tenant.name if tenant is not None else ""
        permille = self._quota.permille(name)
        self._on_refusal(IngressRefusal(request, reason, name, permille, self._lease.age))
        return Err(refusal(reason, retry_after_ms=retry_after_ms))

    def not_run(self, caller: Caller) -> None:
        """Record that an admitted request has not run: it does not count against the rate."""
        if caller.limited:
            self._quota.returned(caller.tenant)


def identity_line(names: HeaderNames, caller: Caller) -> bytes:
    """Return the header that names the tenant to the worker; nothing without a tenant."""
    if not caller.tenant:
        return b""
    return b"%s: %s\r\n" % (names.tenant, caller.tenant.encode())
