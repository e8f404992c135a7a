"""Route tables for the stand-ins."""

from __future__ import annotations

from typing import Any

from cranklane_lab.standins.routed_worker import HEALTH_PATH

HOST = "shop.example"
"""Host of all routes."""


def route_table(
    version: int,
    base: int,
    routes: dict[str, dict[str, Any]],
    services: tuple[str, ...],
    tenants: dict[str, dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a route table document.

    :param version: version of the document.
    :param base: version that it is based on.
    :param routes: by name; each overrides the default route settings.
    :param tenants: by name; None disables the API key check.
    """
    defaults = {
        "host": HOST,
        "repeat": "safe",
        "timeout_ms": 5000,
        "objective_ms": 1000,
        "priority": 0,
        "max_attempts": 2,
    }
    document = {
        "version": version,
        "base": base,
        "routes": {name: {**defaults, **route} for name, route in routes.items()},
        "services": {
            name: {"health_path": HEALTH_PATH, "max_connections": 100} for name in services
        },
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document
