"""Compiles a policy's tree into flat rows for nodes.

A row holds every value a node needs, with nothing left to inherit. Rows are
keyed ``tenant/NAME`` and ``service/TENANT/NAME``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cranklane.errors import PolicyError
from cranklane.outcome import Criticality, Repeat
from cranklane.policy.model import Branch, Policy, Position, Route, Service, Tenant
from cranklane.policy.names import SYSTEM_TENANT
from cranklane.records.messages import RouteRow, ServiceRow, TenantRow

MAX_RETRIES = 16
"""Maximum retries of a root request. A choice: an allowance beyond it bounds nothing."""

MAX_DEADLINE_MS = 3_600_000
"""Maximum deadline of a route: an hour. A choice: a longer one is taken for a mistake."""

MAX_SHARE = 1_000_000
"""Maximum share of a tenant. A choice: a greater number is taken for a mistake."""

MAX_SLOTS = 100_000
"""Maximum slots of a worker, and calls in its queue. A choice, as above."""

DEFAULTS: dict[str, Any] = {
    "criticality": Criticality.NORMAL,
    "repeat": Repeat.UNREPEATABLE,
    "deadline_ms": 5000,
    "retries": 2,
    "share": 100,
    "slots": 8,
    "queue": 64,
    "retry_ratio_permille": 100,
    "ledger": ("main",),
}
"""Values of a branch that nothing sets."""


@dataclass(frozen=True)
class Origin:
    """A value in force and the branch that set it (``default`` when none did)."""

    value: Any
    branch: str
    position: Position | None


def effective(name: str, branches: list[tuple[str, Branch]]) -> Origin:
    """Return a setting's value from the innermost branch that states it.

    :param name: the setting's field name.
    :param branches: (label, branch) from the root inwards.
    """
    for label, branch in reversed(branches):
        stated = getattr(branch, name, None)
        if stated is not None:
            return Origin(stated.value, label, stated.position)
    return Origin(DEFAULTS[name], "default", None)


def tenant_key(tenant: str) -> str:
    """Return the row key of a tenant."""
    return f"tenant/{tenant}"


def service_key(tenant: str, service: str) -> str:
    """Return the row key of a service."""
    return f"service/{tenant}/{service}"


def compile_policy(policy: Policy) -> dict[str, bytes]:
    """Return the rows of a checked policy.

    :raises PolicyError: with every problem found.
    """
    problems = check(policy)
    if problems:
        raise PolicyError(problems)
    rows: dict[str, bytes] = {}
    for tenant in policy.tenants:
        share = effective("share", [(tenant.name, tenant)]).value
        rows[tenant_key(tenant.name)] = TenantRow(share, tenant.name, tenant.tokens).pack()
    for tenant, service in policy.services():
        row = _service_row(policy, tenant, service)
        rows[service_key(tenant.name, service.name)] = row.pack()
    return rows


def _service_row(policy: Policy, tenant: Tenant, service: Service) -> ServiceRow:
    branches = branches_of(policy, tenant, service)

    def value(name: str) -> Any:
        return effective(name, branches).value

    return ServiceRow(
        slots=value("slots"),
        queue=value("queue"),
        depth_below=1 if service.calls else 0,
        retry_ratio_permille=value("retry_ratio_permille"),
        tenant=tenant.name,
        name=service.name,
        calls=[str(item.value) for item in service.calls],
        callers=[str(item.value) for item in service.callers],
        ledgers=list(value("ledger")) if _has_once(branches, service) else [],
        routes=[_route_row(branches, route) for route in service.routes],
    )


def _has_once(outer: list[tuple[str, Branch]], service: Service) -> bool:
    return any(
        effective("repeat", [*outer, (route.name, route)]).value is Repeat.ONCE
        for route in service.routes
    )


def branches_of(
    policy: Policy, tenant: Tenant, service: Service, route: Route | None = None
) -> list[tuple[str, Branch]]:
    """Return the labelled branches from the root to a service or route."""
    branches: list[tuple[str, Branch]] = [("root", policy), (tenant.name, tenant)]
    branches.append((f"{tenant.name}.{service.name}", service))
    if route is not None:
        branches.append((f"{tenant.name}.{service.name}.{route.name}", route))
    return branches


def _route_row(outer: list[tuple[str, Branch]], route: Route) -> RouteRow:
    branches = [*outer, (route.name, route)]
    criticality = effective("criticality", branches)
    return RouteRow(
        criticality=criticality.value,
        caps=criticality.position is not None,
        repeat=effective("repeat", branches).value,
        deadline_ms=effective("deadline_ms", branches).value,
        allowance=effective("retries", branches).value,
        name=route.name,
        method=route.method,
        pattern=route.pattern,
    )


_RANGES = {
    "deadline_ms": (1, MAX_DEADLINE_MS, "deadline"),
    "retries": (0, MAX_RETRIES, "retries"),
    "share": (1, MAX_SHARE, "share"),
    "slots": (1, MAX_SLOTS, "slots"),
    "queue": (0, MAX_SLOTS, "queue"),
    "retry_ratio_permille": (0, 1000, "retry-ratio"),
}


def check(policy: Policy) -> list[str]:
    """Return the problems of a policy that its grammar cannot see."""
    problems = _range_problems(policy)
    names: set[str] = set()
    for tenant in policy.tenants:
        problems += _repeated(names, tenant.name, f"tenant {tenant.name}", tenant.position)
        if tenant.name == SYSTEM_TENANT:
            problems.append(_at(tenant.position, f"the tenant {SYSTEM_TENANT} is the system's own"))
        problems += _range_problems(tenant)
        problems += _tenant_problems(tenant)
    return problems


def _tenant_problems(tenant: Tenant) -> list[str]:
    problems: list[str] = []
    names: set[str] = set()
    for service in tenant.services:
        label = f"service {tenant.name}.{service.name}"
        problems += _repeated(names, service.name, label, service.position)
        problems += _range_problems(service)
        problems += _service_problems(label, service)
    return problems


def _service_problems(label: str, service: Service) -> list[str]:
    problems: list[str] = []
    names: set[str] = set()
    targets: set[str] = set()
    for route in service.routes:
        problems += _repeated(names, route.name, f"route {route.name} of {label}", route.position)
        target = f"{route.method} {route.pattern}"
        problems += _repeated(targets, target, f"{target} of {label}", route.position)
        problems += _range_problems(route)
        if "**" in route.pattern[:-2]:
            problems.append(_at(route.position, f'"**" may only end a path, in {route.pattern}'))
    return problems


def _range_problems(branch: Branch) -> list[str]:
    problems = []
    for name, (minimum, maximum, word) in _RANGES.items():
        stated = getattr(branch, name, None)
        if stated is not None and not minimum <= stated.value <= maximum:
            text = f"{word}: found {stated.value}; expected {minimum} to {maximum}"
            problems.append(_at(stated.position, text))
    return problems


def _repeated(names: set[str], name: str, label: str, position: Position) -> list[str]:
    if name in names:
        return [_at(position, f"{label} is defined twice")]
    names.add(name)
    return []


def _at(position: Position, text: str) -> str:
    return f"line {position.line}, column {position.column}: {text}"
