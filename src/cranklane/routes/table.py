"""A route table ready for look-ups: routes by host and longest path prefix."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cranklane.routes.tenants import Tenant, TenantDirectory

MAX_PRIORITY = 255
"""Greatest number of a priority: records hold it in a byte."""


class Share(NamedTuple):
    """One destination of a route, and its weight among the route's destinations."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :ivar prefix: path prefix; begins and ends with a slash.
    :ivar idempotent: whether a request may run more than once.
    :ivar timeout_ms: time after which a request gets its final answer.
    :ivar objective_ms: the latency objective of its requests.
    :ivar priority: 0 is the most important.
    :ivar max_attempts: maximum number of workers that one request may reach.
    :ivar public: whether its requests need no API key where others do.
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
    """What a table says of a service.

    :ivar max_connections: connections one of its workers accepts from all callers.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send, and on how long it may take or rest."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@dataclass(frozen=True)
class RouteTable:
    """One whole configuration.

    :ivar version: the operator's number; 0 for none.
    :ivar tenants: who may send requests; None where requests need no API key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceEntry] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    tenants: TenantDirectory | None = None
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)
    _priority_steps: int = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, "_by_host", by_host)
        steps = 1 + max((route.priority for route in self.routes), default=0)
        object.__setattr__(self, "_priority_steps", steps)

    def priority_of(self, route: Route, tenant: Tenant | None) -> int:
        """Return the rank of a tenant's requests on a route; 0 is the most important.

        The tenant's priority goes first, then the route's. A request of no tenant ranks with
        those of the least important one.
        """
        if self.tenants is None:
            return route.priority
        first = tenant.priority if tenant is not None else self.tenants.last_priority
        return min(MAX_PRIORITY, first * self._priority_steps + route.priority)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        :param host: the Host header; a port is ignored.
        :param path: as sent, without its query.

        >>> route = Route("r", "a.example", "/x/", True, 1000, 100, 0, 1, (Share("s", 1),))
        >>> table = RouteTable(1, (route,))
        >>> table.find("A.example:80", "/x/y").name, table.find("a.example", "/y")
        ('r', None)
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], {})
        # Prefixes end with a slash, so only the path up to each of its slashes fits.
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
