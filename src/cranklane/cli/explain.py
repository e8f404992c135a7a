"""Formats the effective values of a policy and the branch that sets each."""

from __future__ import annotations

from enum import Enum
from typing import Any

from cranklane.policy.compiler import branches_of, effective
from cranklane.policy.model import Policy, Route, Service, Tenant

_ROUTE_SETTINGS = ("criticality", "repeat", "deadline_ms", "retries")
_SERVICE_SETTINGS = ("slots", "queue", "retry_ratio_permille", "ledger")


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(value)
    return value.name.lower() if isinstance(value, Enum) else str(value)


def show_policy(policy: Policy) -> list[str]:
    """Return one line for each service and route with its effective values."""
    lines = []
    for tenant, service in policy.services():
        lines.append(_format_line(policy, tenant, service, None, _SERVICE_SETTINGS))
        lines += [
            _format_line(policy, tenant, service, route, _ROUTE_SETTINGS)
            for route in service.routes
        ]
    return lines


def _format_line(
    policy: Policy, tenant: Tenant, service: Service, route: Route | None, names: tuple[str, ...]
) -> str:
    branches = branches_of(policy, tenant, service, route)
    label = branches[-1][0]
    if route is not None:
        label += f" {route.method} {route.pattern}"
    values = [f"{name}={_format_value(effective(name, branches).value)}" for name in names]
    return " ".join([label, *values])


def explain_target(policy: Policy, target: str) -> list[str]:
    """Return a line for each value of a service or route, with the branch that sets it.

    Empty when the policy has no such service or route.

    :param target: ``TENANT.SERVICE`` or ``TENANT.SERVICE.ROUTE``.
    """
    for tenant, service in policy.services():
        routes: list[Route | None] = [None, *service.routes]
        for route in routes:
            branches = branches_of(policy, tenant, service, route)
            if branches[-1][0] == target:
                names = _ROUTE_SETTINGS if route is not None else _SERVICE_SETTINGS
                return [_format_origin(name, branches) for name in names]
    return []


def _format_origin(name: str, branches: list[Any]) -> str:
    origin = effective(name, branches)
    source = f"set by {origin.branch}" if origin.branch != "default" else "the default"
    if origin.position is not None:
        source += f", line {origin.position.line}, column {origin.position.column}"
    return f"{name} = {_format_value(origin.value)}  ({source})"
