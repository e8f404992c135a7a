"""Factors between seconds, the internal unit, and the units of records and headers."""

from __future__ import annotations

MILLISECONDS = 1_000
"""Milliseconds in a second."""

MICROSECONDS = 1_000_000
"""Microseconds in a second."""
