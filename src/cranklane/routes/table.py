"""Route table with lookup by host and longest path prefix."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane.routes.tenants import Tenant, TenantDirectory

MAX_PRIORITY = 255
"""Largest priority number: records encode it in one byte."""


class Share(NamedTuple):
    """A destination service of a route and its weight."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :ivar prefix: path prefix; begins and ends with a slash.
    :ivar idempotent: whether a request may run more than once.
    :ivar timeout_ms: time limit of a request, until its final response.
    :ivar objective_ms: latency objective of a request.
    :ivar priority: 0 is the most important.
    :ivar max_attempts: maximum number of workers that one request may reach.
    :ivar public: whether its requests are exempt from API keys.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    shares: tuple[Share, ...]
    public: bool = False


class ServiceEntry(NamedTuple):
    """A service in a route table.

    :ivar health_path: path of the health check of its workers.
    :ivar max_connections: maximum number of connections that one worker accepts from all callers.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of callers' requests, and on idle connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@dataclass(frozen=True)
class RouteTable:
    """One version of all routes, services, limits and tenants.

    :ivar version: version number from the operator; 0 for no table.
    :ivar tenants: tenants that may send requests; None if requests need no API key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceEntry] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    tenants: TenantDirectory | None = None
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)
    _longest_prefix: int = field(init=False, repr=False, compare=False)
    _priority_steps: int = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, "_by_host", by_host)
        longest_prefix = max((len(route.prefix) for route in self.routes), default=0)
        object.__setattr__(self, "_longest_prefix", longest_prefix)
        steps = 1 + max((route.priority for route in self.routes), default=0)
        object.__setattr__(self, "_priority_steps", steps)

    def priority_of(self, route: Route, tenant: Tenant | None) -> int:
        """Return the priority of a tenant's requests on a route; 0 is the most important.

        Compares tenants before routes. A request without a tenant has the priority of the least
        important tenant.
        """
        if self.tenants is None:
            return route.priority
        tenant_priority = tenant.priority if tenant is not None else self.tenants.last_priority
        return min(MAX_PRIORITY, tenant_priority * self._priority_steps + route.priority)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        :param host: the Host header; a port is ignored.
        :param path: path as sent, without the query.

        >>> route = Route("r", "a.example", "/x/", True, 1000, 100, 0, 1, (Share("s", 1),))
        >>> table = RouteTable(1, (route,))
        >>> table.find("A.example:80", "/x/y").name, table.find("a.example", "/y")
        ('r', None)
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], {})
        # Prefixes end with a slash, so only path prefixes up to a slash can match.
        end = path.rfind("/", 0, self._longest_prefix)
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
