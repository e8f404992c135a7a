"""A policy of the size the project is designed for, as one document for each tenant."""

from __future__ import annotations

import hashlib

TENANTS = 41
SERVICES_PER_TENANT = 10
SLOTS = 8


def tenant_name(number: int) -> str:
    """Return a tenant's name."""
    return f"t{number:02d}"


def service_name(number: int) -> str:
    """Return a service's name within its tenant."""
    return f"s{number}"


def _calls(tenant: int, service: int, tenants: int) -> list[str]:
    """Return what a service calls; calls only go down, at most 14 deep."""
    own = [number for number in (service + 1, service + 3) if number < SERVICES_PER_TENANT]
    calls = [f"{tenant_name(tenant)}.{service_name(number)}" for number in own]
    if service == SERVICES_PER_TENANT - 1 and tenant % 2 == 0 and tenant + 1 < tenants:
        calls.append(f"{tenant_name(tenant + 1)}.{service_name(SERVICES_PER_TENANT - 4)}")
    return calls


def _callers(tenant: int, service: int, tenants: int) -> list[str]:
    full_name = f"{tenant_name(tenant)}.{service_name(service)}"
    calling = [
        f"{tenant_name(calling_tenant)}.{service_name(number)}"
        for calling_tenant in range(max(0, tenant - 1), tenant + 1)
        for number in range(SERVICES_PER_TENANT)
        if full_name in _calls(calling_tenant, number, tenants)
    ]
    return [f"{tenant_name(tenant)}.edge", *calling]


def tenant_document(tenant: int, tenants: int = TENANTS, slots: int = SLOTS) -> str:
    """Return a tenant's policy text.

    :param slots: slots of its first service, to make a change that concerns one.
    """
    token = hashlib.sha256(tenant_name(tenant).encode()).hexdigest()
    lines = [f"tenant {tenant_name(tenant)} {{", f"  token sha256:{token}", "  retries 3"]
    for service in range(SERVICES_PER_TENANT):
        lines.append(f"  service {service_name(service)} {{")
        lines.append(f"    slots {slots if service == 0 else SLOTS}")
        calls = _calls(tenant, service, tenants)
        if calls:
            lines.append(f"    calls {', '.join(calls)}")
        lines.append(f"    callers {', '.join(_callers(tenant, service, tenants))}")
        lines.append("    route read GET /read/* { repeat repeatable }")
        lines.append("    route write POST /write/* { criticality critical; repeat once }")
        lines.append("    route lookup GET /lookup/* { criticality background }")
        lines.append("  }")
    return "\n".join([*lines, "}"])
