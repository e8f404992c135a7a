"""The policy in force at a node, read from compiled rows.

Owns the rows adopted so far; :mod:`~cranklane.distribution.subscription` brings them.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cranklane.outcome import Criticality, Repeat
from cranklane.records.messages import ConfigDelta, RouteRow, ServiceRow, TenantRow

PERMILLE = 1000
"""Rows state ratios in thousandths."""

CLIENTS = "edge"
"""Name under which a tenant's outside clients stand in ``callers``."""


@dataclass(frozen=True, slots=True)
class Route:
    """One route, ready to match.

    :ivar criticality: of a root request on this route.
    :ivar caps: whether it also bounds the calls made for a more critical request.
    :ivar deadline_ms: time a root request on this route has.
    :ivar allowance: retries a root request on this route may cause.
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

        A child call is as critical as its root request, which fails without it,
        unless the policy states that this route's calls matter less.
        """
        return min(root, self.criticality) if self.caps else root


@dataclass(frozen=True, slots=True)
class Service:
    """One service, its routes in order and who may call it.

    :ivar slots: calls its worker runs at once at most.
    :ivar queue: calls that may wait for a slot.
    :ivar retry_ratio: retries towards it for each call.
    :ivar calls: full names of the services that it may call.
    :ivar callers: full names of the services that may call it.
    :ivar ledgers: ledger groups of its once-calls.
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
        """``tenant.service``."""
        return f"{self.tenant}.{self.name}"

    def route(self, method: str, path: str) -> Route | None:
        """Return the first route that matches, or None.

        :param path: without its query.
        """
        for route in self.routes:
            if route.method == method and route.pattern.fullmatch(path):
                return route
        return None


def _pattern(text: str) -> re.Pattern[str]:
    """Compile a route's path: ``*`` is one segment, a final ``**`` is any rest.

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
    """Rows adopted so far, in order and never backwards.

    :ivar version: revision of the newest change in force; 0 before the first.
    """

    def __init__(self) -> None:
        self.version = 0
        self._tenants: dict[str, TenantRow] = {}
        self._services: dict[tuple[str, str], Service] = {}
        self._tenant_of_token: dict[str, str] = {}

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False when it does not follow what is in force."""
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
        kind, _, rest = key.partition("/")
        if kind == "tenant":
            if value:
                self._tenants[rest] = TenantRow.unpack(value)
            else:
                self._tenants.pop(rest, None)
        elif kind == "service":
            tenant, _, name = rest.partition("/")
            if value:
                self._services[tenant, name] = _service(ServiceRow.unpack(value))
            else:
                self._services.pop((tenant, name), None)

    def service(self, tenant: str, name: str) -> Service | None:
        """Return a service by its tenant and name."""
        return self._services.get((tenant, name))

    def services(self) -> list[Service]:
        """Return every service known here."""
        return list(self._services.values())

    def share(self, tenant: str) -> int:
        """Return a tenant's weight against other tenants."""
        row = self._tenants.get(tenant)
        return row.share if row is not None else 1

    def tenant_of(self, digest: str) -> str | None:
        """Return the tenant that owns a hashed token, or None.

        Looking up the SHA-256 of the token takes a time that depends on the
        digest only, so nothing can be learned of a right token from it.
        """
        return self._tenant_of_token.get(digest)
