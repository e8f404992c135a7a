"""Reserved names in policies."""

from __future__ import annotations

SYSTEM_TENANT = "cranklane"
"""Tenant of cranklane's own services; policies must not define it."""
