"""Tenants of a route table and their lookup by API key."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cranklane.common.secret_digest import secret_digest


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    :ivar priority: 0 is the most important; compared before the priority of a route.
    :ivar rate_per_second: maximum rate of its requests in the whole fleet; 0 for no limit.
    :ivar burst: number of requests that may exceed the rate at once.
    :ivar key_digests: digests of its API keys; the keys themselves are not stored.
    """

    name: str
    priority: int = 0
    rate_per_second: float = 0.0
    burst: float = 0.0
    key_digests: frozenset[str] = frozenset()


class TenantDirectory:
    """Tenants of one route table by name and by API key.

    :ivar by_name: tenants by name.
    :ivar last_priority: priority of the least important tenant.

    >>> shop = Tenant("shop", key_digests=frozenset({secret_digest(b"k1")}))
    >>> directory = TenantDirectory([shop])
    >>> directory.find_by_key(b"k1").name, directory.find_by_key(b"k2")
    ('shop', None)
    """

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self.last_priority = max((tenant.priority for tenant in self.by_name.values()), default=0)
        self._by_key = {
            digest: tenant for tenant in self.by_name.values() for digest in tenant.key_digests
        }

    def find_by_key(self, key: bytes) -> Tenant | None:
        """Return the tenant of an API key, or None."""
        return self._by_key.get(secret_digest(key))
