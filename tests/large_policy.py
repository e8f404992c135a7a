"""Policy of the design size, with one document per tenant."""

from __future__ import annotations

import hashlib

TENANTS = 41
SERVICES_PER_TENANT = 10
SLOTS_PER_SERVICE = 8


def tenant_name(index: int) -> str:
    """Return the name of the tenant with the given index."""
    return f"t{index:02d}"


def service_name(index: int) -> str:
    """Return the name, within its tenant, of the service with the given index."""
    return f"s{index}"


def _calls(tenant: int, service: int, tenants: int) -> list[str]:
    """Return the services that a service calls; the call graph is acyclic, at most 14 deep."""
    callees = [index for index in (service + 1, service + 3) if index < SERVICES_PER_TENANT]
    calls = [f"{tenant_name(tenant)}.{service_name(index)}" for index in callees]
    if service == SERVICES_PER_TENANT - 1 and tenant % 2 == 0 and tenant + 1 < tenants:
        calls.append(f"{tenant_name(tenant + 1)}.{service_name(SERVICES_PER_TENANT - 4)}")
    return calls


def _callers(tenant: int, service: int, tenants: int) -> list[str]:
    full_name = f"{tenant_name(tenant)}.{service_name(service)}"
    callers = [
        f"{tenant_name(calling_tenant)}.{service_name(index)}"
        for calling_tenant in range(max(0, tenant - 1), tenant + 1)
        for index in range(SERVICES_PER_TENANT)
        if full_name in _calls(calling_tenant, index, tenants)
    ]
    return [f"{tenant_name(tenant)}.edge", *callers]


def tenant_document(tenant: int, tenants: int = TENANTS, slots: int = SLOTS_PER_SERVICE) -> str:
    """Return the policy text of a tenant.

    :param slots: slots of the first service; a test varies them to change a single document.
    """
    token = hashlib.sha256(tenant_name(tenant).encode()).hexdigest()
    lines = [f"tenant {tenant_name(tenant)} {{", f"  token sha256:{token}", "  retries 3"]
    for service in range(SERVICES_PER_TENANT):
        lines.append(f"  service {service_name(service)} {{")
        lines.append(f"    slots {slots if service == 0 else SLOTS_PER_SERVICE}")
        calls = _calls(tenant, service, tenants)
        if calls:
            lines.append(f"    calls {', '.join(calls)}")
        lines.append(f"    callers {', '.join(_callers(tenant, service, tenants))}")
        lines.append("    route read GET /read/* { repeat repeatable }")
        lines.append("    route write POST /write/* { criticality critical; repeat once }")
        lines.append("    route lookup GET /lookup/* { criticality background }")
        lines.append("  }")
    return "\n".join([*lines, "}"])
