"""Recorded traces: what was sent and what failed when, with the outcomes stated."""
