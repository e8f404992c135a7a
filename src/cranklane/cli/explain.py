"""Lists a policy's values in force and the branch that set each."""

from __future__ import annotations

from enum import Enum
from typing import Any

from cranklane.policy.compiler import branches_of, effective
from cranklane.policy.model import Policy, Route, Service, Tenant

_ROUTE_SETTINGS = ("criticality", "repeat", "deadline_ms", "retries")
_SERVICE_SETTINGS = ("slots", "queue", "retry_ratio_permille", "ledger")


def _text(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(value)
    return value.name.lower() if isinstance(value, Enum) else str(value)


def show_policy(policy: Policy) -> list[str]:
    """Return one line for each service and route with all its values."""
    lines = []
    for tenant, service in policy.services():
        lines.append(_line(policy, tenant, service, None, _SERVICE_SETTINGS))
        lines += [
            _line(policy, tenant, service, route, _ROUTE_SETTINGS) for route in service.routes
        ]
    return lines


def _line(
    policy: Policy, tenant: Tenant, service: Service, route: Route | None, names: tuple[str, ...]
) -> str:
    branches = branches_of(policy, tenant, service, route)
    label = branches[-1][0]
    if route is not None:
        label += f" {route.method} {route.pattern}"
    values = [f"{name}={_text(effective(name, branches).value)}" for name in names]
    return " ".join([label, *values])


def explain_target(policy: Policy, target: str) -> list[str]:
    """Return, for a service or route, each value and the branch that set it.

    :param target: ``TENANT.SERVICE`` or ``TENANT.SERVICE.ROUTE``.
    """
    for tenant, service in policy.services():
        routes: list[Route | None] = [None, *service.routes]
        for route in routes:
            branches = branches_of(policy, tenant, service, route)
            if branches[-1][0] == target:
                names = _ROUTE_SETTINGS if route is not None else _SERVICE_SETTINGS
                return [_explanation(name, branches) for name in names]
    return []


def _explanation(name: str, branches: list[Any]) -> str:
    origin = effective(name, branches)
    where = f"set by {origin.branch}" if origin.branch != "default" else "the default"
    if origin.position is not None:
        where += f", line {origin.position.line}, column {origin.position.column}"
    return f"{name} = {_text(origin.value)}  ({where})"
