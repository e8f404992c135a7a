"""The policy in force at a node, decoded from compiled rows.

The rows arrive through :mod:`~cranklane.distribution.subscription`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cranklane.outcome import Criticality, Repeat
from cranklane.records.messages import ConfigDelta, RouteRow, ServiceRow, TenantRow

PERMILLE = 1000
"""Factor between the ratios in rows, in permille, and fractions."""

CLIENTS = "edge"
"""Entry in ``callers`` that admits a tenant's external clients."""


@dataclass(frozen=True, slots=True)
class Route:
    """A route with a compiled path pattern.

    :ivar criticality: criticality of root requests on this route.
    :ivar caps: whether ``criticality`` also limits calls made for a more critical request.
    :ivar deadline_ms: deadline of root requests on this route, in milliseconds.
    :ivar allowance: retries that a root request on this route may cause in its call tree.
    """

    name: str
    method: str
    pattern: re.Pattern[str]
    criticality: Criticality
    caps: bool
    repeat: Repeat
    deadline_ms: int
    allowance: int

    def criticality_for(self, root: Criticality) -> Criticality:
        """Return the criticality of a call made for a root request.

        A call inherits the criticality of its root request, which fails if the call fails,
        unless the policy sets a lower one for this route.
        """
        return min(root, self.criticality) if self.caps else root


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its routes, limits and permitted callers.

    :ivar slots: maximum number of concurrent calls of a worker.
    :ivar queue: maximum number of calls waiting for a slot.
    :ivar calls_others: whether the service makes downstream calls.
    :ivar retry_ratio: permitted retries per call to the service.
    :ivar calls: full names of the services that it may call.
    :ivar callers: full names of the services that may call it.
    :ivar ledgers: ledger groups of its ``once`` calls.
    :ivar routes: routes in matching order.
    """

    tenant: str
    name: str
    slots: int
    queue: int
    calls_others: bool
    retry_ratio: float
    calls: frozenset[str]
    callers: frozenset[str]
    ledgers: tuple[str, ...]
    routes: tuple[Route, ...]

    @property
    def full_name(self) -> str:
        """Name in the form ``tenant.service``."""
        return f"{self.tenant}.{self.name}"

    def route(self, method: str, path: str) -> Route | None:
        """Return the first matching route, or None.

        :param path: request path without its query.
        """
        for route in self.routes:
            if route.method == method and route.pattern.fullmatch(path):
                return route
        return None


def _pattern(text: str) -> re.Pattern[str]:
    """Compile a path pattern: ``*`` matches one segment, a final ``**`` any number.

    >>> bool(_pattern("/a/*").fullmatch("/a/b")), bool(_pattern("/a/*").fullmatch("/a/b/c"))
    (True, False)
    >>> bool(_pattern("/a/**").fullmatch("/a/b/c"))
    True
    """
    expression = re.escape(text).replace(r"\*\*", ".*").replace(r"\*", "[^/]+")
    return re.compile(expression)


def _route(row: RouteRow) -> Route:
    return Route(
        name=row.name,
        method=row.method,
        pattern=_pattern(row.pattern),
        criticality=Criticality(row.criticality),
        caps=row.caps,
        repeat=Repeat(row.repeat),
        deadline_ms=row.deadline_ms,
        allowance=row.allowance,
    )


def _service(row: ServiceRow) -> Service:
    return Service(
        tenant=row.tenant,
        name=row.name,
        slots=row.slots,
        queue=row.queue,
        calls_others=row.depth_below > 0,
        retry_ratio=row.retry_ratio_permille / PERMILLE,
        calls=frozenset(row.calls),
        callers=frozenset(row.callers),
        ledgers=tuple(row.ledgers),
        routes=tuple(_route(route) for route in row.routes),
    )


class AdoptedPolicy:
    """The policy rows in force; versions never decrease.

    :ivar version: revision of the newest adopted change; 0 before the first.
    """

    def __init__(self) -> None:
        self.version = 0
        self._tenants: dict[str, TenantRow] = {}
        self._services: dict[tuple[str, str], Service] = {}
        self._tenant_of_token: dict[str, str] = {}

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False if it is outdated or does not follow the version in force."""
        if delta.version < self.version:
            return False
        if not delta.whole and delta.base != self.version:
            return False
        if delta.whole:
            self._tenants.clear()
            self._services.clear()
        for row in delta.rows:
            self._apply(row.key, row.value)
        self._tenant_of_token = {
            token: tenant.name for tenant in self._tenants.values() for token in tenant.tokens
        }
        self.version = delta.version
        return True

    def _apply(self, key: str, value: bytes) -> None:
        kind, _, row_name = key.partition("/")
        if kind == "tenant":
            if value:
                self._tenants[row_name] = TenantRow.unpack(value)
            else:
                self._tenants.pop(row_name, None)
        elif kind == "service":
            tenant, _, name = row_name.partition("/")
            if value:
                self._services[tenant, name] = _service(ServiceRow.unpack(value))
            else:
                self._services.pop((tenant, name), None)

    def service(self, tenant: str, name: str) -> Service | None:
        """Return a service, or None if it is not defined."""
        return self._services.get((tenant, name))

    def services(self) -> list[Service]:
        """Return all services."""
        return list(self._services.values())

    def share(self, tenant: str) -> int:
        """Return a tenant's weight relative to other tenants; 1 for an unknown tenant."""
        row = self._tenants.get(tenant)
        return row.share if row is not None else 1

    def tenant_of(self, digest: str) -> str | None:
        """Return the tenant of the token with this digest, or None.

        The duration of a lookup depends only on the SHA-256 of the token, which makes timing
        attacks on tokens infeasible.
        """
        return self._tenant_of_token.get(digest)
