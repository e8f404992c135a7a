"""Tenants that cannot send requests, and limits and priorities without the intended effect."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from cranklane.routes.checks.findings import Finding, warning
from cranklane.routes.table import MAX_PRIORITY, RouteTable
from cranklane.routes.tenants import Tenant

QUOTA_WINDOW_SECONDS = 5.0
"""Window in seconds in which a rate should admit at least one request. A lower rate is often one
per minute entered as one per second."""

MIN_BURST_REQUESTS = 1.0
"""Smallest burst that admits a request beyond the rate."""


def check_tenants(document: dict[str, Any], table: RouteTable) -> Iterator[Finding]:
    """Yield findings on the tenants of a valid document. No message contains a key."""
    if table.tenants is None:
        return
    tenants = list(table.tenants.by_name.values())
    needs_key = any(not route.public for route in table.routes)
    if needs_key and not any(tenant.key_digests for tenant in tenants):
        yield warning(
            "tenants", "none has a key, so every client's request is refused on routes not public"
        )
    for tenant in tenants:
        entry = document["tenants"][tenant.name]
        yield from _check_keys(tenant.name, entry["keys"])
        yield from _check_rate(tenant, entry)
    yield from _check_priorities(table, tenants)


def _check_keys(name: str, keys: list[str]) -> Iterator[Finding]:
    field = f"tenants.{name}.keys"
    if not keys:
        yield warning(field, "there are none, so no request can come from this tenant")
    if any(key != key.strip() or not key.isprintable() for key in keys):
        yield warning(
            field,
            "a key begins or ends with white space or has control characters, "
            "which no header can contain",
        )


def _check_rate(tenant: Tenant, entry: dict[str, Any]) -> Iterator[Finding]:
    path = f"tenants.{tenant.name}"
    rate = tenant.rate_per_second
    if rate == 0:
        if entry.get("rate_per_s") is not None:
            yield warning(f"{path}.rate_per_s", "0 is no limit; it does not refuse requests")
        if tenant.burst > 0:
            yield warning(f"{path}.burst", "has no effect without rate_per_s: there is no limit")
        return
    if rate * QUOTA_WINDOW_SECONDS < 1:
        yield warning(
            f"{path}.rate_per_s",
            f"{rate:g} per second is less than one request in {QUOTA_WINDOW_SECONDS:g} s",
        )
    if tenant.burst < MIN_BURST_REQUESTS:
        yield warning(
            f"{path}.burst", f"{tenant.burst:g} admits no request at once beyond rate_per_s"
        )


def _check_priorities(table: RouteTable, tenants: list[Tenant]) -> Iterator[Finding]:
    """Yield tenants whose priority, combined with those of routes, exceeds the largest number."""
    steps = 1 + max((route.priority for route in table.routes), default=0)
    for tenant in tenants:
        if (tenant.priority + 1) * steps - 1 > MAX_PRIORITY:
            yield warning(
                f"tenants.{tenant.name}.priority",
                f"{tenant.priority} times {steps} priorities of routes exceeds {MAX_PRIORITY}, "
                "from which on all requests have the same priority",
            )
