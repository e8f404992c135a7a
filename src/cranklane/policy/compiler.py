"""Compiles a policy tree into rows for nodes.

All inherited values in a row are resolved. Row keys are ``tenant/NAME`` and
``service/TENANT/NAME``.
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
"""Maximum retries of a root request."""

MAX_DEADLINE_MS = 3_600_000
"""Maximum deadline of a route: one hour. A longer one is probably a mistake."""

MAX_SHARE = 1_000_000
"""Maximum share of a tenant."""

MAX_SLOTS = 100_000
"""Maximum slots of a worker, and maximum size of its queue."""

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
"""Values of settings that no branch sets."""


@dataclass(frozen=True)
class Origin:
    """An effective value with the branch that set it (``default`` if none did)."""

    value: Any
    branch: str
    position: Position | None


def effective(name: str, branches: list[tuple[str, Branch]]) -> Origin:
    """Return a setting's value from the innermost branch that sets it.

    :param name: field name of the setting.
    :param branches: (label, branch) from the root to the innermost branch.
    """
    for label, branch in reversed(branches):
        setting = getattr(branch, name, None)
        if setting is not None:
            return Origin(setting.value, label, setting.position)
    return Origin(DEFAULTS[name], "default", None)


def tenant_key(tenant: str) -> str:
    """Return the row key of a tenant."""
    return f"tenant/{tenant}"


def service_key(tenant: str, service: str) -> str:
    """Return the row key of a service."""
    return f"service/{tenant}/{service}"


def compile_policy(policy: Policy) -> dict[str, bytes]:
    """Check a policy and return its rows.

    :raises PolicyError: with all problems found.
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
        calls=[str(reference.value) for reference in service.calls],
        callers=[str(reference.value) for reference in service.callers],
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
    """Return (label, branch) pairs from the root to a service or route."""
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
    """Return the problems of a policy that the grammar does not exclude."""
    problems = _range_problems(policy)
    names: set[str] = set()
    for tenant in policy.tenants:
        problems += _duplicate_problems(
            names, tenant.name, f"tenant {tenant.name}", tenant.position
        )
        if tenant.name == SYSTEM_TENANT:
            problems.append(
                _problem_at(tenant.position, f"the tenant name {SYSTEM_TENANT} is reserved")
            )
        problems += _range_problems(tenant)
        problems += _tenant_problems(tenant)
    return problems


def _tenant_problems(tenant: Tenant) -> list[str]:
    problems: list[str] = []
    names: set[str] = set()
    for service in tenant.services:
        label = f"service {tenant.name}.{service.name}"
        problems += _duplicate_problems(names, service.name, label, service.position)
        problems += _range_problems(service)
        problems += _service_problems(label, service)
    return problems


def _service_problems(label: str, service: Service) -> list[str]:
    problems: list[str] = []
    names: set[str] = set()
    targets: set[str] = set()
    for route in service.routes:
        problems += _duplicate_problems(
            names, route.name, f"route {route.name} of {label}", route.position
        )
        target = f"{route.method} {route.pattern}"
        problems += _duplicate_problems(targets, target, f"{target} of {label}", route.position)
        problems += _range_problems(route)
        if "**" in route.pattern[:-2]:
            problems.append(
                _problem_at(
                    route.position,
                    f'"**" is allowed only at the end of a path, found {route.pattern}',
                )
            )
    return problems


def _range_problems(branch: Branch) -> list[str]:
    problems = []
    for name, (minimum, maximum, keyword) in _RANGES.items():
        setting = getattr(branch, name, None)
        if setting is not None and not minimum <= setting.value <= maximum:
            text = f"{keyword}: found {setting.value}; expected {minimum} to {maximum}"
            problems.append(_problem_at(setting.position, text))
    return problems


def _duplicate_problems(names: set[str], name: str, label: str, position: Position) -> list[str]:
    if name in names:
        return [_problem_at(position, f"{label} is defined twice")]
    names.add(name)
    return []


def _problem_at(position: Position, text: str) -> str:
    return f"line {position.line}, column {position.column}: {text}"
