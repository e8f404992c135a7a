"""Decides at the ingress whose request one is, and whether its tenant may send it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sends a request.

    :ivar tenant: name of the tenant; empty where the route needs no key.
    :ivar priority: of the request, its tenant's before its route's; 0 first.
    :ivar limited: whether it counts against the tenant's rate.
    """

    tenant: str
    priority: int
    limited: bool = False


@dataclass(frozen=True, slots=True)
class IngressRefusal:
    """A request that was refused before it was sent anywhere, and what decided it.

    :ivar tenant: whose it is, where that is known.
    :ivar permille: part of the tenant's requests that is admitted, in thousandths.
    :ivar table_age: seconds since the table in force was certainly the newest.
    """

    request: str
    reason: Reason
    tenant: str
    permille: int
    table_age: float


class Authentication:
    """Checks the API keys of clients' requests.

    :param lease: tells whether the table in force can be trusted.
    :param on_refusal: told of each request that is refused here.
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
        """Return whose call one without a key is: that of the tenant it is made for."""
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
        """Take that a request that was admitted has not run: it does not count."""
        if caller.limited:
            self._quota.returned(caller.tenant)


def identity_line(names: HeaderNames, caller: Caller) -> bytes:
    """Return the header that tells a worker whose request it runs."""
    if not caller.tenant:
        return b""
    return b"%s: %s\r\n" % (names.tenant, caller.tenant.encode())
