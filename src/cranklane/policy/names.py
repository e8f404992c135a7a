"""Names that policies and processes agree on."""

from __future__ import annotations

SYSTEM_TENANT = "cranklane"
"""Tenant under which the system's own services are members; nobody may define it."""
